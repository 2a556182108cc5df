"""Limits on what callers send, hold and occupy."""
