"""Protocols between instances: gRPC calls (peer.proto) and feeds."""
