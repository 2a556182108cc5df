"""Command-line client for lycheerock operators."""
