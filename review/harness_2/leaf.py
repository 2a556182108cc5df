"""A leaf whose answers are written byte for byte, with faults of its own."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import time


@dataclasses.dataclass(frozen=True)
class Run:
    """A request on which a leaf has begun to work.

    Attributes:
      request_id: Id of the client's attempt.
      time_s: Monotonic time of the begin.
    """

    request_id: str
    time_s: float


class Leaf:
    """Serves one request at a time on a connection and echoes its id.

    Attributes:
      name: Id of the leaf.
      port: The port that it listens on, or 0 before `start`.
      delay_s: Time for which it works on a request.
      late_extra: Returns the additional bytes that follow a complete answer,
        or none. They arrive late, when the next answer is expected.
      runs: All requests on which it has begun to work.
      extra_count: Number of times at which additional bytes were sent.
    """

    def __init__(self, name: str, delay_s: float) -> None:
        self.name = name
        self.port = 0
        self.delay_s = delay_s
        self.late_extra: Callable[[], bytes] = lambda: b""
        self.runs: list[Run] = []
        self.extra_count = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening on a free loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        extra = b""
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                headers = await _read_request(reader)
                if extra:
                    self.extra_count += 1
                    writer.write(extra)
                writer.write(await self._answer(headers))
                await writer.drain()
                extra = self.late_extra()
        writer.close()

    async def _answer(self, headers: dict[str, str]) -> bytes:
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            return (
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"X-Request-Not-Executed: 1\r\n"
                + f"X-Request-Id: {request_id}\r\n".encode()
                + b"Content-Length: 0\r\n\r\n"
            )
        self.runs.append(Run(request_id, time.monotonic()))
        await asyncio.sleep(self.delay_s)
        body = f"{self.name} {request_id}".encode()
        return (
            b"HTTP/1.1 200 OK\r\n"
            + f"X-Server-Stamp: {self.name}.{request_id}\r\n".encode()
            + f"X-Request-Id: {request_id}\r\n".encode()
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )


async def _read_request(reader: asyncio.StreamReader) -> dict[str, str]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    headers = {}
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", "0")))
    return headers
