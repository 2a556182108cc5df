"""Decides when a starting gateway opens its socket for callers.

The imports take most of the time until a gateway serves. This module runs
before them, so it imports only what every process needs anyway.
"""

from collections.abc import Iterable
import contextlib
import select
import socket

LISTEN_BACKLOG = 1_024


def open_listener(address: str) -> socket.socket:
    """Opens the listening socket for callers.

    Args:
      address: IP address and port.

    Returns:
      A non-blocking socket; the kernel queues connections until it is served.

    Raises:
      OSError: The address is in use or not local.
    """
    listener = socket.create_server(
        _host_and_port(address), backlog=LISTEN_BACKLOG
    )
    listener.setblocking(False)
    return listener


class SeedProbe:
    """Connects to other instances without blocking."""

    def __init__(self, addresses: Iterable[str]) -> None:
        self._stack = contextlib.ExitStack()
        self._sockets = [self._connect(address) for address in addresses]

    def _connect(self, address: str) -> socket.socket:
        connection = socket.socket()
        self._stack.callback(connection.close)
        connection.setblocking(False)
        # A seed that cannot be reached is not connected in `count_serving`.
        with contextlib.suppress(OSError):
            connection.connect_ex(_host_and_port(address))
        return connection

    def count_serving(self) -> int:
        """Returns how many instances have accepted, and ends the probe."""
        with self._stack:
            _, writable, _ = select.select([], self._sockets, [], 0.0)
            return sum(_is_connected(connection) for connection in writable)


def should_listen_early(serving_seed_count: int) -> bool:
    """Returns whether callers are served better by waiting for this instance.

    A caller that is refused tries another instance at once, which is faster
    than waiting until this one has started. If no other instance serves, for
    example after a loss of power, the caller would only be refused again.

    Args:
      serving_seed_count: Number of other instances that accept connections.
    """
    return serving_seed_count == 0


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _is_connected(connection: socket.socket) -> bool:
    try:
        connection.getpeername()
    except OSError:
        return False
    return True
