"""Bookings: non-idempotent requests that run at most once per request key."""
