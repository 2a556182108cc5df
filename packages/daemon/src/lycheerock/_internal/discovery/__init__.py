"""Tasks that follow the store: route table and targets."""
