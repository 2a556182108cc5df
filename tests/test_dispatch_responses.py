"""Tests of broken responses of targets in the JSON interface, over a socket."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time
import tracemalloc

import pytest

from lycheerock._internal.dispatch import connection as connection_lib
from lycheerock._internal.dispatch import work as work_lib

MIB = 1_048_576
REPLY_MAX_BYTES = MIB // 8
BODY = b'{"status": "ok", "request_id": "r1"}'
HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: %d\r\n"
    b"\r\n" % len(BODY)
)
OK_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = 65_536

# First bytes and the bytes that follow without end.
ENDLESS: dict[str, tuple[bytes, bytes]] = {
    "status line": (b"HTTP/1.1 200 ", b"O" * PIECE),
    "header fields": (OK_LINE, b"X-Field: value\r\n" * (PIECE // 16)),
    "header value": (OK_LINE + b"X-Field: ", b"v" * PIECE),
    "chunk extension": (CHUNKED_HEAD + b"4;name=", b"v" * PIECE),
    "trailer fields": (
        CHUNKED_HEAD + b"0\r\n",
        b"X-Field: value\r\n" * (PIECE // 16),
    ),
    "body without length": (OK_LINE + b"\r\n", b"b" * PIECE),
    "one-byte chunks": (CHUNKED_HEAD, b"1\r\nx\r\n" * (PIECE // 6)),
}


class ScriptedTarget:
    """Sends given bytes as the response to each request."""

    def __init__(self, first: bytes, repeated: bytes = b"") -> None:
        self._first = first
        self._repeated = repeated
        self.request_count = 0
        self.has_ended = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.request_count += 1
            writer.write(self._first)
            while self._repeated:
                writer.write(self._repeated)
                await writer.drain()
            await writer.drain()
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        self.has_ended.set()


@contextlib.asynccontextmanager
async def open_connection(
    target: ScriptedTarget,
) -> AsyncIterator[connection_lib.Connection]:
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = connection_lib.Connection(
        connection_lib.ConnectionSettings(
            f"http://{host}:{port}", REPLY_MAX_BYTES
        ),
        lambda: None,
    )
    try:
        yield connection
    finally:
        await connection.close()
        # An endless response ends only when the caller closes the connection.
        await asyncio.wait_for(target.has_ended.wait(), 20.0)
        server.close()


async def send(
    connection: connection_lib.Connection, limit_s: float
) -> work_lib.TargetResult:
    work = work_lib.TargetRequest(
        attempt_id="a1",
        caller="c",
        service="s",
        target_id="t",
        path="/book",
        body=b"{}",
        idempotent=False,
        deadline_s=time.monotonic() + limit_s,
    )
    async with asyncio.timeout(limit_s):
        return await connection.send(
            work, REPLY_MAX_BYTES, lambda _work, _now_s: None
        )


class TestTruncatedResponse:
    """A target that stops within its response and closes."""

    @pytest.mark.parametrize("size", range(0, len(HEAD) + len(BODY), 5))
    def test_response_cut_anywhere_is_lost(self, size: int) -> None:
        # Guards against a success with an empty or short body after a target
        # has closed in the middle of its head or body, and against a booking
        # that is reported as not run or sent again.
        async def test() -> None:
            target = ScriptedTarget((HEAD + BODY)[:size])
            async with open_connection(target) as connection:
                result = await send(connection, 20.0)
                assert result.status == work_lib.Status.LOST
                assert target.request_count == 1

        asyncio.run(test())

    @pytest.mark.parametrize("status", [b"100 Continue", b"103 Early Hints"])
    def test_interim_response_is_not_the_response(self, status: bytes) -> None:
        # Guards against an interim response that counts as an empty success.
        async def test() -> None:
            target = ScriptedTarget(b"HTTP/1.1 " + status + b"\r\n\r\n")
            async with open_connection(target) as connection:
                result = await send(connection, 20.0)
                assert result.status == work_lib.Status.LOST

        asyncio.run(test())

    @pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
    def test_invalid_status_is_no_reply(self, status: bytes) -> None:
        # Guards against a booking that counts as done, or as not run, by a
        # response whose status is none of HTTP.
        async def test() -> None:
            target = ScriptedTarget(HEAD.replace(b"200", status) + BODY)
            async with open_connection(target) as connection:
                result = await send(connection, 20.0)
                assert result.status in (
                    work_lib.Status.MALFORMED,
                    work_lib.Status.LOST,
                )
                assert target.request_count == 1

        asyncio.run(test())

    def test_whole_response_is_a_reply(self) -> None:
        # Guards against cases above that pass because nothing is ever read.
        async def test() -> None:
            async with open_connection(
                ScriptedTarget(HEAD + BODY)
            ) as connection:
                result = await send(connection, 20.0)
                assert result.status == work_lib.Status.REPLIED
                assert result.body == BODY

        asyncio.run(test())


class TestEndlessResponse:
    """Bytes without end, until the instance closes the connection."""

    MEMORY_MAX_BYTES = 24 * MIB

    @pytest.mark.parametrize("case", ENDLESS)
    def test_endless_response_ends_the_request(self, case: str) -> None:
        # Guards against a target that holds memory and processor time until the
        # deadline by sending without end.
        async def test() -> None:
            target = ScriptedTarget(*ENDLESS[case])
            async with open_connection(target) as connection:
                tracemalloc.start()
                try:
                    result = await send(connection, 60.0)
                    _, peak_bytes = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
            assert result.status in (
                work_lib.Status.LOST,
                work_lib.Status.TOO_LARGE,
            )
            assert peak_bytes < self.MEMORY_MAX_BYTES

        asyncio.run(test())
