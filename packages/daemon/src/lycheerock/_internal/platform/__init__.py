"""Adapter to the platform: its names, formats and calls.

This package contains no policy. It converts the platform's formats to and from
the project's own types, and its calls return the platform's replies.
"""
