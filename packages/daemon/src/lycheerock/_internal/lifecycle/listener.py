"""Listens for callers and stops without resetting a connection."""

import asyncio
import socket

import aiohttp.web

BACKLOG = 1_024


class Listener:
    """Owns the listening socket of the interface for callers."""

    def __init__(self, runner: aiohttp.web.AppRunner, address: str):
        host, _, port = address.rpartition(":")
        self._runner = runner
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._site = aiohttp.web.SockSite(
            runner, self._socket.dup(), backlog=BACKLOG
        )

    async def start(self) -> None:
        """Accepts connections from now on."""
        await self._site.start()

    async def stop(self) -> None:
        """Refuses new connections.

        The kernel resets connections that wait to be accepted when the last
        descriptor of the listening socket is closed. They are accepted first
        and served to their end.
        """
        await self._site.stop()
        loop = asyncio.get_running_loop()
        for connection in accept_pending(self._socket):
            server = self._runner.server
            assert server is not None
            await loop.connect_accepted_socket(server, connection)


def accept_pending(listening: socket.socket) -> list[socket.socket]:
    """Accepts the connections that wait and closes the listening socket.

    Args:
      listening: A listening socket that does not block.

    Returns:
      The connections, which do not block either.
    """
    accepted = []
    while True:
        try:
            accepted.append(listening.accept()[0])
        except BlockingIOError:
            break
    listening.close()
    for connection in accepted:
        connection.setblocking(False)
    return accepted
