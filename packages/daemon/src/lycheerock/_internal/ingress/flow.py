"""Flow control of a caller's connection."""

import asyncio
import socket
from typing import Any

import aiohttp.web

from lycheerock._internal.ingress import callers as callers_lib

# The kernel's receive buffer of a connection. It limits both the memory outside
# of the process and how much one read returns.
RECEIVE_BUFFER_BYTES = 131_072
# After a read of this size, other connections have their turn first.
READ_TURN_BYTES = 65_536
# Bytes after a running request that are read. Reading more would hold them for
# long; reading none would hide that the caller has closed the connection.
AHEAD_MAX_BYTES = 65_536
# Buffered bytes of a body beyond which reading stops until the handler has
# consumed some of them.
BODY_BUFFER_BYTES = 65_536


def limit_receive_buffer(listening_socket: socket.socket) -> None:
    """Limits the receive buffers of the connections that a socket accepts."""
    listening_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )


class FlowControlledConnection(aiohttp.web.RequestHandler):
    """Takes turns with other connections and limits the time of responses."""

    __slots__ = (
        "_ahead",
        "_gate",
        "_is_queued",
        "_is_turn_over",
        "_open_transport",
        "_unread_timer",
    )

    def __init__(
        self, manager: Any, gate: callers_lib.IngressGate, **options: Any
    ) -> None:
        super().__init__(manager, read_bufsize=BODY_BUFFER_BYTES, **options)
        self._gate = gate
        # Bytes after the current request.
        self._ahead = b""
        self._is_turn_over = False
        # Whether bytes of a body wait in the queue for their examination.
        self._is_queued = False
        # aiohttp forgets its transport when it begins to close it.
        self._open_transport: asyncio.Transport | None = None
        self._unread_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport until the connection is lost."""
        super().connection_made(transport)
        self._open_transport = self.transport

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the time limit of a response."""
        self._cancel_unread_timer()
        self._open_transport = None
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Limits the time for which a response may wait for its caller."""
        super().pause_writing()
        self._unread_timer = self._loop.call_later(
            self._gate.caller_limits.idle_timeout_s, self._abort_unread
        )

    def resume_writing(self) -> None:
        """Ends the time limit: the caller reads the response."""
        super().resume_writing()
        self._cancel_unread_timer()

    def _abort_unread(self) -> None:
        self._unread_timer = None
        self._on_unread_response()
        if self._open_transport is not None:
            # A graceful close would wait for the caller to read.
            self._open_transport.abort()

    def _cancel_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _end_turn(self) -> None:
        """Stops reading until the next iteration of the event loop."""
        if not self._is_turn_over:
            self._is_turn_over = True
            self._pause_transport_reading()
            self._loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_turn_over = False
        self._resume_if_allowed()

    def _resume_if_allowed(self) -> None:
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Resumes reading unless this class wants to read later."""
        if (
            self._is_turn_over
            or self._is_queued
            or len(self._ahead) > AHEAD_MAX_BYTES
        ):
            return
        super()._resume_transport_reading()

    def _on_unread_response(self) -> None:
        """Called before a connection is aborted whose caller does not read."""
