"""The settings bundle on this instance."""
