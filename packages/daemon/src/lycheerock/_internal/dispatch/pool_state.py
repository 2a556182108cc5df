"""State machine of one target's pool, without sockets and without a clock."""

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

# Estimate of the service time until the first reply.
_SERVICE_TIME_INITIAL_S = 0.005

# Weight of the latest reply in the moving average of the service time.
_SERVICE_TIME_WEIGHT = 0.1

# Idle connections are closed after this time, so that an instance that no
# longer owns the target releases its connections.
IDLE_TIMEOUT_S = 60.0

TICK_INTERVAL_S = 0.05

# Upper bound of the time without progress that one tick adds to a connection. A
# longer gap between ticks means that this process was frozen or overloaded.
_ELAPSED_MAX_S = 2 * TICK_INTERVAL_S


FindState = Callable[[str], target_states.TargetState | None]


@dataclasses.dataclass(frozen=True)
class _InFlight:
    request: pool_actions.PendingRequest
    epoch: int
    started_s: float


class PoolState:
    """Queue, concurrency limit and connections of one target.

    The methods decide what to do; the caller carries out the actions that they
    yield.
    """

    def __init__(
        self,
        pool_limits: pool_actions.PoolLimits,
        timeouts: connection_table.ConnectionTimeouts,
        find_state: FindState,
    ):
        self.pool_limits = pool_limits
        self._find_state = find_state
        self._limit = limits.AdaptiveLimit(pool_limits.ceiling)
        self._queue = fair_queue.FairQueue[pool_actions.PendingRequest]()
        self.connections = connection_table.ConnectionTable(timeouts)
        self._in_flight: dict[int, _InFlight] = {}
        self._service_time_s = 0.0
        self._serving_order: tuple[int, int] | None = None
        self._last_tick_s: float | None = None
        self.is_retired = False

    @property
    def in_flight(self) -> int:
        """Number of requests that were started and have no result yet."""
        return len(self._in_flight)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight at present."""
        return min(self._limit.value, self.pool_limits.ceiling)

    @property
    def is_active(self) -> bool:
        """Whether `tick` must be called periodically."""
        return bool(self._in_flight or self._queue or self.connections)

    def update(self, pool_limits: pool_actions.PoolLimits) -> None:
        """Applies the limits of a bundle; requests in flight continue."""
        self.pool_limits = pool_limits
        self._limit.set_ceiling(pool_limits.ceiling)
        self.is_retired = False

    def retire(self) -> None:
        """Refuses further requests after the target left the bundle."""
        self.is_retired = True

    def enqueue(
        self, request: pool_actions.PendingRequest, now_s: float
    ) -> work_lib.TargetResult | None:
        """Queues a request unless it is refused.

        Args:
          request: The request.
          now_s: Monotonic time.

        Returns:
          The refusal, or None if the request was queued; `next_actions` then
          sends it.
        """
        refusal = self.find_refusal(request.work, now_s)
        if refusal is not None:
            return refusal
        ahead = self._queue.ahead_of(request.flow)
        wait_s = self._expected_wait_s(ahead, now_s)
        if self._is_full(request.flow):
            return _refused("queue full", wait_s)
        time_left_s = request.work.deadline_s - now_s
        if wait_s > 0 and wait_s + self._typical_service_time_s() > time_left_s:
            return _refused("expected wait exceeds time left", wait_s)
        self._queue.push(request.flow, request)
        return None

    def find_refusal(
        self, work: work_lib.TargetRequest, now_s: float
    ) -> work_lib.TargetResult | None:
        """Returns the result of a request that must not be sent, or None.

        Also restarts the slow start if the state of the target has changed.
        """
        if work.deadline_s <= now_s:
            return work_lib.TargetResult(work_lib.Status.EXPIRED)
        state = self._find_state(work.target_id)
        is_draining = (
            state is not None
            and state.state == target_states.ServingState.DRAINING
        )
        if self.is_retired or (is_draining and not work.is_probe):
            return work_lib.TargetResult(work_lib.Status.LEAVING)
        if state is not None and state.order != self._serving_order:
            # A new epoch or sequence means that the target restarted or
            # serves again after draining. The first report is not a change.
            if self._serving_order is not None:
                self._limit.restart_slow_start()
            self._serving_order = state.order
        return None

    def _is_full(self, flow: fair_queue.Flow) -> bool:
        flow_size = self._queue.flow_size(flow)
        if flow_size >= self.pool_limits.flow_size_max:
            return True
        return (
            flow_size > 0
            and len(self._queue) >= self.pool_limits.queue_size_max
        )

    def _expected_wait_s(self, ahead: int, now_s: float) -> float:
        pause_s = max(0.0, self._limit.paused_until_s - now_s)
        if ahead == 0 and self.in_flight < self.limit:
            return pause_s
        rounds = ahead / min(self._limit.expected, self.pool_limits.ceiling) + 1
        return pause_s + rounds * self._typical_service_time_s()

    def _typical_service_time_s(self) -> float:
        return self._service_time_s or _SERVICE_TIME_INITIAL_S

    def next_actions(self, now_s: float) -> Iterator[pool_actions.Action]:
        """Yields the actions that are possible now.

        Args:
          now_s: Monotonic time.

        Yields:
          The actions. The caller must carry out each one before it asks for
          the next.
        """
        for connection_id in self.connections.excess_idle(
            self.pool_limits.connection_share
        ):
            yield self._close_connection(connection_id)
        while self.in_flight < self.limit and not self._limit.is_paused(now_s):
            request = self._queue.pop()
            if request is None:
                break
            if request.future.done():
                continue
            action = self._try_send(request, now_s)
            if action is not None:
                yield action
            if not isinstance(
                action, pool_actions.Send | pool_actions.Complete
            ):
                break

    def _try_send(
        self, request: pool_actions.PendingRequest, now_s: float
    ) -> pool_actions.Action | None:
        refusal = self.find_refusal(request.work, now_s)
        if refusal is not None:
            return pool_actions.Complete(request, refusal)
        if self.in_flight >= self.limit:
            # The check above may have restarted the slow start, which lowers
            # the limit.
            self._queue.push_front(request.flow, request)
            return None
        connection_id = self.connections.choose(
            self._replied_since_s(request, now_s),
            self.pool_limits.connection_share,
        )
        if connection_id is None:
            self._queue.push_front(request.flow, request)
            unverified_id = self.connections.oldest_idle()
            return (
                None
                if unverified_id is None
                else self._close_connection(unverified_id)
            )
        is_new = self.connections.assign(
            connection_id,
            idempotent=request.work.idempotent,
            deadline_s=request.work.deadline_s,
            now_s=now_s,
        )
        self._in_flight[connection_id] = _InFlight(
            request, self._limit.epoch, now_s
        )
        return pool_actions.Send(request, connection_id, is_new)

    def _replied_since_s(
        self, request: pool_actions.PendingRequest, now_s: float
    ) -> float:
        if request.was_resent:
            return float("inf")
        if request.work.idempotent:
            return float("-inf")
        return self.connections.verified_since_s(now_s)

    def _close_connection(self, connection_id: int) -> pool_actions.Close:
        self.connections.mark_closing(connection_id)
        return pool_actions.Close(connection_id)

    def purge_queue(self, now_s: float) -> Iterator[pool_actions.Complete]:
        """Removes queued requests that were cancelled or must not be sent."""
        self._queue.remove(lambda request: request.future.done())
        for request in self._queue.remove(
            lambda request: self.find_refusal(request.work, now_s) is not None
        ):
            refusal = self.find_refusal(request.work, now_s)
            assert refusal is not None
            yield pool_actions.Complete(request, refusal)

    def tick(
        self, now_s: float
    ) -> Iterator[
        pool_actions.Complete | pool_actions.Close | pool_actions.Abort
    ]:
        """Finds expired requests and silent or unused connections.

        Called about every `TICK_INTERVAL_S` while there are requests, and less
        often while there are only idle connections.

        Args:
          now_s: Monotonic time.

        Yields:
          The actions.
        """
        previous_s = now_s if self._last_tick_s is None else self._last_tick_s
        elapsed_s = min(now_s - previous_s, _ELAPSED_MAX_S)
        self._last_tick_s = now_s
        yield from self.purge_queue(now_s)
        for connection_id in self.connections.idle_since(
            now_s - IDLE_TIMEOUT_S
        ):
            yield self._close_connection(connection_id)
        if self.is_retired and not self._in_flight:
            for connection_id in self.connections.excess_idle(0):
                yield self._close_connection(connection_id)
        for connection_id, reason in tuple(
            self.connections.tick(
                elapsed_s, now_s, self._typical_service_time_s()
            )
        ):
            yield from self._abort_actions(connection_id, reason)

    def _abort_actions(
        self, connection_id: int, reason: connection_table.AbortReason
    ) -> Iterator[pool_actions.Close | pool_actions.Abort]:
        if reason == connection_table.AbortReason.SILENT:
            for idle_id in self.connections.unverified(connection_id):
                yield self._close_connection(idle_id)
        yield pool_actions.Abort(connection_id, reason)

    def requeue(
        self, request: pool_actions.PendingRequest, now_s: float
    ) -> bool:
        """Queues a request again after its connection turned out silent.

        Args:
          request: The request.
          now_s: Monotonic time.

        Returns:
          Whether it was queued. If not, the caller must complete it.
        """
        if request.was_resent or not request.work.idempotent:
            return False
        if (
            request.future.done()
            or self.find_refusal(request.work, now_s) is not None
        ):
            return False
        request.was_resent = True
        self._queue.push_front(request.flow, request)
        return True

    def complete(
        self,
        connection_id: int,
        result: work_lib.TargetResult,
        reply: target_reply.TargetReply | None,
        now_s: float,
    ) -> list[pool_actions.PendingRequest]:
        """Records the result of a request.

        Args:
          connection_id: The connection; it becomes idle after a valid reply and
            closing otherwise.
          result: The result.
          reply: The decoded reply of the target, or None.
          now_s: Monotonic time.

        Returns:
          The queued requests, which are removed and must get the same result,
          if the result is NOT_SENT: the target cannot be reached.
        """
        ended = self._in_flight.pop(connection_id)
        if result.status != work_lib.Status.REPLIED or reply is None:
            self.connections.mark_closing(connection_id)
            return self._on_failure(result.status)
        self.connections.record_reply(connection_id, now_s)
        if reply.status == "shed":
            retry_after_s = reply.retry_after_ms / 1000
            self._limit.on_shed(ended.epoch, now_s, retry_after_s)
        elif reply.status != "draining":
            self._limit.on_success(ended.epoch)
            self._update_service_time(now_s - ended.started_s)
        return []

    def abort(self, connection_id: int) -> None:
        """Records that a request was aborted; its connection is closing."""
        self._in_flight.pop(connection_id, None)
        self.connections.record_unanswered(connection_id)
        self.connections.mark_closing(connection_id)

    def _on_failure(
        self, status: work_lib.Status
    ) -> list[pool_actions.PendingRequest]:
        if status == work_lib.Status.LOST:
            self._limit.restart_slow_start()
        if status != work_lib.Status.NOT_SENT:
            return []
        self._limit.restart_slow_start()
        return self._queue.clear()

    def _update_service_time(self, elapsed_s: float) -> None:
        if self._service_time_s == 0.0:
            self._service_time_s = elapsed_s
        difference_s = elapsed_s - self._service_time_s
        self._service_time_s += _SERVICE_TIME_WEIGHT * difference_s


def _refused(detail: str, wait_s: float) -> work_lib.TargetResult:
    return work_lib.TargetResult(
        work_lib.Status.REFUSED,
        retry_after_ms=max(1, int(wait_s * 1000)),
        detail=detail,
    )
