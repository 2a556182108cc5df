"""Route table and weighted distribution of requests over services."""
