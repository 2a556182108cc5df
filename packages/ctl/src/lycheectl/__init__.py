"""The operators' command line of lycheerock."""
