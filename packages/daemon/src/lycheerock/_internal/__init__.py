"""Internal packages of the daemon."""
