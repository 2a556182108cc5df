"""Sends requests to targets within the limits of each target."""
