"""The HTTP server for callers."""

import asyncio
from collections.abc import Callable
import socket

import aiohttp.web

from lycheerock._internal.gateway import handler as handler_lib
from lycheerock._internal.routing import table
from lycheerock._internal.upstream import connection as connection_lib

BACKLOG = 1_024

# Idle connections are kept this much longer than callers may count on, so that
# a request does not cross the close.
IDLE_EXTRA_RATIO = 1.5


class GatewayServer:
    """Owns the listening socket and the callers' connections."""

    def __init__(
        self,
        handler: handler_lib.Handler,
        current_limits: Callable[[], table.CallerLimits],
        address: str,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._current_limits = current_limits
        # A caller that leaves cancels its handler, which drops the requests at
        # the targets.
        self._server = aiohttp.web.Server(
            handler.handle, handler_cancellation=True
        )
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._listener: asyncio.Server | None = None

    @property
    def connection_count(self) -> int:
        """Connections of callers."""
        return len(self._server.connections)

    async def start(self) -> None:
        """Accepts connections from now on."""
        self._listener = await asyncio.get_running_loop().create_server(
            self._open, sock=self._socket.dup(), backlog=BACKLOG
        )

    def _open(self) -> aiohttp.web.RequestHandler:
        limits = self._current_limits()
        return aiohttp.web.RequestHandler(
            self._server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=IDLE_EXTRA_RATIO * limits.idle_timeout_s,
            max_line_size=limits.header_size_max_bytes,
            max_field_size=limits.header_size_max_bytes,
            auto_decompress=False,
        )

    async def close_listener(self) -> None:
        """Refuses new connections, after accepting those that wait.

        The kernel resets connections that wait to be accepted when the last
        descriptor of the listening socket is closed.
        """
        if self._listener is not None:
            self._listener.close()
        accepted = []
        while True:
            try:
                accepted.append(self._socket.accept()[0])
            except BlockingIOError:
                break
        self._socket.close()
        loop = asyncio.get_running_loop()
        for connection in accepted:
            connection.setblocking(False)
            connection_lib.set_socket_options(connection)
            await loop.connect_accepted_socket(self._open, connection)

    def close_idle(self) -> None:
        """Closes idle connections; the others close after their request."""
        self._server.pre_shutdown()

    async def close(self) -> None:
        """Ends all connections at once."""
        await self._server.shutdown(timeout=0.0)
