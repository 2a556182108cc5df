"""The port of one target: its queue, its limit and its lanes."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

from lycheerock._internal.dispatch import fair_queue
from lycheerock._internal.dispatch import lanes
from lycheerock._internal.dispatch import work as work_lib


@dataclasses.dataclass(frozen=True)
class PortSettings:
    """Limits of one target as seen by this instance.

    Attributes:
      lane: Address and reply limit of the target.
      slot_count: Requests in flight at most.
      connection_share: Connections that this instance may open.
      queue_size_max: Waiting requests at most.
    """

    lane: lanes.LaneSettings
    slot_count: int
    connection_share: int
    queue_size_max: int


@dataclasses.dataclass(frozen=True)
class _Waiting:
    work: work_lib.Work
    reply: asyncio.Future[work_lib.Result]


class Port:
    """Owns all connections of this instance to one target."""

    def __init__(self, settings: PortSettings):
        self._settings = settings
        self._queue = fair_queue.FairQueue[_Waiting]()
        self._idle: list[lanes.Lane] = []
        self._lane_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._service_time_s = 0.005

    @property
    def in_flight(self) -> int:
        """Requests that are being sent or wait for their reply."""
        return len(self._tasks)

    def submit(self, work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
        """Queues one request.

        Args:
          work: The request.

        Returns:
          A future that always gets a result; cancelling it gives up the
          request.
        """
        future = asyncio.get_running_loop().create_future()
        refusal = self._refusal(work)
        if refusal is not None:
            future.set_result(refusal)
            return future
        flow = (work.service, work.caller)
        self._queue.push(flow, _Waiting(work, future))
        self._start_ready()
        return future

    def _refusal(self, work: work_lib.Work) -> work_lib.Result | None:
        waiting = len(self._queue)
        expected_s = (waiting / self._limit() + 1) * self._service_time_s
        time_left_s = work.deadline_s - time.monotonic()
        full = waiting >= self._settings.queue_size_max
        if not full and (waiting == 0 or expected_s <= time_left_s):
            return None
        return work_lib.Result(
            work_lib.Status.REFUSED,
            retry_after_ms=max(1, int(expected_s * 1000)),
            detail="queue full" if full else "expected wait exceeds time left",
        )

    def _limit(self) -> int:
        return min(self._settings.slot_count, self._settings.connection_share)

    def _start_ready(self) -> None:
        while len(self._tasks) < self._limit():
            waiting = self._queue.pop()
            if waiting is None:
                return
            if waiting.reply.done():
                continue
            task = asyncio.get_running_loop().create_task(self._serve(waiting))
            self._tasks.add(task)
            waiting.reply.add_done_callback(_cancel_with(task))

    async def _serve(self, waiting: _Waiting) -> None:
        lane = self._idle.pop() if self._idle else self._open()
        started_s = time.monotonic()
        keep = False
        try:
            result = await lane.send(waiting.work)
            keep = result.status == work_lib.Status.REPLIED
            self._observe(time.monotonic() - started_s, result)
            if not waiting.reply.done():
                waiting.reply.set_result(result)
        finally:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.discard(task)
            if keep:
                self._idle.append(lane)
            else:
                self._lane_count -= 1
                await asyncio.shield(lane.close())
            self._start_ready()

    def _open(self) -> lanes.Lane:
        self._lane_count += 1
        return lanes.Lane(self._settings.lane)

    def _observe(self, elapsed_s: float, result: work_lib.Result) -> None:
        if result.status == work_lib.Status.REPLIED:
            self._service_time_s += 0.1 * (elapsed_s - self._service_time_s)

    async def close(self) -> None:
        """Closes all idle connections."""
        for lane in self._idle:
            await lane.close()
        self._idle.clear()


def _cancel_with(
    task: asyncio.Task[None],
) -> Callable[[asyncio.Future[work_lib.Result]], None]:
    """Cancels the task when the requester gives up the future."""

    def on_done(reply: asyncio.Future[work_lib.Result]) -> None:
        if reply.cancelled():
            task.cancel()

    return on_done
