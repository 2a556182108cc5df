"""Scatter-gather searches: snapshots, coverage, hedging and merging."""
