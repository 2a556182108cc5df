"""Client side of the stream to one peer."""

import asyncio
from collections.abc import AsyncIterator
import functools
import time
from typing import Any

import grpc
import structlog

from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import channels
from lycheerock._internal.peers import outgoing_stream
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

_LOG = structlog.get_logger()

RECONNECT_DELAY_S = 0.2


class PeerLink:
    """Owns the channel and the stream to one peer.

    Requests that are waiting to be written are batched into frames. The stream
    is ready once the peer has answered the first frame.
    """

    def __init__(self, address: str):
        self.address = address
        self._stream = outgoing_stream.OutgoingStream()
        self._output_ready = asyncio.Event()
        self._ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the stream accepts requests."""
        return self._ready

    @property
    def pending_count(self) -> int:
        """Number of requests without a result."""
        return self._stream.pending_count

    def submit(
        self, work: work_lib.TargetRequest
    ) -> asyncio.Future[work_lib.TargetResult]:
        """Queues a request for the next frame.

        Args:
          work: The request.

        Returns:
          A future that always gets a result. Cancelling it also cancels an
          idempotent request at the peer. A non-idempotent request continues
          there if it was already written.
        """
        future: asyncio.Future[work_lib.TargetResult]
        future = asyncio.get_running_loop().create_future()
        if not self._ready:
            future.set_result(
                work_lib.TargetResult(
                    work_lib.Status.NOT_SENT,
                    detail="no peer stream",
                    is_stream_lost=True,
                )
            )
            return future
        accepted = self._stream.submit(work, future)
        if isinstance(accepted, work_lib.TargetResult):
            future.set_result(accepted)
            return future
        future.add_done_callback(functools.partial(self._on_done, accepted))
        self._output_ready.set()
        return future

    def _on_done(
        self, exchange_id: int, future: asyncio.Future[work_lib.TargetResult]
    ) -> None:
        if future.cancelled():
            self._stream.cancel(exchange_id)
            self._output_ready.set()

    async def run(self) -> None:
        """Opens the stream and reopens it when it ends, until cancelled."""
        while True:
            try:
                await self.run_stream()
            except grpc.aio.AioRpcError as error:
                _LOG.debug("peer_stream", peer=self.address, code=error.code())
            finally:
                self._ready = False
                self._stream.fail_all()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def run_stream(self) -> None:
        """Opens the stream once and runs it until it ends."""
        async with grpc.aio.insecure_channel(
            self.address, options=channels.CHANNEL_OPTIONS
        ) as channel:
            await channel.channel_ready()
            # gRPC may leave the frame iterator of a lost stream waiting. A
            # separate event per stream ensures that such an iterator does not
            # consume frames of the next stream.
            self._output_ready = asyncio.Event()
            self._stream.open()
            call = peer_pb2_grpc.PeerStub(channel).Exchange(
                self._frames(self._output_ready)
            )
            keepalive = asyncio.create_task(self._run_keepalive(call))
            try:
                async for frame in call:
                    self._ready = True
                    self._stream.receive_frame(frame)
            except asyncio.CancelledError:
                # If only the call was cancelled, the keepalive task did so
                # because the peer is unresponsive. This task then continues.
                if not call.cancelled() or _is_cancelling():
                    raise
            finally:
                keepalive.cancel()
                call.cancel()

    async def _frames(
        self, output: asyncio.Event
    ) -> AsyncIterator[peer_pb2.Frame]:
        while True:
            while self._stream.has_output:
                yield self._stream.next_frame(time.monotonic())
            output.clear()
            await output.wait()

    async def _run_keepalive(self, call: Any) -> None:
        while True:
            await asyncio.sleep(outgoing_stream.TICK_INTERVAL_S)
            health = self._stream.tick()
            if health == outgoing_stream.StreamHealth.UNRESPONSIVE:
                _LOG.warning("peer_stream_silent", peer=self.address)
                self._ready = False
                call.cancel()
                return
            if health == outgoing_stream.StreamHealth.PROBE_DUE:
                self._output_ready.set()


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
