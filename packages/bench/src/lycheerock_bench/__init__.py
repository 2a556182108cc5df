"""Fakes of the outside systems and the load command; never shipped."""
