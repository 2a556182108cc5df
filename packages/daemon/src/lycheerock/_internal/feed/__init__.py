"""Feeds: one instance watches the store and passes changes on to others."""
