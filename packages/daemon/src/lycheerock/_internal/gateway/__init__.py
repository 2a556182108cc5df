"""HTTP gateway: serves callers from targets by routes."""
