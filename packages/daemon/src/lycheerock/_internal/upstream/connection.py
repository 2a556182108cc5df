"""One HTTP/1.1 connection to a target."""

import asyncio
import dataclasses
import socket
import time
from typing import cast

import httptools

from lycheerock._internal.upstream import receive_budget

# Maximum size of a response body. Targets send a few kilobytes; a body over
# this limit is a fault of the target.
RESPONSE_SIZE_MAX_BYTES = 8 * 1_048_576

# Maximum number of bytes of one exchange that belong to no body: heads, interim
# responses, chunk sizes and trailers. A chunked body adds to it.
OVERHEAD_MAX_BYTES = 65_536
OVERHEAD_PER_BODY_BYTE = 0.25
OVERHEAD_FOR_BODY_MAX_BYTES = 4 * OVERHEAD_MAX_BYTES

# Maximum number of parts of the bodies of one exchange. Each chunk, and each
# read within it, is a part that costs a call in Python: 118,000 chunks of one
# byte kept the event loop busy for 0.1 s. Beyond the free ones, parts must have
# a minimum size on average.
PARTS_FREE = 256
PART_MEAN_MIN_BYTES = 64
PARTS_MAX = 16_384

# Statuses that HTTP defines (RFC 9110, section 15). A response with another one
# is treated like one that cannot be parsed: its request may have run.
STATUS_MIN = 100
STATUS_MAX = 599

# Maximum number of header and trailer fields, and of interim responses, of one
# exchange.
FIELDS_MAX = 256
INTERIM_RESPONSES_MAX = 8

# A connection from which this much was read at once is read again only in the
# next iteration of the event loop. Otherwise the loop reads up to 8 MB from one
# connection before it turns to another one.
FULL_READ_BYTES = 65_536

# Bytes that are parsed before the limits are checked again. The parser holds a
# header field or value in memory until it is complete.
PARSE_PIECE_BYTES = 16_384

# Responses to earlier requests that are skipped before the connection is given
# up. A target may send a second copy of one response.
STALE_RESPONSES_MAX = 2

# Responses below this size are left out of the memory budget of the process,
# which saves the bookkeeping for nearly all of them.
BUDGETED_SIZE_MIN_BYTES = 65_536

# The kernel closes a connection whose sent data stays unacknowledged for this
# long. It is several round trips between regions, but well under the shortest
# timeout of a route, so a dead network path is detected while a request is
# still running.
USER_TIMEOUT_MS = 1_500

# TCP keepalive of idle connections: a dead network path is detected after about
# three seconds, so that a connection idle for longer is not reused. If it is
# reused earlier, USER_TIMEOUT_MS limits how long its request waits.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class ConnectionBrokenError(Exception):
    """The connection failed before the complete response was read."""


