"""Private modules of the bench."""
