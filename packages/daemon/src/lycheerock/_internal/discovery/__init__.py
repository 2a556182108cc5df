"""Discovery of routes, targets and other instances through the store."""
