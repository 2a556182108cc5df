"""Fake external systems, load generation and measurements for development."""
