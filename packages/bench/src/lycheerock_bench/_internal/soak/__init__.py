"""Randomized faults against real gateway processes, with promises checked."""
