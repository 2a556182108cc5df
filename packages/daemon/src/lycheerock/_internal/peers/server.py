"""The gRPC server for other instances."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

import grpc

from lycheerock._internal.bundles import handlers as bundle_handlers
from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import channels
from lycheerock._internal.peers import links
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

Submit = Callable[[work_lib.Work], asyncio.Future[work_lib.Result]]
RunKeyed = Callable[[peer_pb2.RunRequest], Awaitable[peer_pb2.RunReply]]
Gossip = Callable[[peer_pb2.GossipMessage], Awaitable[peer_pb2.GossipMessage]]


class _Exchange:
    """State of one incoming stream."""

    def __init__(self, submit: Submit):
        self._submit = submit
        self._running: dict[int, asyncio.Future[work_lib.Result]] = {}
        self.replies = asyncio.Queue[peer_pb2.ShardReply]()

    def accept(self, frame: peer_pb2.Frame, now_s: float) -> None:
        """Starts the requests of a frame and cancels those it cancels."""
        for request in frame.requests:
            self._start(request, now_s)
        for exchange_id in frame.cancelled_exchange_ids:
            running = self._running.pop(exchange_id, None)
            if running is not None:
                running.cancel()

    def _start(self, request: peer_pb2.ShardRequest, now_s: float) -> None:
        exchange_id = request.exchange_id
        future = self._submit(
            work_lib.Work(
                attempt_id=request.attempt_id,
                caller=request.caller,
                service=request.service,
                target_id=request.target_id,
                path=request.path,
                body=request.body,
                deadline_s=now_s + request.time_left_ms / 1000,
                idempotent=request.idempotent,
            )
        )
        self._running[exchange_id] = future
        future.add_done_callback(lambda f: self._finish(exchange_id, f))

    def _finish(
        self, exchange_id: int, future: asyncio.Future[work_lib.Result]
    ) -> None:
        self._running.pop(exchange_id, None)
        if future.cancelled():
            return
        result = future.result()
        self.replies.put_nowait(
            peer_pb2.ShardReply(
                exchange_id=exchange_id,
                status=result.status,
                body=result.body,
                retry_after_ms=result.retry_after_ms,
                detail=result.detail,
            )
        )

    def cancel_idempotent(self) -> None:
        """Gives up what the peer can no longer receive."""
        for future in list(self._running.values()):
            future.cancel()


class PeerServicer(bundle_handlers.BundleServicer, peer_pb2_grpc.PeerServicer):
    """Serves other instances."""

    def __init__(self, submit: Submit, run_keyed: RunKeyed, gossip: Gossip):
        self._submit = submit
        self._run_keyed = run_keyed
        self._gossip = gossip

    async def Exchange(
        self,
        request_iterator: AsyncIterator[peer_pb2.Frame],
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> AsyncIterator[peer_pb2.Frame]:
        """Runs the requests of a peer and streams the replies."""
        exchange = _Exchange(self._submit)
        reader = asyncio.create_task(_read(request_iterator, exchange))
        try:
            while True:
                frame = peer_pb2.Frame()
                frame.replies.append(await exchange.replies.get())
                while (
                    not exchange.replies.empty()
                    and len(frame.replies) < links.FRAME_MESSAGES_MAX
                ):
                    frame.replies.append(exchange.replies.get_nowait())
                yield frame
        finally:
            reader.cancel()
            exchange.cancel_idempotent()

    async def RunKeyed(
        self,
        request: peer_pb2.RunRequest,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.RunReply:
        """Runs a request whose key this instance issued."""
        return await self._run_keyed(request)

    async def Gossip(
        self,
        request: peer_pb2.GossipMessage,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.GossipMessage:
        """Takes and answers a message of membership."""
        return await self._gossip(request)


async def _read(
    frames: AsyncIterator[peer_pb2.Frame], exchange: _Exchange
) -> None:
    async for frame in frames:
        exchange.accept(frame, time.monotonic())


async def start(address: str, servicer: PeerServicer) -> grpc.aio.Server:
    """Starts the server.

    Args:
      address: IP address and port to listen on.
      servicer: The handlers.

    Returns:
      The running server.
    """
    size_max_bytes = channels.MESSAGE_SIZE_MAX_BYTES
    server = grpc.aio.server(
        options=(
            ("grpc.so_reuseport", 0),
            (
                "grpc.max_receive_message_length",
                channels.MESSAGE_SIZE_MAX_BYTES,
            ),
            ("grpc.max_send_message_length", size_max_bytes),
        )
    )
    peer_pb2_grpc.add_PeerServicer_to_server(servicer, server)
    server.add_insecure_port(address)
    await server.start()
    return server
