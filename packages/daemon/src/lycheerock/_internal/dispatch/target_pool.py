"""The port of one target: owns its queue, its limit and its connections."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import time
from typing import cast

import structlog

from lycheerock._internal.dispatch import connection as connection_lib
from lycheerock._internal.dispatch import connection_table
from lycheerock._internal.dispatch import pool_actions
from lycheerock._internal.dispatch import pool_state
from lycheerock._internal.dispatch import target_reply
from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.dispatch import work as work_lib

_LOG = structlog.get_logger()

# A port without requests only looks for connections to close.
_IDLE_TICK_S = 1.0


@dataclasses.dataclass(frozen=True)
class PortSettings:
    """Limits of one target as seen by this instance.

    Attributes:
      lane: Address and reply limit of the target.
      limits: Limits of requests and connections.
      rules: Times that decide on lanes.
    """

    lane: connection_lib.LaneSettings
    limits: pool_actions.PortLimits
    rules: connection_table.LaneRules = dataclasses.field(
        default_factory=connection_table.LaneRules
    )


@dataclasses.dataclass(eq=False)
class _Serving:
    entry: pool_actions.Entry
    task: asyncio.Task[None]


class Port:
    """Owns all connections of this instance to one target address."""

    def __init__(
        self,
        settings: PortSettings,
        target_states: target_states_lib.TargetStates,
        on_empty: Callable[[], None] = lambda: None,
    ):
        """Creates a port without connections.

        Args:
          settings: Limits and address.
          target_states: Tells which targets are leaving; takes the reports in
            replies.
          on_empty: Called when a retired port has closed all connections.
        """
        self._settings = settings
        self._target_states = target_states
        self._on_empty = on_empty
        self._state = pool_state.PortState(
            settings.limits, settings.rules, target_states.find
        )
        self._lanes: dict[int, connection_lib.Lane] = {}
        self._serving: dict[int, _Serving] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_is_fast = False
        self.silent_count = 0

    @property
    def in_flight(self) -> int:
        """Requests that are being sent or wait for their reply."""
        return self._state.in_flight

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return self._state.waiting

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return self._state.limit

    @property
    def connections(self) -> int:
        """Connections that are open, being opened or being closed."""
        return len(self._state.lanes)

    @property
    def is_retired(self) -> bool:
        """Whether the bundle no longer has the target."""
        return self._state.is_retired

    def update(self, settings: PortSettings) -> None:
        """Takes new limits; the address stays the same."""
        self._settings = settings
        self._state.update(settings.limits)
        self._advance()

    def retire(self) -> None:
        """Refuses what waits and closes connections once they are idle."""
        self._state.retire()
        self._tick()

    def submit(self, work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
        """Queues one request.

        Args:
          work: The request.

        Returns:
          A future that always gets a result. Cancelling it gives up idempotent
          work; a booking that may have been sent goes on.
        """
        future: asyncio.Future[work_lib.Result]
        future = asyncio.get_running_loop().create_future()
        entry = pool_actions.Entry(work, future)
        refusal = self._state.offer(entry, time.monotonic())
        if refusal is not None:
            future.set_result(refusal)
            return future
        self._advance()
        return future

    def _advance(self) -> None:
        for action in self._state.actions(time.monotonic()):
            if isinstance(action, pool_actions.Start):
                self._start(action)
            elif isinstance(action, pool_actions.Close):
                self._close_lane(action.lane_id)
            else:
                _finish(action.entry, action.result)
        self._arm_timer()
        if self._state.is_retired and not self._state.is_active:
            self._on_empty()

    def _arm_timer(self) -> None:
        is_busy = bool(self._state.in_flight or self._state.waiting)
        if self._timer is not None:
            if self._timer_is_fast or not is_busy:
                return
            self._timer.cancel()
            self._timer = None
        if not self._state.is_active:
            return
        period_s = pool_state.TICK_S if is_busy else _IDLE_TICK_S
        self._timer_is_fast = is_busy
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(period_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._tick()

    def _tick(self) -> None:
        for action in self._state.tick(time.monotonic()):
            if isinstance(action, pool_actions.GiveUp):
                self._give_up(action)
            elif isinstance(action, pool_actions.Close):
                self._close_lane(action.lane_id)
            else:
                _finish(action.entry, action.result)
        self._advance()

    def _start(self, start: pool_actions.Start) -> None:
        lane_id = start.lane_id
        if start.opens:
            on_progress = functools.partial(self._state.lanes.progress, lane_id)
            self._lanes[lane_id] = connection_lib.Lane(
                self._settings.lane, on_progress
            )
        task = asyncio.get_running_loop().create_task(
            self._serve(lane_id, start.entry)
        )
        self._serving[lane_id] = _Serving(start.entry, task)
        if start.entry.work.idempotent:
            _future(start.entry).add_done_callback(
                functools.partial(self._on_done, lane_id)
            )

    async def _serve(self, lane_id: int, entry: pool_actions.Entry) -> None:
        result = await self._lanes[lane_id].send(
            entry.work,
            self._settings.lane.reply_size_max_bytes,
            self._state.obstacle,
        )
        if lane_id not in self._serving:
            return
        reply = None
        if result.status == work_lib.Status.REPLIED:
            reply = target_reply.decode(result.body, entry.work.attempt_id)
            if reply is None:
                result = work_lib.Result(work_lib.Status.MALFORMED)
        now_s = time.monotonic()
        refused = self._state.end(lane_id, result, reply, now_s)
        del self._serving[lane_id]
        _finish(entry, result)
        for waiting in refused:
            _finish(waiting, result)
        if reply is None:
            self._close_lane(lane_id)
        else:
            self._observe(entry.work.target_id, reply)
        self._advance()

    def _observe(self, target_id: str, reply: target_reply.TargetReply) -> None:
        report = reply.report(target_id)
        if report is not None:
            self._target_states.observe(report)

    def _on_done(
        self, lane_id: int, reply: asyncio.Future[work_lib.Result]
    ) -> None:
        serving = self._serving.get(lane_id)
        if not reply.cancelled() or serving is None:
            return
        if serving.entry.reply is reply:
            self._abandon(lane_id)
            self._advance()

    def _give_up(self, action: pool_actions.GiveUp) -> None:
        entry = self._serving[action.lane_id].entry
        was_written = self._lanes[action.lane_id].was_written
        self._abandon(action.lane_id)
        if action.verdict == connection_table.Verdict.SILENT:
            self.silent_count += 1
            _LOG.warning(
                "lane_silent",
                target=entry.work.target_id,
                attempt=entry.work.attempt_id,
                idempotent=entry.work.idempotent,
            )
            if self._state.resend(entry, time.monotonic()):
                return
        status = (
            work_lib.Status.LOST if was_written else work_lib.Status.NOT_SENT
        )
        detail = action.verdict.value
        _finish(entry, work_lib.Result(status, detail=detail))

    def _abandon(self, lane_id: int) -> None:
        self._state.abandon(lane_id)
        task = self._serving.pop(lane_id).task
        task.cancel()
        self._close_lane(lane_id, task)

    def _close_lane(
        self, lane_id: int, after: asyncio.Task[None] | None = None
    ) -> None:
        lane = self._lanes.pop(lane_id)
        task = asyncio.get_running_loop().create_task(
            self._finish_close(lane_id, lane, after)
        )
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _finish_close(
        self,
        lane_id: int,
        lane: connection_lib.Lane,
        after: asyncio.Task[None] | None,
    ) -> None:
        if after is not None:
            await asyncio.wait((after,))
        try:
            await lane.close()
        finally:
            # Only now may another connection take the place of this one.
            self._state.lanes.closed(lane_id)
            self._advance()

    async def close(self) -> None:
        """Closes all connections; requests in flight are cut."""
        self._state.retire()
        for lane_id in tuple(self._serving):
            entry = self._serving[lane_id].entry
            was_written = self._lanes[lane_id].was_written
            self._abandon(lane_id)
            status = (
                work_lib.Status.LOST
                if was_written
                else work_lib.Status.NOT_SENT
            )
            _finish(entry, work_lib.Result(status, detail="shutting down"))
        self._tick()
        while self._closing:
            await asyncio.wait(tuple(self._closing))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _future(entry: pool_actions.Entry) -> asyncio.Future[work_lib.Result]:
    return cast("asyncio.Future[work_lib.Result]", entry.reply)


def _finish(entry: pool_actions.Entry, result: work_lib.Result) -> None:
    future = _future(entry)
    if not future.done():
        future.set_result(result)
