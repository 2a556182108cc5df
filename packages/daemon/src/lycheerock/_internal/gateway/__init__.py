"""HTTP gateway that routes requests of callers to targets."""
