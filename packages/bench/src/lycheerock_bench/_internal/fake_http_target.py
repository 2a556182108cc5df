"""Fake of a target that serves forwarded requests over HTTP/1.1.

A target signs its successful responses, runs a bounded number of requests at a
time, and can be told to behave badly.
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
    """What a target does wrong."""

    NONE = "none"
    # Runs the request and resets the connection instead of answering.
    RESET_AFTER_RUN = "reset_after_run"
    # Never answers.
    SILENT = "silent"
    # States that it did not run the request.
    SHED = "shed"
    # Another target has taken over the address.
    MISDIRECTED = "misdirected"
    # Sends part of a body without a length and resets the connection.
    UNFRAMED_RESET = "unframed_reset"
    # Sends a whole body without a length and closes the connection.
    UNFRAMED = "unframed"
    # Sends a second response after the right one.
    EXTRA = "extra"
    # Sends the response of an earlier request before the right one.
    STALE_FIRST = "stale_first"
    # Sends bytes that are no HTTP.
    GARBAGE = "garbage"
    # Answers with a status that promises that the request was not run.
    PLAIN_503 = "plain_503"
    # Runs the request and fails.
    ERROR = "error"
    # Claims an encoding that nobody asked for.
    ENCODED = "encoded"
    # Closes a kept connection when the next request arrives.
    FORGETS_IDLE = "forgets_idle"


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that a target has read.

    Attributes:
      request_id: Id of the caller's attempt.
      method: HTTP method.
      path: Path and query.
      headers: Headers in lower case.
      body: Whole body.
      time_s: Time of the event loop.
      connection_number: Connection that it came on.
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
    """One target, listening on a loopback port.

    Attributes:
      fault: What it does wrong with every request.
      delay_s: Time that a request takes.
      body: Body of its answers.
      arrivals: Requests that it has read.
      runs: Requests that it has begun to work on.
      running: Requests that it works on.
      dropped_ids: Requests whose connection was closed while it worked.
    """

    def __init__(self, target_id: str, body: bytes = b"") -> None:
        self.target_id = target_id
        self.body = body
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.arrivals: list[Arrival] = []
        self.runs: list[Arrival] = []
        self.running = 0
        self.dropped_ids: list[str] = []
        self.connection_numbers = itertools.count()
        self.open_connections: set[asyncio.Transport] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listens on a loopback port, a free one by default."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Resets all connections and stops listening."""
        if self._server is not None:
            self._server.close()
        for transport in list(self.open_connections):
            transport.abort()

    def response(self, request_id: str) -> bytes:
        """Returns a complete, signed response."""
        return (
            b"HTTP/1.1 200 OK\r\n"
            + f"X-Server-Stamp: {self.target_id}.{request_id}\r\n".encode()
            + f"X-Request-Id: {request_id}\r\n".encode()
            + f"Content-Length: {len(self.body)}\r\n\r\n".encode()
            + self.body
        )

    def response_to(self, arrival: Arrival, fault: Fault) -> bytes:
        """Returns the bytes of an answer with a fault."""
        whole = self.response(arrival.request_id)
        stamp = f"X-Server-Stamp: {self.target_id}.x\r\n".encode()
        unframed = b"HTTP/1.1 200 OK\r\n" + stamp + b"\r\n"
        refusal = b"X-Request-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        return {
            Fault.SHED: b"HTTP/1.1 503 Busy\r\n" + refusal,
            Fault.MISDIRECTED: b"HTTP/1.1 421 Misdirected\r\n" + refusal,
            Fault.UNFRAMED_RESET: unframed + self.body[: len(self.body) // 2],
            Fault.UNFRAMED: unframed + self.body,
            Fault.EXTRA: whole + self.response("of-another-request"),
            Fault.STALE_FIRST: self.response("of-another-request") + whole,
            Fault.GARBAGE: b"\x00\x01 this is no response\r\n\r\n",
            Fault.PLAIN_503: b"HTTP/1.1 503 Busy\r\n"
            + stamp
            + b"Content-Length: 0\r\n\r\n",
            Fault.ERROR: b"HTTP/1.1 500 Error\r\n"
            + stamp
            + b"Content-Length: 4\r\n\r\nboom",
            Fault.ENCODED: whole.replace(
                b"\r\n\r\n", b"\r\nContent-Encoding: br\r\n\r\n", 1
            ),
        }.get(fault, whole)


class _Connection(asyncio.Protocol):
    def __init__(self, target: FakeHttpTarget) -> None:
        self._target = target
        self._number = next(target.connection_numbers)
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._path = ""
        self._headers: dict[str, str] = {}
        self._body = b""
        self._served_count = 0
        self._work: asyncio.Task[None] | None = None
        self._working_id = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._target.open_connections.add(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._target.open_connections.discard(self._transport)
        if self._work is not None and not self._work.done():
            self._target.dropped_ids.append(self._working_id)
            self._work.cancel()

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
        self._working_id = arrival.request_id
        self._work = asyncio.create_task(self._serve(arrival))

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
        transport.write(target.response_to(arrival, fault))
        if fault == Fault.UNFRAMED:
            transport.close()
        elif fault == Fault.UNFRAMED_RESET:
            # The bytes leave before the reset, as they do on a network.
            await asyncio.sleep(0.02)
            _reset(transport)


def _reset(transport: asyncio.Transport) -> None:
    """Ends a connection with a reset; without the option a close is clean."""
    connection = transport.get_extra_info("socket")
    no_linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    transport.abort()
