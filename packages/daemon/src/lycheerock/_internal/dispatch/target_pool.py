"""Connection pool of one target, with its request queue and its limits."""

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

# Tick interval while there are no requests. Ticks then only close connections.
_IDLE_TICK_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class PoolSettings:
    """Settings of the pool of one target.

    Attributes:
      connection: Address and maximum reply size of the target.
      limits: Limits on requests and connections.
      timeouts: Timeouts for reusing and aborting connections.
    """

    connection: connection_lib.ConnectionSettings
    limits: pool_actions.PoolLimits
    timeouts: connection_table.ConnectionTimeouts = dataclasses.field(
        default_factory=connection_table.ConnectionTimeouts
    )


@dataclasses.dataclass(eq=False)
class _ActiveRequest:
    request: pool_actions.PendingRequest
    task: asyncio.Task[None]


class TargetPool:
    """Owns all connections of this instance to one target address."""

    def __init__(
        self,
        settings: PoolSettings,
        target_states: target_states_lib.TargetStates,
        on_empty: Callable[[], None] = lambda: None,
    ):
        """Creates a pool without connections.

        Args:
          settings: Address, limits and timeouts.
          target_states: Known states of targets; updated from the reports in
            replies.
          on_empty: Called when a retired pool has closed all connections.
        """
        self._settings = settings
        self._target_states = target_states
        self._on_empty = on_empty
        self._state = pool_state.PoolState(
            settings.limits, settings.timeouts, target_states.find
        )
        self._connections: dict[int, connection_lib.Connection] = {}
        self._active: dict[int, _ActiveRequest] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_is_fast = False
        self.silent_count = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that were started and have no result yet."""
        return self._state.in_flight

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return self._state.waiting

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight at present."""
        return self._state.limit

    @property
    def connection_count(self) -> int:
        """Number of connections, including those being opened or closed."""
        return len(self._state.connections)

    @property
    def is_retired(self) -> bool:
        """Whether the target was removed from the bundle."""
        return self._state.is_retired

    def update(self, settings: PoolSettings) -> None:
        """Applies new settings; the address must not change."""
        self._settings = settings
        self._state.update(settings.limits)
        self._run_actions()

    def retire(self) -> None:
        """Refuses queued requests and closes connections once they are idle."""
        self._state.retire()
        self._tick()

    def submit(
        self, work: work_lib.TargetRequest
    ) -> asyncio.Future[work_lib.TargetResult]:
        """Queues one request.

        Args:
          work: The request.

        Returns:
          A future that always gets a result. Cancelling it aborts an
          idempotent request; a booking that may have been sent continues.
        """
        future: asyncio.Future[work_lib.TargetResult]
        future = asyncio.get_running_loop().create_future()
        request = pool_actions.PendingRequest(work, future)
        refusal = self._state.enqueue(request, time.monotonic())
        if refusal is not None:
            future.set_result(refusal)
            return future
        self._run_actions()
        return future

    def _run_actions(self) -> None:
        for action in self._state.next_actions(time.monotonic()):
            if isinstance(action, pool_actions.Send):
                self._start_send(action)
            elif isinstance(action, pool_actions.Close):
                self._close_connection(action.connection_id)
            else:
                _set_result(action.request, action.result)
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
        period_s = (
            pool_state.TICK_INTERVAL_S if is_busy else _IDLE_TICK_INTERVAL_S
        )
        self._timer_is_fast = is_busy
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(period_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._tick()

    def _tick(self) -> None:
        for action in self._state.tick(time.monotonic()):
            if isinstance(action, pool_actions.Abort):
                self._handle_abort(action)
            elif isinstance(action, pool_actions.Close):
                self._close_connection(action.connection_id)
            else:
                _set_result(action.request, action.result)
        self._run_actions()

    def _start_send(self, send: pool_actions.Send) -> None:
        connection_id = send.connection_id
        if send.is_new:
            on_progress = functools.partial(
                self._state.connections.record_progress, connection_id
            )
            self._connections[connection_id] = connection_lib.Connection(
                self._settings.connection, on_progress
            )
        task = asyncio.get_running_loop().create_task(
            self._send(connection_id, send.request)
        )
        self._active[connection_id] = _ActiveRequest(send.request, task)
        if send.request.work.idempotent:
            _future(send.request).add_done_callback(
                functools.partial(self._on_future_done, connection_id)
            )

    async def _send(
        self, connection_id: int, request: pool_actions.PendingRequest
    ) -> None:
        result = await self._connections[connection_id].send(
            request.work,
            self._settings.connection.reply_size_max_bytes,
            self._state.find_refusal,
        )
        if connection_id not in self._active:
            return
        reply = None
        if result.status == work_lib.Status.REPLIED:
            reply = target_reply.decode(result.body, request.work.attempt_id)
            if reply is None:
                result = work_lib.TargetResult(work_lib.Status.MALFORMED)
        now_s = time.monotonic()
        not_sent = self._state.complete(connection_id, result, reply, now_s)
        del self._active[connection_id]
        _set_result(request, result)
        for waiting in not_sent:
            _set_result(waiting, result)
        if reply is None:
            self._close_connection(connection_id)
        else:
            self._record_report(request.work.target_id, reply)
        self._run_actions()

    def _record_report(
        self, target_id: str, reply: target_reply.TargetReply
    ) -> None:
        report = reply.report(target_id)
        if report is not None:
            self._target_states.observe(report)

    def _on_future_done(
        self, connection_id: int, future: asyncio.Future[work_lib.TargetResult]
    ) -> None:
        active = self._active.get(connection_id)
        if not future.cancelled() or active is None:
            return
        if active.request.future is future:
            self._abort_connection(connection_id)
            self._run_actions()

    def _handle_abort(self, action: pool_actions.Abort) -> None:
        request = self._active[action.connection_id].request
        was_written = self._connections[action.connection_id].was_written
        self._abort_connection(action.connection_id)
        if action.reason == connection_table.AbortReason.SILENT:
            self.silent_count += 1
            _LOG.warning(
                "connection_silent",
                target=request.work.target_id,
                attempt=request.work.attempt_id,
                idempotent=request.work.idempotent,
            )
            if self._state.requeue(request, time.monotonic()):
                return
        status = (
            work_lib.Status.LOST if was_written else work_lib.Status.NOT_SENT
        )
        detail = action.reason.value
        _set_result(request, work_lib.TargetResult(status, detail=detail))

    def _abort_connection(self, connection_id: int) -> None:
        self._state.abort(connection_id)
        task = self._active.pop(connection_id).task
        task.cancel()
        self._close_connection(connection_id, task)

    def _close_connection(
        self,
        connection_id: int,
        cancelled_task: asyncio.Task[None] | None = None,
    ) -> None:
        connection = self._connections.pop(connection_id)
        task = asyncio.get_running_loop().create_task(
            self._close_after_task(connection_id, connection, cancelled_task)
        )
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _close_after_task(
        self,
        connection_id: int,
        connection: connection_lib.Connection,
        cancelled_task: asyncio.Task[None] | None,
    ) -> None:
        if cancelled_task is not None:
            await asyncio.wait((cancelled_task,))
        try:
            await connection.close()
        finally:
            # A closing connection counts towards the share until it is removed.
            self._state.connections.remove(connection_id)
            self._run_actions()

    async def close(self) -> None:
        """Closes all connections and aborts the requests in flight."""
        self._state.retire()
        for connection_id in tuple(self._active):
            request = self._active[connection_id].request
            was_written = self._connections[connection_id].was_written
            self._abort_connection(connection_id)
            status = (
                work_lib.Status.LOST
                if was_written
                else work_lib.Status.NOT_SENT
            )
            _set_result(
                request, work_lib.TargetResult(status, detail="shutting down")
            )
        self._tick()
        while self._closing:
            await asyncio.wait(tuple(self._closing))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _future(
    request: pool_actions.PendingRequest,
) -> asyncio.Future[work_lib.TargetResult]:
    return cast("asyncio.Future[work_lib.TargetResult]", request.future)


def _set_result(
    request: pool_actions.PendingRequest, result: work_lib.TargetResult
) -> None:
    future = _future(request)
    if not future.done():
        future.set_result(result)
