"""Fake target that serves forwarded requests over HTTP/1.1.

The fake target puts its stamp on successful responses and can inject faults.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import itertools
import socket
import struct
from typing import cast

import httptools


class Fault(enum.StrEnum):
    """Fault that the target injects into its responses."""

    NONE = "none"
    # Runs the request and resets the connection instead of answering.
    RESET_AFTER_RUN = "reset_after_run"
    # Never answers.
    SILENT = "silent"
    # Responds that it did not run the request.
    SHED = "shed"
    # Responds that the request was meant for another target, as happens when an
    # address is reused.
    MISDIRECTED = "misdirected"
    # Sends part of a body without Content-Length and resets the connection.
    UNFRAMED_RESET = "unframed_reset"
    # Sends a complete body without Content-Length and closes the connection.
    UNFRAMED = "unframed"
    # Sends an extra response after the correct one.
    EXTRA = "extra"
    # Sends the response to another request before the correct one.
    STALE_FIRST = "stale_first"
    # Sends bytes that are not HTTP.
    GARBAGE = "garbage"
    # Runs the request but responds with 503, which usually means that a request
    # was not run.
    PLAIN_503 = "plain_503"
    # Runs the request and responds with 500.
    ERROR = "error"
    # Runs the request and responds with `invalid_status`.
    INVALID_STATUS = "invalid_status"
    # Declares a content encoding that was not requested.
    ENCODED = "encoded"
    # Closes a reused connection when the next request arrives.
    FORGETS_IDLE = "forgets_idle"
    # Closes the connection in the middle of the head.
    CUT_HEAD = "cut_head"
    # Sends header fields until the caller closes the connection.
    ENDLESS_HEAD = "endless_head"
    # Sends a body without Content-Length until the caller closes.
    ENDLESS_BODY = "endless_body"
    # Sends chunks of one byte until the caller closes the connection.
    ENDLESS_CHUNKS = "endless_chunks"


_FLOOD_PIECES = {
    Fault.ENDLESS_HEAD: b"X-Field: value\r\n" * 4_096,
    Fault.ENDLESS_BODY: bytes(65_536),
    Fault.ENDLESS_CHUNKS: b"1\r\nx\r\n" * 10_922,
}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that a target has received.

    Attributes:
      request_id: Value of the X-Request-Id header.
      method: HTTP method.
      path: Path and query.
      headers: Headers by lower-case name.
      body: Complete body.
      time_s: Time of the arrival on the clock of the event loop.
      connection_number: Number of the connection that carried it.
    """

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    time_s: float
    connection_number: int


Behaviour = Callable[[Arrival], Fault]


