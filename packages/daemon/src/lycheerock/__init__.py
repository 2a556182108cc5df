"""The lycheerock daemon: one entry instance of the query tier."""

import os

# The C core of grpc writes plain text to stderr, which holds JSON lines. It
# reads the variable when it is loaded, so that this comes before any import.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
