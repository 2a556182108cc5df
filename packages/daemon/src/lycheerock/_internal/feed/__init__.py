"""Feeds: one instance watches the store and relays changes to others."""
