"""The stream from this instance to one peer."""

import asyncio
from collections.abc import AsyncIterator
import time

import grpc
import structlog

from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import channels
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

_LOG = structlog.get_logger()

FRAME_MESSAGES_MAX = 64
RECONNECT_DELAY_S = 0.2


class PeerLink:
    """Owns the channel and the stream to one peer.

    Requests that wait for the stream travel together in one frame.
    """

    def __init__(self, address: str):
        self.address = address
        self._outbox = asyncio.Queue[work_lib.Work | int]()
        self._pending: dict[int, asyncio.Future[work_lib.Result]] = {}
        self._written: set[int] = set()
        self._ids: dict[str, int] = {}
        self._next_id = 1
        self._ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the stream is open."""
        return self._ready

    def submit(self, work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
        """Queues a request for the next frame.

        Args:
          work: The request.

        Returns:
          A future that always gets a result; cancelling it cancels the request
          at the peer.
        """
        future = asyncio.get_running_loop().create_future()
        exchange_id = self._next_id
        self._next_id += 1
        self._pending[exchange_id] = future
        self._ids[work.attempt_id] = exchange_id
        future.add_done_callback(
            lambda f: self._on_done(f, exchange_id, work.attempt_id)
        )
        self._outbox.put_nowait(work)
        return future

    def _on_done(
        self,
        future: asyncio.Future[work_lib.Result],
        exchange_id: int,
        attempt_id: str,
    ) -> None:
        self._pending.pop(exchange_id, None)
        self._ids.pop(attempt_id, None)
        was_written = exchange_id in self._written
        self._written.discard(exchange_id)
        if future.cancelled() and was_written:
            self._outbox.put_nowait(exchange_id)

    async def run(self) -> None:
        """Keeps the stream open until cancelled."""
        while True:
            try:
                await self._run_stream()
            except grpc.aio.AioRpcError as error:
                _LOG.debug("peer_stream", peer=self.address, code=error.code())
            finally:
                self._ready = False
                self._fail_pending()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_stream(self) -> None:
        async with grpc.aio.insecure_channel(
            self.address, options=channels.CHANNEL_OPTIONS
        ) as channel:
            await channel.channel_ready()
            stub = peer_pb2_grpc.PeerStub(channel)
            self._ready = True
            async for frame in stub.Exchange(self._frames()):
                for reply in frame.replies:
                    self._on_reply(reply)

    async def _frames(self) -> AsyncIterator[peer_pb2.Frame]:
        while True:
            frame = peer_pb2.Frame()
            self._add(frame, await self._outbox.get())
            while (
                not self._outbox.empty()
                and len(frame.requests) < FRAME_MESSAGES_MAX
            ):
                self._add(frame, self._outbox.get_nowait())
            if frame.requests or frame.cancelled_exchange_ids:
                yield frame

    def _add(self, frame: peer_pb2.Frame, item: work_lib.Work | int) -> None:
        if isinstance(item, int):
            frame.cancelled_exchange_ids.append(item)
            return
        exchange_id = self._ids.get(item.attempt_id)
        if exchange_id is None:
            return
        time_left_ms = int((item.deadline_s - time.monotonic()) * 1000)
        if time_left_ms <= 0:
            self._pending[exchange_id].set_result(
                work_lib.Result(work_lib.Status.EXPIRED)
            )
            return
        self._written.add(exchange_id)
        frame.requests.append(
            peer_pb2.ShardRequest(
                exchange_id=exchange_id,
                attempt_id=item.attempt_id,
                caller=item.caller,
                service=item.service,
                target_id=item.target_id,
                time_left_ms=time_left_ms,
                idempotent=item.idempotent,
                path=item.path,
                body=item.body,
            )
        )

    def _on_reply(self, reply: peer_pb2.ShardReply) -> None:
        future = self._pending.get(reply.exchange_id)
        if future is None or future.done():
            return
        future.set_result(
            work_lib.Result(
                work_lib.Status(reply.status),
                reply.body,
                reply.retry_after_ms,
                reply.detail,
            )
        )

    def _fail_pending(self) -> None:
        while not self._outbox.empty():
            self._outbox.get_nowait()
        for exchange_id, future in list(self._pending.items()):
            if future.done():
                continue
            was_written = exchange_id in self._written
            status = (
                work_lib.Status.LOST
                if was_written
                else work_lib.Status.NOT_SENT
            )
            future.set_result(
                work_lib.Result(status, detail="peer stream closed")
            )
