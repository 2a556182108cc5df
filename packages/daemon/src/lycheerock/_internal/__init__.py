"""Private packages of the daemon, one per concern."""
