"""The lycheerock daemon, which runs one instance of the query tier."""

import os

# The C core of gRPC writes plain text to stderr, which must hold only JSON
# lines. It reads this variable when it is loaded, so set it before any import.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
