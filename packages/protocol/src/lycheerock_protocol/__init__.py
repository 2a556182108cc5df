"""Protocol between instances: peer.proto and the code generated from it."""
