"""Searches: snapshot choice, coverage, hedges and merging."""
