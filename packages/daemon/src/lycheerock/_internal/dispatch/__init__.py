"""Sending one request to one target within its limits."""
