"""Links between gateway instances."""
