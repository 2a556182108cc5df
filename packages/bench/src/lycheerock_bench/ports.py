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


def claim_block(
    port_min: int, port_max: int, size: int
) -> tuple[socket.socket, int]:
    """Claims a block of ports by listening on its first one.

    Args:
      port_min: Lowest port of all blocks.
      port_max: Highest port of all blocks.
      size: Ports of a block.

    Returns:
      The socket that holds the claim, and the first port.

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
            # Another deployment has this block.
            claim.close()
            continue
        return claim, first_port
    raise RuntimeError("no free port block; stop other deployments")
