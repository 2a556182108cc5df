"""Start and planned stop of the process."""
