"""Free ports for processes that are started later."""

import random
import socket

# Below the range from which the kernel takes ports of outgoing connections, one
# of which could otherwise take a port before its server listens. Also below the
# ports of `make demo` and of the harness.
PORT_MIN = 10_000
PORT_MAX = 17_999


def free_port() -> int:
    """Returns a loopback port that nobody listens on."""
    chance = random.SystemRandom()
    while True:
        port = chance.randint(PORT_MIN, PORT_MAX)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                # In use; another one is drawn.
                continue
            return port
