"""The gRPC server and the streams between instances."""
