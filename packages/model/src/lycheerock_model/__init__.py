"""Data classes, checks and typed errors shared by every lycheerock package."""
