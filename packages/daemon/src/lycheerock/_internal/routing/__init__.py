"""Routes of the gateway and how a request finds its service."""
