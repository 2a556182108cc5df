"""Startup, graceful shutdown and logging of the process."""
