"""Decides what the port of one target does next; no sockets, no clock."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from lycheerock._internal.dispatch import connection_table
from lycheerock._internal.dispatch import fair_queue
from lycheerock._internal.dispatch import limits
from lycheerock._internal.dispatch import pool_actions
from lycheerock._internal.dispatch import target_reply
from lycheerock._internal.dispatch import target_states
from lycheerock._internal.dispatch import work as work_lib

_SERVICE_TIME_FIRST_S = 0.005
_SERVICE_TIME_WEIGHT = 0.1

# Time without a request after which a connection is closed, so that an instance
# that no longer owns the target gives its connections back.
IDLE_LIMIT_S = 60.0

# Longest time that one tick counts for; a longer gap means that the process was
# frozen or overloaded.
TICK_S = 0.05
_TICK_MAX_S = 2 * TICK_S


FindState = Callable[[str], target_states.TargetState | None]


@dataclasses.dataclass(frozen=True)
class _InFlight:
    entry: pool_actions.Entry
    epoch: int
    started_s: float


class PortState:
    """Queue, limit and lanes of one target."""

    def __init__(
        self,
        port_limits: pool_actions.PortLimits,
        rules: connection_table.LaneRules,
        find_state: FindState,
    ):
        self.port_limits = port_limits
        self._find_state = find_state
        self._limit = limits.AdaptiveLimit(port_limits.ceiling)
        self._queue = fair_queue.FairQueue[pool_actions.Entry]()
        self.lanes = connection_table.LaneTable(rules)
        self._in_flight: dict[int, _InFlight] = {}
        self._service_time_s = 0.0
        self._serving_order: tuple[int, int] | None = None
        self._ticked_s: float | None = None
        self.is_retired = False

    @property
    def in_flight(self) -> int:
        """Requests that are being sent or wait for their reply."""
        return len(self._in_flight)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return min(self._limit.value, self.port_limits.ceiling)

    @property
    def is_active(self) -> bool:
        """Whether `tick` must be called."""
        return bool(self._in_flight or self._queue or self.lanes)

    def update(self, port_limits: pool_actions.PortLimits) -> None:
        """Takes limits from a bundle; nothing in flight is cut."""
        self.port_limits = port_limits
        self._limit.set_ceiling(port_limits.ceiling)
        self.is_retired = False

    def retire(self) -> None:
        """Takes no more requests: the bundle no longer has the target."""
        self.is_retired = True

    def offer(
        self, entry: pool_actions.Entry, now_s: float
    ) -> work_lib.Result | None:
        """Queues a request unless it is refused.

        Args:
          entry: The request.
          now_s: Monotonic time.

        Returns:
          The refusal, or None if the request waits; `actions` starts it.
        """
        obstacle = self.obstacle(entry.work, now_s)
        if obstacle is not None:
            return obstacle
        ahead = self._queue.ahead_of(entry.flow)
        wait_s = self._expected_wait_s(ahead, now_s)
        if self._is_full(entry.flow):
            return _refused("queue full", wait_s)
        time_left_s = entry.work.deadline_s - now_s
        if wait_s > 0 and wait_s + self._usual_time_s() > time_left_s:
            return _refused("expected wait exceeds time left", wait_s)
        self._queue.push(entry.flow, entry)
        return None

    def obstacle(
        self, work: work_lib.Work, now_s: float
    ) -> work_lib.Result | None:
        """Returns why a request must not be sent now, or None."""
        if work.deadline_s <= now_s:
            return work_lib.Result(work_lib.Status.EXPIRED)
        state = self._find_state(work.target_id)
        is_leaving = (
            state is not None
            and state.state == target_states.ServingState.DRAINING
        )
        if self.is_retired or (is_leaving and not work.is_probe):
            return work_lib.Result(work_lib.Status.LEAVING)
        if state is not None and state.order != self._serving_order:
            # A new epoch or sequence means that the target restarted or
            # returned from draining, but the first report is no change.
            if self._serving_order is not None:
                self._limit.restart()
            self._serving_order = state.order
        return None

    def _is_full(self, flow: fair_queue.Flow) -> bool:
        own = self._queue.flow_size(flow)
        if own >= self.port_limits.flow_size_max:
            return True
        return own > 0 and len(self._queue) >= self.port_limits.queue_size_max

    def _expected_wait_s(self, ahead: int, now_s: float) -> float:
        pause_s = max(0.0, self._limit.paused_until_s - now_s)
        if ahead == 0 and self.in_flight < self.limit:
            return pause_s
        turns = ahead / min(self._limit.expected, self.port_limits.ceiling) + 1
        return pause_s + turns * self._usual_time_s()

    def _usual_time_s(self) -> float:
        return self._service_time_s or _SERVICE_TIME_FIRST_S

    def actions(self, now_s: float) -> Iterator[pool_actions.Action]:
        """Yields what can be done now; each must be carried out at once.

        Args:
          now_s: Monotonic time.

        Yields:
          The actions.
        """
        for lane_id in self.lanes.excess(self.port_limits.connection_share):
            yield self._close(lane_id)
        while self.in_flight < self.limit and not self._limit.is_paused(now_s):
            entry = self._queue.pop()
            if entry is None:
                break
            if entry.reply.done():
                continue
            action = self._start(entry, now_s)
            if action is not None:
                yield action
            if not isinstance(action, pool_actions.Start | pool_actions.Finish):
                break

    def _start(
        self, entry: pool_actions.Entry, now_s: float
    ) -> pool_actions.Action | None:
        obstacle = self.obstacle(entry.work, now_s)
        if obstacle is not None:
            return pool_actions.Finish(entry, obstacle)
        if self.in_flight >= self.limit:
            # The check above has found a returned target.
            self._queue.push_front(entry.flow, entry)
            return None
        lane_id = self.lanes.choose(
            self._answered_since_s(entry, now_s),
            self.port_limits.connection_share,
        )
        if lane_id is None:
            self._queue.push_front(entry.flow, entry)
            unproven = self.lanes.oldest_idle()
            return None if unproven is None else self._close(unproven)
        opens = self.lanes.begin(
            lane_id,
            idempotent=entry.work.idempotent,
            deadline_s=entry.work.deadline_s,
            now_s=now_s,
        )
        self._in_flight[lane_id] = _InFlight(entry, self._limit.epoch, now_s)
        return pool_actions.Start(entry, lane_id, opens)

    def _answered_since_s(
        self, entry: pool_actions.Entry, now_s: float
    ) -> float:
        if entry.was_resent:
            return float("inf")
        if entry.work.idempotent:
            return float("-inf")
        return self.lanes.proven_since_s(now_s)

    def _close(self, lane_id: int) -> pool_actions.Close:
        self.lanes.close(lane_id)
        return pool_actions.Close(lane_id)

    def flush(self, now_s: float) -> Iterator[pool_actions.Finish]:
        """Takes requests out of the queue that can no longer be sent."""
        self._queue.remove(lambda entry: entry.reply.done())
        for entry in self._queue.remove(
            lambda entry: self.obstacle(entry.work, now_s) is not None
        ):
            obstacle = self.obstacle(entry.work, now_s)
            assert obstacle is not None
            yield pool_actions.Finish(entry, obstacle)

    def tick(
        self, now_s: float
    ) -> Iterator[
        pool_actions.Finish | pool_actions.Close | pool_actions.GiveUp
    ]:
        """Finds overdue requests and silent or unused connections.

        Args:
          now_s: Monotonic time; called about every `TICK_S` while active.

        Yields:
          The actions.
        """
        before_s = now_s if self._ticked_s is None else self._ticked_s
        elapsed_s = min(now_s - before_s, _TICK_MAX_S)
        self._ticked_s = now_s
        yield from self.flush(now_s)
        for lane_id in self.lanes.idle_since(now_s - IDLE_LIMIT_S):
            yield self._close(lane_id)
        if self.is_retired and not self._in_flight:
            for lane_id in self.lanes.excess(0):
                yield self._close(lane_id)
        for lane_id, verdict in tuple(
            self.lanes.tick(elapsed_s, now_s, self._usual_time_s())
        ):
            yield from self._give_up(lane_id, verdict)

    def _give_up(
        self, lane_id: int, verdict: connection_table.Verdict
    ) -> Iterator[pool_actions.Close | pool_actions.GiveUp]:
        if verdict == connection_table.Verdict.SILENT:
            for idle_id in self.lanes.unverified(lane_id):
                yield self._close(idle_id)
        yield pool_actions.GiveUp(lane_id, verdict)

    def resend(self, entry: pool_actions.Entry, now_s: float) -> bool:
        """Queues the request of a silent lane again.

        Args:
          entry: The request.
          now_s: Monotonic time.

        Returns:
          False if it must not be sent again; its result is then LOST.
        """
        if entry.was_resent or not entry.work.idempotent:
            return False
        if entry.reply.done() or self.obstacle(entry.work, now_s) is not None:
            return False
        entry.was_resent = True
        self._queue.push_front(entry.flow, entry)
        return True

    def end(
        self,
        lane_id: int,
        result: work_lib.Result,
        reply: target_reply.TargetReply | None,
        now_s: float,
    ) -> list[pool_actions.Entry]:
        """Takes note of the end of a request.

        Args:
          lane_id: The lane; it is idle after a reply and closing otherwise.
          result: How the request ended.
          reply: What the target said, or None.
          now_s: Monotonic time.

        Returns:
          Waiting requests that get the result NOT_SENT, because the target
          refuses connections.
        """
        ended = self._in_flight.pop(lane_id)
        if result.status != work_lib.Status.REPLIED or reply is None:
            self.lanes.close(lane_id)
            return self._on_failure(result.status)
        self.lanes.answered(lane_id, now_s)
        if reply.status == "shed":
            retry_after_s = reply.retry_after_ms / 1000
            self._limit.on_shed(ended.epoch, now_s, retry_after_s)
        elif reply.status != "draining":
            self._limit.on_good(ended.epoch)
            self._observe_time(now_s - ended.started_s)
        return []

    def abandon(self, lane_id: int) -> None:
        """Takes note that a request was given up and its lane is closing."""
        self._in_flight.pop(lane_id, None)
        self.lanes.close(lane_id)

    def _on_failure(self, status: work_lib.Status) -> list[pool_actions.Entry]:
        if status == work_lib.Status.LOST:
            self._limit.restart()
        if status != work_lib.Status.NOT_SENT:
            return []
        self._limit.restart()
        return self._queue.clear()

    def _observe_time(self, elapsed_s: float) -> None:
        if self._service_time_s == 0.0:
            self._service_time_s = elapsed_s
        difference_s = elapsed_s - self._service_time_s
        self._service_time_s += _SERVICE_TIME_WEIGHT * difference_s


def _refused(detail: str, wait_s: float) -> work_lib.Result:
    return work_lib.Result(
        work_lib.Status.REFUSED,
        retry_after_ms=max(1, int(wait_s * 1000)),
        detail=detail,
    )
