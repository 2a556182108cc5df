"""HTTP server for callers."""

import asyncio
import socket
import time

import aiohttp.web

from lycheerock._internal.gateway import early_listener
from lycheerock._internal.gateway import handler as handler_lib
from lycheerock._internal.ingress import callers as callers_lib
from lycheerock._internal.ingress import connection as ingress_connection
from lycheerock._internal.ingress import flow
from lycheerock._internal.lifecycle import listener as listener_lib
from lycheerock._internal.upstream import connection as connection_lib

# Idle connections are kept longer than the configured timeout by this factor,
# so that the server does not close one while a caller sends a request on it.
IDLE_TIMEOUT_RATIO = 1.5

# Interval at which the delay of the event loop is measured.
LAG_PROBE_INTERVAL_S = 0.25


class GatewayServer:
    """Owns the listening socket and the callers' connections."""

    def __init__(
        self,
        handler: handler_lib.Handler,
        gate: callers_lib.IngressGate,
        listening_socket: socket.socket,
    ) -> None:
        self._gate = gate
        # When a caller disconnects, its handler is cancelled, which aborts the
        # requests to targets.
        self._server = aiohttp.web.Server(
            self._serve, handler_cancellation=True
        )
        self._handler = handler
        self._socket = listening_socket
        flow.limit_receive_buffer(listening_socket)
        self._lag_probe: asyncio.TimerHandle | None = None
        self._listener: asyncio.Server | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections of callers."""
        return len(self._server.connections)

    async def start(self) -> None:
        """Starts accepting connections."""
        self._schedule_lag_probe()
        self._listener = await asyncio.get_running_loop().create_server(
            self._build_connection,
            sock=self._socket.dup(),
            backlog=early_listener.LISTEN_BACKLOG,
        )

    def _schedule_lag_probe(self) -> None:
        due_s = time.monotonic() + LAG_PROBE_INTERVAL_S

        def measure() -> None:
            self._gate.distance.lag.observe(time.monotonic() - due_s)
            self._schedule_lag_probe()

        self._lag_probe = asyncio.get_running_loop().call_later(
            LAG_PROBE_INTERVAL_S, measure
        )

    async def _serve(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        try:
            return await self._handler.handle(request)
        finally:
            connection = request.protocol
            assert isinstance(connection, ingress_connection.CallerConnection)
            connection.end_request()

    def _build_connection(self) -> ingress_connection.CallerConnection:
        limits = self._gate.caller_limits
        return ingress_connection.CallerConnection(
            self._server,
            self._gate,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=IDLE_TIMEOUT_RATIO * limits.idle_timeout_s,
            max_line_size=limits.header_size_max_bytes,
            max_field_size=limits.header_size_max_bytes,
            auto_decompress=False,
        )

    async def close_listener(self) -> None:
        """Closes the listening socket after accepting queued connections.

        The kernel resets the connections in the accept queue when the last
        descriptor of the listening socket is closed.
        """
        if self._listener is not None:
            self._listener.close()
        loop = asyncio.get_running_loop()
        for connection in listener_lib.accept_pending(self._socket):
            connection_lib.set_socket_options(connection)
            await loop.connect_accepted_socket(
                self._build_connection, connection
            )

    def close_idle(self) -> None:
        """Closes the connections without a pending request.

        Data that was already written is still sent. aiohttp's `pre_shutdown`
        cannot be used instead: it stops reading from idle connections but
        leaves them open, so a caller would wait for a response until its
        deadline.
        """
        for connection in self._server.connections:
            assert isinstance(connection, ingress_connection.CallerConnection)
            if not connection.has_pending_request:
                connection.force_close()

    async def close(self) -> None:
        """Closes the listening socket and all connections immediately.

        Callers that connected to a process which failed to start are reset
        instead of waiting until their deadlines.
        """
        if self._lag_probe is not None:
            self._lag_probe.cancel()
        if self._listener is not None:
            self._listener.close()
        self._socket.close()
        for connection in self._server.connections:
            # aiohttp's `shutdown` waits 15 s for each idle connection.
            connection.force_close()
