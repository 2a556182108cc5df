"""Listening socket that can be closed without resetting connections."""

import asyncio
import socket

import aiohttp.web

from lycheerock._internal.ingress import callers as callers_lib
from lycheerock._internal.ingress import connection as ingress_connection
from lycheerock._internal.ingress import flow

BACKLOG = 1_024


class Listener:
    """Owns the listening socket of an HTTP server."""

    def __init__(
        self,
        runner: aiohttp.web.AppRunner,
        address: str,
        gate: callers_lib.IngressGate | None = None,
    ):
        """Opens the socket.

        Args:
          runner: Runner of the web application, which must be set up.
          address: IP address and port.
          gate: Limits on callers, or None if callers are trusted.
        """
        host, _, port = address.rpartition(":")
        self._runner = runner
        self._gate = gate
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        if gate is not None:
            flow.limit_receive_buffer(self._socket)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts accepting connections."""
        self._server = await asyncio.get_running_loop().create_server(
            self._build_connection, sock=self._socket.dup(), backlog=BACKLOG
        )

    async def stop(self) -> None:
        """Closes the listening socket, so that new connections are refused.

        When the last descriptor of a listening socket is closed, the kernel
        resets the connections in its accept queue. These are therefore accepted
        first and served like any other.
        """
        self.close()
        loop = asyncio.get_running_loop()
        for connection in accept_pending(self._socket):
            await loop.connect_accepted_socket(
                self._build_connection, connection
            )

    def close(self) -> None:
        """Stops accepting connections; those in the queue are lost."""
        if self._server is not None:
            self._server.close()

    def _build_connection(self) -> aiohttp.web.RequestHandler:
        server = self._runner.server
        assert server is not None
        if self._gate is None:
            return server()
        limits = self._gate.caller_limits
        return ingress_connection.CallerConnection(
            server,
            self._gate,
            loop=asyncio.get_running_loop(),
            access_log=None,
            max_line_size=limits.header_size_max_bytes,
            max_field_size=limits.header_size_max_bytes,
        )


def accept_pending(listening_socket: socket.socket) -> list[socket.socket]:
    """Accepts all pending connections, then closes the listening socket.

    Args:
      listening_socket: Non-blocking listening socket.

    Returns:
      Accepted connections, in non-blocking mode.
    """
    accepted = []
    while True:
        try:
            accepted.append(listening_socket.accept()[0])
        except BlockingIOError:
            break
    listening_socket.close()
    for connection in accepted:
        connection.setblocking(False)
    return accepted
