"""Non-idempotent requests: request keys and their outcomes."""
