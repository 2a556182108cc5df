"""Listening socket that can be closed without resetting connections."""

import asyncio
import socket

import aiohttp.web

BACKLOG = 1_024


class Listener:
    """Owns the listening socket of an HTTP server."""

    def __init__(self, runner: aiohttp.web.AppRunner, address: str):
        host, _, port = address.rpartition(":")
        self._runner = runner
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._site = aiohttp.web.SockSite(
            runner, self._socket.dup(), backlog=BACKLOG
        )

    async def start(self) -> None:
        """Starts accepting connections."""
        await self._site.start()

    async def stop(self) -> None:
        """Closes the listening socket, so that new connections are refused.

        When the last descriptor of a listening socket is closed, the kernel
        resets the connections in its accept queue. These are therefore accepted
        first and served like any other.
        """
        await self._site.stop()
        loop = asyncio.get_running_loop()
        for connection in accept_pending(self._socket):
            server = self._runner.server
            assert server is not None
            await loop.connect_accepted_socket(server, connection)


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
