"""Connection of a caller whose input is limited before it is parsed."""

import asyncio
import http
import socket
import struct
import time
from typing import Any

import aiohttp.http
import aiohttp.streams
import aiohttp.web

from lycheerock._internal.ingress import callers as callers_lib
from lycheerock._internal.ingress import flow
from lycheerock._internal.ingress import framing as framing_lib

# Memory of a parsed head relative to its size on the wire, and of a body, which
# is buffered and then joined.
PARSED_HEAD_RATIO = 4
PARSED_BODY_RATIO = 2

# Tokens of a chunked body that are examined when they are received, and most
# that are examined in one iteration of the event loop for all connections whose
# input waits. On a machine with other load, 128 chunks of one byte took 0.15 ms
# and 1,024 took 1.2 ms.
TOKENS_AT_ONCE = 128
TOKENS_OF_TURN = 1_024

# Time and bytes for which input is dropped after a refusal. Without this, the
# kernel would reset the connection, and the caller would lose the response.
LINGER_S = 0.5
LINGER_BYTES = 524_288
# Time for which the rest of a body is read after an early response, so that the
# connection can be kept.
BODY_LINGER_S = 2.0

# After the time limit of a head, data that already waits in the kernel is read
# before the connection is refused.
HEAD_RECHECK_S = 0.05

# Offset of the smoothed round-trip time in `struct tcp_info`, in microseconds.
_TCP_INFO_ROUND_TRIP_OFFSET = 68

_TOO_SLOW = framing_lib.Refusal(408, "head_timeout")
_OUT_OF_MEMORY = framing_lib.Refusal(408, "memory")


