"""Finds free ports for processes that are started later."""

import random
import socket

# Below the kernel's range of ephemeral ports, since an outgoing connection
# could take a port before its server listens on it. Also below the ports of
# `make demo` and of the harness.
PORT_MIN = 10_000
PORT_MAX = 17_999


def free_port() -> int:
    """Returns a random loopback port that is not in use."""
    rng = random.SystemRandom()
    while True:
        port = rng.randint(PORT_MIN, PORT_MAX)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                # The port is in use; try another one.
                continue
            return port


def claim_block(
    port_min: int, port_max: int, size: int
) -> tuple[socket.socket, int]:
    """Claims a block of ports by listening on its first one.

    Args:
      port_min: Lowest port of the range that is split into blocks.
      port_max: Highest port of the range.
      size: Number of ports in a block.

    Returns:
      The socket that holds the claim until it is closed, and the first port.

    Raises:
      RuntimeError: All blocks are claimed.
    """
    blocks = list(range(port_min, port_max - size, size))
    random.SystemRandom().shuffle(blocks)
    for first_port in blocks:
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first_port))
            claim.listen(1)
        except OSError:
            # Another process uses this block.
            claim.close()
            continue
        return claim, first_port
    raise RuntimeError("no free block of ports; stop other deployments")