class FakeHttpTarget:
    """A target that listens on a loopback port.

    Attributes:
      target_id: Id of the target, which its stamp contains.
      fault: Fault applied to every request.
      invalid_status: Status of the responses with the fault INVALID_STATUS.
      delay_s: Service time of a request.
      body: Body of the responses.
      extra_headers: Header lines added to each response, with their CRLF.
      arrivals: Requests that it has received.
      runs: Requests that it has started to run.
      running: Number of requests in progress.
      dropped_ids: Ids of the requests whose connection was closed before the
        response was sent.
      connection_numbers: Source of the numbers of new connections.
      open_connections: Transports of the open connections.
      port: The port that it listens on, or 0 before `start`.
    """

    def __init__(self, target_id: str, body: bytes = b"") -> None:
        self.target_id = target_id
        self.body = body
        self.fault = Fault.NONE
        self.invalid_status = 0
        self.delay_s = 0.0
        self.extra_headers = b""
        self.arrivals: list[Arrival] = []
        self.runs: list[Arrival] = []
        self.running = 0
        self.dropped_ids: list[str] = []
        self.connection_numbers = itertools.count()
        self.open_connections: set[asyncio.Transport] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Starts listening on a loopback port; 0 selects a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server is not None:
            self._server.close()
        for transport in list(self.open_connections):
            transport.abort()

    def response(self, request_id: str) -> bytes:
        """Returns a complete response with the stamp of the target."""
        return (
            b"HTTP/1.1 200 OK\r\n"
            + f"X-Server-Stamp: {self.target_id}.{request_id}\r\n".encode()
            + f"X-Request-Id: {request_id}\r\n".encode()
            + f"Content-Length: {len(self.body)}\r\n\r\n".encode()
            + self.body
        )

    def response_to(self, arrival: Arrival, fault: Fault) -> bytes:
        """Returns the response to a request, with a fault injected."""
        correct = self.response(arrival.request_id)
        stamp = f"X-Server-Stamp: {self.target_id}.x\r\n".encode()
        unframed = b"HTTP/1.1 200 OK\r\n" + stamp + b"\r\n"
        echoed_id = f"X-Request-Id: {arrival.request_id}\r\n".encode()
        refusal = (
            echoed_id
            + b"X-Request-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        return {
            Fault.SHED: b"HTTP/1.1 503 Busy\r\n" + refusal,
            Fault.MISDIRECTED: b"HTTP/1.1 421 Misdirected\r\n" + refusal,
            Fault.UNFRAMED_RESET: unframed + self.body[: len(self.body) // 2],
            Fault.UNFRAMED: unframed + self.body,
            Fault.EXTRA: correct + self.response("of-another-request"),
            Fault.STALE_FIRST: self.response("of-another-request") + correct,
            Fault.GARBAGE: b"\x00\x01 this is no response\r\n\r\n",
            Fault.PLAIN_503: b"HTTP/1.1 503 Busy\r\n"
            + echoed_id
            + stamp
            + b"Content-Length: 0\r\n\r\n",
            Fault.ERROR: b"HTTP/1.1 500 Error\r\n"
            + echoed_id
            + stamp
            + b"Content-Length: 4\r\n\r\nboom",
            Fault.CUT_HEAD: correct[: correct.index(b"Content-Length")],
            Fault.ENDLESS_HEAD: b"HTTP/1.1 200 OK\r\n" + stamp,
            Fault.ENDLESS_BODY: unframed,
            Fault.ENDLESS_CHUNKS: b"HTTP/1.1 200 OK\r\n"
            + stamp
            + b"Transfer-Encoding: chunked\r\n\r\n",
            Fault.INVALID_STATUS: correct.replace(
                b"200", b"%03d" % self.invalid_status, 1
            ),
            Fault.ENCODED: correct.replace(
                b"\r\n\r\n", b"\r\nContent-Encoding: br\r\n\r\n", 1
            ),
        }.get(fault, correct)


class _Connection(asyncio.Protocol):
    """Server side of one connection, which handles one request at a time."""

    def __init__(self, target: FakeHttpTarget) -> None:
        self._target = target
        self._number = next(target.connection_numbers)
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._path = ""
        self._headers: dict[str, str] = {}
        self._body = b""
        self._served_count = 0
        self._serve_task: asyncio.Task[None] | None = None
        self._current_id = ""
        self._can_write = asyncio.Event()
        self._can_write.set()

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._target.open_connections.add(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._target.open_connections.discard(self._transport)
        if self._serve_task is not None and not self._serve_task.done():
            self._target.dropped_ids.append(self._current_id)
            self._serve_task.cancel()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._path = ""
        self._headers = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        self._path += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        arrival = Arrival(
            self._headers.get("x-request-id", ""),
            self._parser.get_method().decode(),
            self._path,
            self._headers,
            self._body,
            asyncio.get_running_loop().time(),
            self._number,
        )
        self._target.arrivals.append(arrival)
        self._current_id = arrival.request_id
        self._serve_task = asyncio.create_task(self._serve(arrival))

    async def _serve(self, arrival: Arrival) -> None:
        target = self._target
        transport = self._transport
        assert transport is not None
        fault = target.fault
        self._served_count += 1
        if fault == Fault.FORGETS_IDLE and self._served_count > 1:
            target.arrivals.pop()
            transport.abort()
            return
        expected = arrival.headers.get("x-expect-instance", target.target_id)
        if expected != target.target_id:
            fault = Fault.MISDIRECTED
        if fault not in (Fault.SHED, Fault.MISDIRECTED):
            target.runs.append(arrival)
        target.running += 1
        try:
            await asyncio.sleep(target.delay_s)
            if fault == Fault.SILENT:
                await asyncio.Event().wait()
        finally:
            target.running -= 1
        if fault == Fault.RESET_AFTER_RUN:
            _reset(transport)
            return
        status_line, _, rest = target.response_to(arrival, fault).partition(
            b"\r\n"
        )
        transport.write(status_line + b"\r\n" + target.extra_headers + rest)
        if fault in _FLOOD_PIECES:
            await self._flood(transport, _FLOOD_PIECES[fault])
        elif fault in (Fault.UNFRAMED, Fault.CUT_HEAD):
            transport.close()
        elif fault == Fault.UNFRAMED_RESET:
            # Gives the bytes time to be sent before the reset.
            await asyncio.sleep(0.02)
            _reset(transport)

    async def _flood(self, transport: asyncio.Transport, piece: bytes) -> None:
        while not transport.is_closing():
            await self._can_write.wait()
            transport.write(piece)
            await asyncio.sleep(0.0)


def _reset(transport: asyncio.Transport) -> None:
    """Closes a connection with a TCP reset, by setting its linger time to 0."""
    connection = transport.get_extra_info("socket")
    zero_linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
    transport.abort()