class CallerConnection(flow.FlowControlledConnection):
    """Passes one request at a time on to the parser.

    A head is passed on when it is complete. A request that follows waits until
    the response to the previous one has been written.

    Attributes:
      has_pending_request: Whether data was received since the last response.
        aiohttp starts the handler of a request one iteration of the event loop
        after reading the request, so a list of running handlers would miss it.
      request_begin_s: Monotonic time at which the first byte of the current
        request was received.
    """

    __slots__ = (
        "_accepted_s",
        "_address",
        "_ahead_since_s",
        "_body_bytes",
        "_framing",
        "_has_data",
        "_head_bytes",
        "_head_timer",
        "_is_refused",
        "_is_running",
        "_lingered_bytes",
        "_passed_count",
        "_payload",
        "_round_trip_s",
        "has_pending_request",
        "request_begin_s",
    )

    def __init__(
        self, manager: Any, gate: callers_lib.IngressGate, **options: Any
    ) -> None:
        super().__init__(manager, gate, lingering_time=BODY_LINGER_S, **options)
        self.has_pending_request = False
        self.request_begin_s = 0.0
        self._framing = framing_lib.RequestFraming(gate.framing_limits)
        self._address = ""
        self._accepted_s = 0.0
        self._round_trip_s: float | None = None
        self._passed_count = 0
        self._ahead_since_s = 0.0
        self._head_bytes = 0
        self._body_bytes = 0
        self._payload: aiohttp.streams.StreamReader | None = None
        # Whether the response to the current request is not written yet.
        self._is_running = False
        self._is_refused = False
        self._has_data = False
        self._lingered_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def is_refused(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._is_refused

    def end_request(self) -> None:
        """States that the response to the current request is ready."""
        self.has_pending_request = bool(self._ahead)

    @property
    def margin_s(self) -> float:
        """Part of the caller's time that the current request spends outside."""
        return self._gate.distance.margin_s(
            is_new=self._passed_count <= 1, own_round_trip_s=self._round_trip_s
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the connection to the table, which may be full."""
        super().connection_made(transport)
        self._accepted_s = time.monotonic()
        peer = transport.get_extra_info("peername")
        self._address = str(peer[0]) if isinstance(peer, tuple) else ""
        victim = self._gate.table.add(self, self._address, self._accepted_s)
        if victim is not None:
            assert isinstance(victim, CallerConnection)
            victim.yield_connection()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Releases what the connection holds."""
        self._gate.table.remove(self)
        self._cancel_head_timer()
        self._leave_queue()
        self._ahead = b""
        super().connection_lost(exc)

    def _on_unread_response(self) -> None:
        self._gate.count_refusal("unread_response", 0, self._address)

    def data_received(self, data: bytes) -> None:
        """Examines received bytes; aiohttp passes none to continue parsing."""
        if not data:
            super().data_received(data)
            return
        if self._is_refused:
            self._drop(data)
            return
        if self._close or self._force_close:
            return
        if not self._has_data:
            self._has_data = True
            self._observe_distance()
        self.has_pending_request = True
        if len(data) >= flow.READ_TURN_BYTES:
            self._end_turn()
        if self._ahead or (self._is_running and not self._framing.is_in_body):
            if not self._ahead:
                self._ahead_since_s = time.monotonic()
            self._ahead += data
            if len(self._ahead) > flow.AHEAD_MAX_BYTES:
                self._pause_transport_reading()
        else:
            self._examine(data, time.monotonic(), TOKENS_AT_ONCE)
        self._record()

    def _observe_distance(self) -> None:
        delay_s = time.monotonic() - self._accepted_s
        # Where the network stack of this machine is the caller's peer, the
        # request follows the handshake at once, and the kernel has measured the
        # round trip. Where a proxy is, the delay shows it.
        assert self.transport is not None
        connection = self.transport.get_extra_info("socket")
        try:
            info = connection.getsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_INFO,
                _TCP_INFO_ROUND_TRIP_OFFSET + 4,
            )
            (measured_us,) = struct.unpack_from(
                "=I", info, _TCP_INFO_ROUND_TRIP_OFFSET
            )
        except (AttributeError, OSError, struct.error):
            # The transport has no TCP socket.
            measured_us = 0
        self._round_trip_s = self._gate.distance.observe(
            max(delay_s, measured_us / 1_000_000)
        )

    def _examine(self, data: bytes, received_s: float, tokens_max: int) -> None:
        while data:
            if not self._framing.is_in_body:
                self._framing.limits = self._gate.framing_limits
                if not self._framing.is_in_head:
                    self.request_begin_s = received_s
            step = self._framing.feed(data, tokens_max)
            if step.refusal is not None:
                self._refuse(step.refusal)
                return
            if step.head:
                self._cancel_head_timer()
                if not self._start_request(step):
                    return
            self._pass_body(step)
            data = step.rest
            if data and (self._is_running or self._framing.is_in_body):
                self._ahead = data
                self._ahead_since_s = received_s
                if not step.is_complete:
                    self._wait_for_turn()
                return
        limit_s = self._gate.caller_limits.header_timeout_s
        if (
            self._framing.is_in_head
            and self._head_timer is None
            and limit_s > 0
        ):
            self._head_timer = self._loop.call_later(
                limit_s, self._recheck_head
            )

    def _wait_for_turn(self) -> None:
        """Examines the rest of the input after other connections' turns."""
        self._is_queued = True
        self._pause_transport_reading()
        self._gate.turns.add(self._take_turn)

    def _take_turn(self) -> None:
        self._is_queued = False
        # With a full buffer, the rest waits until the handler has consumed it.
        if self._framing.is_in_body and not self._reading_paused:
            self._continue()
        self._resume_if_allowed()

    def _leave_queue(self) -> None:
        self._is_queued = False
        self._gate.turns.remove(self._take_turn)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Continues with a body whose buffer was full."""
        if self._ahead and self._framing.is_in_body and not self._is_queued:
            self._wait_for_turn()
        super().resume_reading(resume_parser)

    def _start_request(self, step: framing_lib.Step) -> bool:
        head_bytes = PARSED_HEAD_RATIO * len(step.head)
        body_bytes = PARSED_BODY_RATIO * len(step.body)
        if not step.is_complete:
            body_bytes += len(step.rest)
        if not self._gate.table.has_room(self, head_bytes + body_bytes):
            self._refuse(_OUT_OF_MEMORY)
            return False
        self._passed_count += 1
        self._head_bytes = head_bytes
        self._body_bytes = 0
        self._is_running = True
        super().data_received(step.head)
        if not self._messages:
            self.force_close()
            return False
        message, payload = self._messages[-1]
        self._payload = payload
        if not isinstance(message, aiohttp.http.RawRequestMessage):
            # The parser has refused the head; the response is on its way.
            self._is_refused = True
            return False
        return True

    def _pass_body(self, step: framing_lib.Step) -> None:
        self._body_bytes += PARSED_BODY_RATIO * len(step.body)
        if not self._framing.is_chunked:
            if step.body:
                super().data_received(step.body)
            return
        # The chunks of the caller are joined, and extensions and trailers are
        # left out, so that the parser's work depends on the size only.
        encoded = b""
        if step.body:
            encoded = b"%x\r\n%b\r\n" % (len(step.body), step.body)
        if step.is_complete:
            encoded += b"0\r\n\r\n"
        if encoded:
            super().data_received(encoded)

    async def finish_response(
        self, request: Any, resp: Any, start_time: float | None
    ) -> tuple[aiohttp.web.StreamResponse, bool]:
        """Writes a response, then continues with the next request."""
        result = await super().finish_response(request, resp, start_time)
        self._is_running = False
        self._head_bytes = 0
        self._body_bytes = 0
        if not self._framing.is_in_body:
            # Otherwise the rest of the body waits for its examination.
            if self._ahead and result[0].keep_alive:
                self._loop.call_soon(self._continue)
            else:
                self._ahead = b""
        self._record()
        return result

    def _continue(self) -> None:
        if (
            self._is_refused
            or self.transport is None
            or self._is_queued
            or (self._is_running and not self._framing.is_in_body)
        ):
            return
        data, self._ahead = self._ahead, b""
        self.has_pending_request = bool(data)
        self._examine(data, self._ahead_since_s, TOKENS_OF_TURN)
        if not self._is_running and not self._is_refused:
            # The rest of a body whose response has been sent is no request.
            self.has_pending_request = (
                bool(self._ahead) or self._framing.is_incomplete
            )
        if len(self._ahead) <= flow.AHEAD_MAX_BYTES:
            self._resume_if_allowed()
        self._record()

    def _record(self) -> None:
        if self.transport is None:
            self._gate.table.remove(self)
            return
        framing = self._framing
        if framing.is_incomplete:
            activity = callers_lib.Activity.INCOMPLETE
        elif self._is_running and self._ahead:
            activity = callers_lib.Activity.RUNNING_AHEAD
        elif self._is_running:
            activity = callers_lib.Activity.RUNNING
        else:
            activity = callers_lib.Activity.IDLE
        held_bytes = (
            framing.held_bytes
            + len(self._ahead)
            + self._head_bytes
            + self._body_bytes
        )
        for victim in self._gate.table.update(
            self, held_bytes, activity, time.monotonic()
        ):
            assert isinstance(victim, CallerConnection)
            victim.release_memory()

    def release_memory(self) -> None:
        """Ends the incomplete request of this connection."""
        if self._is_running and not self._framing.is_in_body:
            # The response to the running request is still delivered.
            self._gate.count_refusal("memory", 0, self._address)
            self._drop_input()
            self.close()
        else:
            self._refuse(_OUT_OF_MEMORY)
        self._record()

    def yield_connection(self) -> None:
        """Closes the connection, since there are too many."""
        self._gate.count_refusal("connections", 0, self._address)
        self._drop_input()
        self._gate.table.remove(self)
        self.force_close()

    def _refuse(self, refusal: framing_lib.Refusal) -> None:
        self._gate.count_refusal(refusal.reason, refusal.status, self._address)
        self._drop_input()
        self._head_bytes = 0
        self._body_bytes = 0
        if self.transport is None:
            return
        if self._is_running:
            # A handler reads the body and sends the response. With the end of
            # the body, aiohttp does not wait for more of it afterwards.
            assert self._payload is not None
            self._payload.set_exception(
                callers_lib.RequestRefusedError(refusal.status, refusal.reason)
            )
            self._payload.feed_eof()
            self.close()
            return
        if self._framing_was_answered():
            self.force_close()
            return
        self.transport.write(callers_lib.encode_refusal(refusal))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._resume_if_allowed()
        self._loop.call_later(LINGER_S, self.force_close)

    def _framing_was_answered(self) -> bool:
        """Whether the response to an incomplete request was already sent."""
        return self._payload is not None and not self._payload.is_eof()

    def _drop_input(self) -> None:
        self._is_refused = True
        self._cancel_head_timer()
        self._leave_queue()
        self._ahead = b""
        self._framing = framing_lib.RequestFraming(self._framing.limits)

    def _drop(self, data: bytes) -> None:
        self._lingered_bytes += len(data)
        if self._is_running:
            # The response closes the connection; until then, nothing is read.
            self._pause_transport_reading()
        elif self._lingered_bytes > LINGER_BYTES:
            self.force_close()
        elif len(data) >= flow.READ_TURN_BYTES:
            self._end_turn()

    def _recheck_head(self) -> None:
        self._head_timer = self._loop.call_later(
            HEAD_RECHECK_S, self._expire_head
        )

    def _expire_head(self) -> None:
        self._head_timer = None
        if self._framing.is_in_head and not self._is_refused:
            self._refuse(_TOO_SLOW)
            self._record()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def handle_error(
        self,
        request: aiohttp.web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> aiohttp.web.StreamResponse:
        """Counts a head that the parser refused, instead of logging each."""
        if status != http.HTTPStatus.BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        self._gate.count_refusal("malformed_head", status, self._address)
        response = aiohttp.web.Response(status=status, text="malformed_head\n")
        response.force_close()
        return response
