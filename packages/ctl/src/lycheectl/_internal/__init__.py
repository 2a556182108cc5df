"""Internal modules of lycheectl."""
