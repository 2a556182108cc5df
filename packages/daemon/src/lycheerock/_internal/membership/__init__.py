"""Cluster membership and failure detection by SWIM gossip."""
