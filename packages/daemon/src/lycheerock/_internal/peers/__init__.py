"""gRPC server, channels and streams between instances."""
