"""Tests that gRPC and aiohttp never retry a request on their own."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import grpc
import pytest
import test_links

from lycheerock._internal.dispatch import connection as connection_lib
from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import channels
from lycheerock._internal.peers import links
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

_FRAME_HEADER_BYTES = 9
_HEADERS, _SETTINGS, _GOAWAY = 1, 4, 7


def _http2_frame(kind: int, flags: int, payload: bytes) -> bytes:
    head = len(payload).to_bytes(3, "big") + bytes((kind, flags))
    return head + bytes(4) + payload


class RefusingHttp2Server:
    """Fake server that rejects each call with GOAWAY as unprocessed.

    With a last stream id of zero, a client may transparently retry the call.
    """

    def __init__(self) -> None:
        self.calls = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readexactly(24)
        writer.write(_http2_frame(_SETTINGS, 0, b""))
        kind = None
        while kind != _HEADERS:
            head = await reader.readexactly(_FRAME_HEADER_BYTES)
            await reader.readexactly(int.from_bytes(head[:3], "big"))
            kind = head[3]
            if kind == _SETTINGS and not head[4] & 1:
                writer.write(_http2_frame(_SETTINGS, 1, b""))
        self.calls += 1
        writer.write(_http2_frame(_GOAWAY, 0, bytes(8)))
        writer.close()


class TestGrpc:
    """Calls that a server rejects as unprocessed are not retried.

    gRPC retries them unless this is disabled in the channel options.
    """

    def test_unary_call_is_sent_once(self) -> None:
        # Guards against gRPC sending a forwarded booking twice.
        async def run() -> int:
            fake = RefusingHttp2Server()
            server = await asyncio.start_server(fake.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            peer_channels = channels.Channels()
            stub = peer_pb2_grpc.PeerStub(
                peer_channels.get(f"127.0.0.1:{port}")
            )
            with pytest.raises(grpc.aio.AioRpcError):
                await stub.RunKeyed(peer_pb2.RunRequest(), timeout=10.0)
            await peer_channels.close()
            server.close()
            return fake.calls

        assert asyncio.run(run()) == 1

    def test_run_stream_opens_one_stream(self) -> None:
        # Guards against gRPC sending the frames of a stream twice.
        async def run() -> int:
            fake = RefusingHttp2Server()
            server = await asyncio.start_server(fake.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            link = links.PeerLink(f"127.0.0.1:{port}")
            # `run_stream` makes one attempt; `run` would repeat it.
            with pytest.raises(grpc.aio.AioRpcError):
                await link.run_stream()
            server.close()
            return fake.calls

        assert asyncio.run(run()) == 1


Respond = Callable[[asyncio.StreamWriter, int], Awaitable[None]]


class FakeHttpServer:
    """Fake HTTP server that counts requests; a callback writes responses."""

    def __init__(self, respond: Respond):
        self._respond = respond
        self.requests = 0
        self.headers: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.headers.append(head)
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await reader.readexactly(int(line.split(b":")[1]))
                self.requests += 1
                await self._respond(writer, self.requests)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def never_refuse(_: work_lib.TargetRequest, __: float) -> None:
    return None


async def send_on_one_connection(
    fake: FakeHttpServer,
    count: int,
    find_refusal: connection_lib.FindRefusal = never_refuse,
) -> list[work_lib.TargetResult]:
    server = await asyncio.start_server(fake.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    settings = connection_lib.ConnectionSettings(
        f"http://127.0.0.1:{port}", 1_000
    )
    connection = connection_lib.Connection(settings, lambda: None)
    work = test_links.make_work()
    results = [
        await connection.send(work, 1_000, find_refusal) for _ in range(count)
    ]
    await connection.close()
    server.close()
    return results


_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class TestAiohttp:
    """A connection sends each request once."""

    def test_request_on_closing_connection_is_not_resent(self) -> None:
        # Guards against aiohttp resending a request after the server closed
        # its kept-alive connection, which aiohttp does for some methods.
        async def respond(writer: asyncio.StreamWriter, number: int) -> None:
            if number == 1:
                writer.write(_OK)
            else:
                writer.close()

        fake = FakeHttpServer(respond)
        results = asyncio.run(send_on_one_connection(fake, 2))
        assert [r.status for r in results] == ["replied", "lost"]
        assert fake.requests == 2

    def test_redirect_is_not_followed(self) -> None:
        # Guards against running a booking a second time by following a
        # redirect.
        async def respond(writer: asyncio.StreamWriter, _: int) -> None:
            writer.write(
                b"HTTP/1.1 307 X\r\nLocation: /v1/run\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

        fake = FakeHttpServer(respond)
        results = asyncio.run(send_on_one_connection(fake, 1))
        assert results[0].status == work_lib.Status.MALFORMED
        assert fake.requests == 1


class TestCheckBeforeWrite:
    """A request is checked again once its connection is open."""

    @pytest.mark.parametrize("refused_check", [1, 2])
    def test_request_refused_after_connecting_is_not_sent(
        self, refused_check: int
    ) -> None:
        # Guards against sending an expired request from a process that was
        # frozen while the connection was opened or just before the write.
        checks = []

        def find_refusal(
            _: work_lib.TargetRequest, now_s: float
        ) -> work_lib.TargetResult | None:
            checks.append(now_s)
            if len(checks) == refused_check:
                return work_lib.TargetResult(work_lib.Status.EXPIRED)
            return None

        async def respond(writer: asyncio.StreamWriter, _: int) -> None:
            writer.write(_OK)

        fake = FakeHttpServer(respond)
        results = asyncio.run(send_on_one_connection(fake, 1, find_refusal))
        assert results[0].status == work_lib.Status.EXPIRED
        assert fake.headers == []

    def test_remaining_time_is_sent(self) -> None:
        # Guards against targets that continue to work on a request after its
        # deadline because they do not know it.
        async def respond(writer: asyncio.StreamWriter, _: int) -> None:
            writer.write(_OK)

        fake = FakeHttpServer(respond)
        asyncio.run(send_on_one_connection(fake, 1))
        lines = fake.headers[0].split(b"\r\n")
        found = [n for n in lines if n.startswith(b"X-Deadline-Ms: ")]
        assert 0 < int(found[0].split(b": ")[1]) <= 60_000
