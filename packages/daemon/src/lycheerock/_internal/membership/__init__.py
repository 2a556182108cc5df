"""Which instances exist and which of them are alive."""
