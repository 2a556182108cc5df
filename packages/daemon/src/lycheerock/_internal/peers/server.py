"""gRPC server for requests from other instances."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import time
from typing import Any

import grpc

from lycheerock._internal.bundles import handlers as bundle_handlers
from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import channels
from lycheerock._internal.peers import frame_age
from lycheerock._internal.peers import outgoing_stream
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

Submit = Callable[
    [work_lib.TargetRequest], asyncio.Future[work_lib.TargetResult]
]
# A larger reply is replaced by a TOO_LARGE status, so that a reply and the rest
# of its frame fit into one gRPC message.
_REPLY_SIZE_MAX_BYTES = (
    channels.MESSAGE_SIZE_MAX_BYTES - 2 * outgoing_stream.FRAME_SIZE_MAX_BYTES
)

RunKeyed = Callable[[peer_pb2.RunRequest], Awaitable[peer_pb2.RunReply]]
Gossip = Callable[[peer_pb2.GossipMessage], Awaitable[peer_pb2.GossipMessage]]


class IncomingStream:
    """State of the stream from one peer."""

    def __init__(self, submit: Submit):
        self._submit = submit
        self._running: dict[int, asyncio.Future[work_lib.TargetResult]] = {}
        self._idempotent_ids: set[int] = set()
        self._age_estimator = frame_age.FrameAgeEstimator()
        self._replies = collections.deque[peer_pb2.ShardReply]()
        self._output_ready = asyncio.Event()
        self._must_answer = False

    def receive_frame(self, frame: peer_pb2.Frame, now_s: float) -> None:
        """Starts the requests of a frame and processes its cancellations."""
        age_s = self._age_estimator.observe(frame.written_ms / 1000, now_s)
        for request in frame.requests:
            self._start(request, now_s - age_s)
        for exchange_id in frame.cancelled_exchange_ids:
            if exchange_id in self._idempotent_ids:
                self._running[exchange_id].cancel()
        if frame.wants_answer:
            self._must_answer = True
            self._output_ready.set()

    def _start(self, request: peer_pb2.ShardRequest, written_s: float) -> None:
        exchange_id = request.exchange_id
        if (
            len(self._running) + len(self._replies)
            >= outgoing_stream.PENDING_MAX
        ):
            refusal = work_lib.TargetResult(
                work_lib.Status.REFUSED,
                retry_after_ms=outgoing_stream.RETRY_AFTER_MS,
                detail="too many requests from one peer",
            )
            self._replies.append(_to_message(exchange_id, refusal))
            self._output_ready.set()
            return
        future = self._submit(
            work_lib.TargetRequest(
                attempt_id=request.attempt_id,
                caller=request.caller,
                service=request.service,
                target_id=request.target_id,
                path=request.path,
                body=request.body,
                deadline_s=written_s + request.time_left_ms / 1000,
                idempotent=request.idempotent,
            )
        )
        self._running[exchange_id] = future
        if request.idempotent:
            self._idempotent_ids.add(exchange_id)
        future.add_done_callback(functools.partial(self._finish, exchange_id))

    def _finish(
        self, exchange_id: int, future: asyncio.Future[work_lib.TargetResult]
    ) -> None:
        self._running.pop(exchange_id, None)
        self._idempotent_ids.discard(exchange_id)
        if not future.cancelled():
            self._replies.append(_to_message(exchange_id, future.result()))
            self._output_ready.set()

    async def next_frame(self) -> peer_pb2.Frame:
        """Builds the next frame once there are replies or a probe to answer."""
        while not (self._replies or self._must_answer):
            self._output_ready.clear()
            await self._output_ready.wait()
        self._must_answer = False
        frame = peer_pb2.Frame()
        size_bytes = 0
        while (
            self._replies
            and len(frame.replies) < outgoing_stream.FRAME_MESSAGES_MAX
            and size_bytes < outgoing_stream.FRAME_SIZE_MAX_BYTES
        ):
            reply = self._replies.popleft()
            size_bytes += len(reply.body)
            frame.replies.append(reply)
        return frame

    def cancel_idempotent(self) -> None:
        """Cancels the idempotent requests after the stream has ended.

        The peer can no longer receive their replies. Non-idempotent requests
        continue.
        """
        for exchange_id in tuple(self._idempotent_ids):
            self._running[exchange_id].cancel()


def _to_message(
    exchange_id: int, result: work_lib.TargetResult
) -> peer_pb2.ShardReply:
    status, body = result.status, result.body
    if len(body) > _REPLY_SIZE_MAX_BYTES:
        status, body = work_lib.Status.TOO_LARGE, b""
    return peer_pb2.ShardReply(
        exchange_id=exchange_id,
        status=status,
        body=body,
        retry_after_ms=result.retry_after_ms,
        detail=result.detail,
    )


class PeerServicer(bundle_handlers.BundleServicer, peer_pb2_grpc.PeerServicer):
    """Handles the calls of other instances."""

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
        stream = IncomingStream(self._submit)
        reader = asyncio.create_task(_read_frames(request_iterator, stream))
        try:
            while True:
                yield await stream.next_frame()
        finally:
            reader.cancel()
            stream.cancel_idempotent()

    async def RunKeyed(
        self,
        request: peer_pb2.RunRequest,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.RunReply:
        """Runs a forwarded request whose key this instance issued."""
        return await self._run_keyed(request)

    async def Gossip(
        self,
        request: peer_pb2.GossipMessage,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.GossipMessage:
        """Processes a membership message and returns the reply to it."""
        return await self._gossip(request)


async def _read_frames(
    frames: AsyncIterator[peer_pb2.Frame], stream: IncomingStream
) -> None:
    async for frame in frames:
        stream.receive_frame(frame, time.monotonic())


async def start(address: str, servicer: PeerServicer) -> grpc.aio.Server:
    """Starts the server.

    Args:
      address: IP address and port to listen on.
      servicer: Handler of the calls.

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