class ResponseLimitError(ConnectionBrokenError):
    """The target exceeded a limit on the work that its response may cause."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete response of a target.

    Attributes:
      status: HTTP status.
      headers: Pairs of lower-case name and value, in the order received.
      body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first value of a header by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Connection(asyncio.Protocol):
    """Sends one request at a time and reads its response.

    aiohttp's client is not used, because it resends idempotent requests by
    itself and treats a body without a length as complete after a reset.

    Attributes:
      idle_since_s: Monotonic time at which the last exchange ended.
      exchange_s: Duration of the last exchange.
      was_silent: Whether the last exchange ended before any byte came.
      idle_limit_s: Idle time after which the target closes the connection, or
        None if it has not announced one.
    """

    def __init__(
        self,
        request_id_header: str,
        memory: receive_budget.ReceiveBudget,
    ) -> None:
        self._request_id_header = request_id_header
        self._memory = memory
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[Response] | None = None
        self._request_id = ""
        self._expects_no_body = False
        self._body_size_max_bytes = RESPONSE_SIZE_MAX_BYTES
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._part_count = 0
        self._field_count = 0
        self._interim_count = 0
        self._stale_count = 0
        self._has_echoed_id = False
        self._has_headers = False
        self._is_framed = False
        self._received_eof = False
        self._reuse_disabled = False
        self.idle_since_s = time.monotonic()
        self.exchange_s = 0.0
        self.was_silent = False
        self.idle_limit_s: float | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not subclasses of asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        if self._waiter is None:
            # An unsolicited response could be mistaken for the response to the
            # next request.
            self.close()
            return
        for start in range(0, len(data), PARSE_PIECE_BYTES):
            self._parse(data[start : start + PARSE_PIECE_BYTES])
            if self._reuse_disabled and self._is_decided:
                return
        if len(data) >= FULL_READ_BYTES:
            self._read_on_in_next_iteration()

    def _read_on_in_next_iteration(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _parse(self, data: bytes) -> None:
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, ConnectionBrokenError):
                raise
            self._fail(str(cause), type(cause))
        except httptools.HttpParserError as error:
            self._fail(f"unreadable response: {error}")
        except httptools.HttpParserUpgrade:
            self._fail("the target switched to another protocol")
        overhead_bytes = self._received_bytes - self._received_body_bytes
        allowed_for_body_bytes = min(
            OVERHEAD_FOR_BODY_MAX_BYTES,
            OVERHEAD_PER_BODY_BYTE * self._received_body_bytes,
        )
        if overhead_bytes > OVERHEAD_MAX_BYTES + allowed_for_body_bytes:
            self._fail(
                "too many bytes that belong to no body", ResponseLimitError
            )

    def eof_received(self) -> None:
        self._received_eof = True

    def connection_lost(self, exc: Exception | None) -> None:
        self._reuse_disabled = True
        is_clean = exc is None and self._received_eof
        if is_clean and self._has_headers and not self._is_framed:
            # A response without a length ends with its connection.
            self._complete_response()
        self._fail("reset" if exc is not None else "closed")

    # httptools callbacks

    def on_message_begin(self) -> None:
        if self._is_decided:
            # Surplus data after a complete response. Its end would be taken for
            # the start of the next response.
            self.close()
        self._headers = []
        self._body = bytearray()
        self._has_headers = False
        self._is_framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._field_count += 1
        if self._field_count > FIELDS_MAX:
            # An exception ends the parser's work on the rest of the data.
            raise ResponseLimitError("too many header fields")
        key = name.decode("latin-1").lower()
        if key in ("content-length", "transfer-encoding"):
            self._is_framed = True
        self._headers.append((key, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if not STATUS_MIN <= status <= STATUS_MAX:
            raise ConnectionBrokenError(f"invalid status {status}")
        if status < 200:
            self._interim_count += 1
            if self._interim_count > INTERIM_RESPONSES_MAX:
                raise ResponseLimitError("too many interim responses")
            return
        self._has_headers = True
        if self._expects_no_body:
            self._reuse_disabled = True
            self._complete_response()

    def on_body(self, data: bytes) -> None:
        if self._is_decided:
            return
        self._received_body_bytes += len(data)
        if self._received_body_bytes > self._body_size_max_bytes:
            raise ResponseLimitError("response too large")
        self._part_count += 1
        if self._part_count > PARTS_FREE and self._part_count > min(
            PARTS_MAX,
            PARTS_FREE + self._received_body_bytes / PART_MEAN_MIN_BYTES,
        ):
            raise ResponseLimitError("too many small chunks")
        self._body += data
        if len(self._body) > BUDGETED_SIZE_MIN_BYTES:
            self._memory.record(self, len(self._body), self._fail)

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            return
        if not self._parser.should_keep_alive():
            self._reuse_disabled = True
        self._complete_response()

    # Interface for the pool

    @property
    def _is_decided(self) -> bool:
        """Whether no request waits for a response any more."""
        return self._waiter is None or self._waiter.done()

    @property
    def is_usable(self) -> bool:
        """Whether another request can be sent now."""
        transport = self._transport
        if (
            self._reuse_disabled
            or self._received_eof
            or self._waiter is not None
        ):
            return False
        if transport is None or transport.is_closing():
            return False
        # Unsent data means that the target responded before it had read the
        # complete request.
        return transport.get_write_buffer_size() == 0

    async def exchange(
        self,
        request: bytes,
        request_id: str,
        *,
        is_head: bool = False,
        body_size_max_bytes: int = RESPONSE_SIZE_MAX_BYTES,
    ) -> Response:
        """Sends a request and waits for its response.

        Args:
          request: The encoded request.
          request_id: Id that the target echoes. A response with another id is
            ignored, since it belongs to an earlier request.
          is_head: Whether this is a HEAD request, whose response has no body
            regardless of its headers.
          body_size_max_bytes: Maximum size of the response body.

        Returns:
          The complete response.

        Raises:
          ConnectionBrokenError: There is no complete response; the request may
            have run. It is a ResponseLimitError if the target exceeded a limit.
        """
        assert self._transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self._request_id = request_id
        self._expects_no_body = is_head
        self._body_size_max_bytes = body_size_max_bytes
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._part_count = 0
        self._field_count = 0
        self._interim_count = 0
        self._stale_count = 0
        start_s = time.monotonic()
        self._transport.write(request)
        try:
            return await self._waiter
        finally:
            if not self._waiter.done() or self._waiter.cancelled():
                self.close()
            self._waiter = None
            self._release_memory()
            self.idle_since_s = time.monotonic()
            self.exchange_s = self.idle_since_s - start_s
            self.was_silent = self._received_bytes == 0

    def close(self) -> None:
        """Closes the connection, which aborts a running request."""
        self._reuse_disabled = True
        if self._transport is not None:
            self._transport.abort()

    def _complete_response(self) -> None:
        waiter = self._waiter
        if waiter is None or waiter.done():
            # Surplus data after a complete response.
            self.close()
            return
        status = self._parser.get_status_code()
        echoed = next(
            (v for k, v in self._headers if k == self._request_id_header), None
        )
        if echoed is not None and echoed != self._request_id:
            self._skip_stale_response()
            return
        if echoed is None and self._has_echoed_id:
            # A target that echoes ids does so in its rejections, too. Without
            # one, these may be surplus bytes of an earlier exchange, while the
            # target works on this request.
            self._fail("the response has no request id, earlier ones had one")
            return
        self._has_echoed_id |= echoed is not None
        self._read_idle_limit()
        response = Response(status, tuple(self._headers), bytes(self._body))
        waiter.set_result(response)

    def _skip_stale_response(self) -> None:
        self._reuse_disabled = True
        self._release_memory()
        self._stale_count += 1
        if self._stale_count > STALE_RESPONSES_MAX:
            self._fail(
                "the target keeps sending responses to other requests",
                ResponseLimitError,
            )

    def _release_memory(self) -> None:
        self._memory.release(self)
        self._body = bytearray()

    def _read_idle_limit(self) -> None:
        for key, value in self._headers:
            if key == "keep-alive":
                self.idle_limit_s = parse_keep_alive_s(value)

    def _fail(
        self,
        problem: str,
        error_type: type[ConnectionBrokenError] = ConnectionBrokenError,
    ) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(error_type(problem))
            # The exchange releases it only when its task runs again.
            self._release_memory()
        self.close()


def parse_keep_alive_s(value: str) -> float | None:
    """Returns the idle timeout of a Keep-Alive header, or None.

    Args:
      value: Value of the header, such as "timeout=5, max=100".
    """
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        # Digits such as "²" are no number for `float`.
        is_number = number.strip().isdecimal() and number.isascii()
        if name.lower() == "timeout" and is_number:
            return float(number)
    return None


def set_socket_options(connection: socket.socket | None) -> None:
    """Makes the kernel detect a peer that no longer responds.

    Args:
      connection: A TCP socket, or None if the event loop does not expose it.
    """
    if connection is None:
        return
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        connection.setsockopt(level, option, value)
