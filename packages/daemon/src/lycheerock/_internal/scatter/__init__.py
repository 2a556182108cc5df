"""Searches whose shards are queried by other instances."""
