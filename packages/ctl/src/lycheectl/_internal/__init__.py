"""Private modules of lycheectl."""
