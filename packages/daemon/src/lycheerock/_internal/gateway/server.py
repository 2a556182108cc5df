"""The HTTP server for callers."""

import asyncio
from collections.abc import Callable
import socket
from typing import Any

import aiohttp.web

from lycheerock._internal.gateway import handler as handler_lib
from lycheerock._internal.lifecycle import listener as listener_lib
from lycheerock._internal.routing import table
from lycheerock._internal.upstream import connection as connection_lib

BACKLOG = 1_024

# Idle connections are kept this much longer than callers may count on, so that
# a request does not cross the close.
IDLE_EXTRA_RATIO = 1.5


class CallerConnection(aiohttp.web.RequestHandler):
    """A caller's connection that knows whether it owes an answer.

    Attributes:
      owes_answer: Whether bytes have come in since the last answer. aiohttp
        starts the handler of a request one turn of the loop after it has read
        the request, so a list of running handlers would miss it.
    """

    __slots__ = ("owes_answer",)

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.owes_answer = False

    def data_received(self, data: bytes) -> None:
        """Takes bytes of requests."""
        self.owes_answer = True
        super().data_received(data)


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
            self._serve, handler_cancellation=True
        )
        self._handler = handler
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

    async def _serve(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        try:
            return await self._handler.handle(request)
        finally:
            connection = request.protocol
            assert isinstance(connection, CallerConnection)
            connection.owes_answer = False

    def _open(self) -> CallerConnection:
        limits = self._current_limits()
        return CallerConnection(
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
        loop = asyncio.get_running_loop()
        for connection in listener_lib.take_waiting(self._socket):
            connection_lib.set_socket_options(connection)
            await loop.connect_accepted_socket(self._open, connection)

    def close_idle(self) -> None:
        """Closes the connections that owe no answer.

        What was written is still sent. aiohttp's own `pre_shutdown` is no
        substitute: it stops reading from idle connections but leaves them open,
        so that a caller waits for an answer until its deadline.
        """
        for connection in self._server.connections:
            assert isinstance(connection, CallerConnection)
            if not connection.owes_answer:
                connection.force_close()

    async def close(self) -> None:
        """Ends all connections at once."""
        if self._listener is not None:
            self._listener.close()
        for connection in self._server.connections:
            # aiohttp's `shutdown` waits 15 s for each idle connection.
            connection.force_close()
