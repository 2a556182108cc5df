"""The lycheerock daemon: one entry instance of the query tier."""
