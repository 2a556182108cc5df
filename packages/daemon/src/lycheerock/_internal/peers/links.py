"""The stream from this instance to one peer."""

import asyncio
from collections.abc import AsyncIterator
import functools
import time
from typing import Any

import grpc
import structlog

from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import channels
from lycheerock._internal.peers import exchanges as exchanges_lib
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

_LOG = structlog.get_logger()

RECONNECT_DELAY_S = 0.2


class PeerLink:
    """Owns the channel and the stream to one peer.

    Requests that wait for the stream travel together in one frame. The stream
    is ready once the peer has answered a first frame.
    """

    def __init__(self, address: str):
        self.address = address
        self._exchanges = exchanges_lib.Exchanges()
        self._output = asyncio.Event()
        self._ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the stream is open."""
        return self._ready

    @property
    def pending(self) -> int:
        """Requests without a result."""
        return self._exchanges.pending

    def submit(self, work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
        """Queues a request for the next frame.

        Args:
          work: The request.

        Returns:
          A future that always gets a result. Cancelling it cancels idempotent
          work at the peer; a booking that was written goes on.
        """
        future: asyncio.Future[work_lib.Result]
        future = asyncio.get_running_loop().create_future()
        if not self._ready:
            future.set_result(
                work_lib.Result(
                    work_lib.Status.NOT_SENT,
                    detail="no peer stream",
                    is_stream_lost=True,
                )
            )
            return future
        accepted = self._exchanges.submit(work, future)
        if isinstance(accepted, work_lib.Result):
            future.set_result(accepted)
            return future
        future.add_done_callback(functools.partial(self._on_done, accepted))
        self._output.set()
        return future

    def _on_done(
        self, exchange_id: int, future: asyncio.Future[work_lib.Result]
    ) -> None:
        if future.cancelled():
            self._exchanges.give_up(exchange_id)
            self._output.set()

    async def run(self) -> None:
        """Keeps the stream open until cancelled."""
        while True:
            try:
                await self.run_stream()
            except grpc.aio.AioRpcError as error:
                _LOG.debug("peer_stream", peer=self.address, code=error.code())
            finally:
                self._ready = False
                self._exchanges.fail_all()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def run_stream(self) -> None:
        """Opens the stream once and serves it until it ends."""
        async with grpc.aio.insecure_channel(
            self.address, options=channels.CHANNEL_OPTIONS
        ) as channel:
            await channel.channel_ready()
            # gRPC may leave the frames of a lost stream waiting; with an event
            # of its own they take none of the frames of the next stream.
            self._output = asyncio.Event()
            self._exchanges.open()
            call = peer_pb2_grpc.PeerStub(channel).Exchange(
                self._frames(self._output)
            )
            watch = asyncio.create_task(self._watch(call))
            try:
                async for frame in call:
                    self._ready = True
                    self._exchanges.on_frame(frame)
            except asyncio.CancelledError:
                # The watch cancels the call, not this task.
                if not call.cancelled() or _is_cancelling():
                    raise
            finally:
                watch.cancel()
                call.cancel()

    async def _frames(
        self, output: asyncio.Event
    ) -> AsyncIterator[peer_pb2.Frame]:
        while True:
            while self._exchanges.has_output:
                yield self._exchanges.take_frame(time.monotonic())
            output.clear()
            await output.wait()

    async def _watch(self, call: Any) -> None:
        while True:
            await asyncio.sleep(exchanges_lib.TICK_S)
            health = self._exchanges.tick()
            if health == exchanges_lib.Health.SILENT:
                _LOG.warning("peer_stream_silent", peer=self.address)
                self._ready = False
                call.cancel()
                return
            if health == exchanges_lib.Health.PROBE:
                self._output.set()


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
