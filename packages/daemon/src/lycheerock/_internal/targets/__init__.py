"""Target registry, per-target health and target selection."""
