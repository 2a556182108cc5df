"""Soak test: injects random faults and checks the gateway's guarantees."""
