"""Workspaces: authentication by key, and request caps over all instances."""
