"""Delivers a request to one service: attempts, retries and hedges."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

from lycheerock._internal.gateway import messages
from lycheerock._internal.gateway import retry_budget
from lycheerock._internal.targets import choice
from lycheerock._internal.targets import latency as latency_lib
from lycheerock._internal.targets import registry as registry_lib
from lycheerock._internal.upstream import connection as connection_lib
from lycheerock._internal.upstream import pool as pool_lib

# Attempts that could not connect cost a target nothing; this bounds them.
UNREACHABLE_MAX = 4

# A target that is full or not the one expected is left alone for this long:
# some requests' worth of its work, or until the store's list has changed.
FULL_PAUSE_S = 0.1
MISDIRECTED_PAUSE_S = 3.0

# Less time than this serves no request; it is not sent any more.
TIME_LEFT_MIN_S = 0.002

# A service counts as used for this long after a request: several times the
# pause between two requests that an instance of a large fleet has.
IN_USE_S = 4.0

# Time for which an attempt that is no longer needed may still end, so that its
# connection and what it teaches about the target are kept.
LINGER_S = 0.3

_NEVER_S = float("inf")

_End = messages.AttemptEnd
_Cause = messages.AttemptCause
_Kind = messages.ReplyKind

Encode = Callable[[messages.ForwardedRequest, str, float], bytes]
Decode = Callable[[connection_lib.Response], messages.TargetReply]


@dataclasses.dataclass(frozen=True)
class Order:
    """What is to be delivered.

    Attributes:
      request: The request.
      service: Service whose targets may run it.
      route_name: Route, which the usual latency is kept by.
      is_idempotent: Whether it may run more than once.
      attempts_max: Targets that it may be sent to.
      deadline_s: Monotonic time at which the caller gives up.
      hedge_delay_s: Time after which a second target is asked as well, or None.
      early_hedge_delay_s: The same while the budget is nearly full, or None.
    """

    request: messages.ForwardedRequest
    service: str
    route_name: str
    is_idempotent: bool
    attempts_max: int
    deadline_s: float
    hedge_delay_s: float | None
    early_hedge_delay_s: float | None = None


class Deliverer:
    """Sends requests to targets and learns from how they end."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        budgets: retry_budget.RetryBudgets,
        encode: Encode,
        decode: Decode,
    ) -> None:
        self._registry = registry
        self._budgets = budgets
        self._encode = encode
        self._decode = decode
        self._windows: dict[tuple[str, str], latency_lib.LatencyWindow] = {}
        self._used_s: dict[str, float] = {}
        self._lingering: set[asyncio.Task[messages.TargetReply | None]] = set()

    def window(
        self, service: str, route_name: str
    ) -> latency_lib.LatencyWindow:
        """Returns the latencies of a route at a service."""
        key = (service, route_name)
        found = self._windows.get(key)
        if found is None:
            found = self._windows[key] = latency_lib.LatencyWindow()
        return found

    def start(self, order: Order) -> "Delivery":
        """Prepares the delivery of a request.

        Args:
          order: What is to be delivered.

        Returns:
          The delivery, whose `run` sends the request.
        """
        self._budgets.add_request(order.service)
        self._used_s[order.service] = time.monotonic()
        return Delivery(self, order)

    def services_in_use(self) -> list[str]:
        """Returns the services that have had requests lately."""
        since_s = time.monotonic() - IN_USE_S
        for service in [s for s, t in self._used_s.items() if t < since_s]:
            del self._used_s[service]
        return list(self._used_s)

    def linger(self, task: asyncio.Task[messages.TargetReply | None]) -> None:
        """Lets an attempt that is not needed any more end by itself."""
        self._lingering.add(task)
        task.add_done_callback(self._lingering.discard)
        asyncio.get_running_loop().call_later(LINGER_S, task.cancel)

    def choose(
        self, order: Order, tried_ids: set[str], now_s: float
    ) -> registry_lib.Target | None:
        """Returns the target of the next attempt, or None."""
        candidates = self._registry.candidates(order.service, now_s)
        target_id = choice.choose(candidates, now_s, tried_ids)
        return None if target_id is None else self._registry.get(target_id)

    def may_hedge_early(self, order: Order) -> bool:
        """Tells whether the budget allows a hedge before its usual time."""
        return self._budgets.has_plenty(order.service)

    def take_token(self, order: Order, *, for_hedge: bool) -> bool:
        """Takes the right to send a request once more."""
        return self._budgets.take(order.service, for_hedge=for_hedge)

    async def attempt(
        self,
        order: Order,
        target: registry_lib.Target,
        record: messages.AttemptRecord,
    ) -> messages.TargetReply | None:
        """Sends a request to a target and records how it ended."""
        window = self.window(order.service, order.route_name)
        flight = target.evidence.started(record.start_s, window.usual_s)
        end = _End.DROPPED
        try:
            reply = await self._exchange(order, target, record)
            end = _end_of(reply)
            if end == _End.ANSWERED:
                window.observe(time.monotonic() - record.start_s)
            return reply
        except pool_lib.ConnectError as error:
            end, record.detail = _End.UNREACHABLE, str(error)
        except connection_lib.ConnectionBrokenError as error:
            end, record.detail = _End.LOST, str(error)
        except TimeoutError:
            end = _End.EXPIRED
        finally:
            now_s = time.monotonic()
            record.end = end
            record.elapsed_s = now_s - record.start_s
            _learn(target, flight, end, now_s)
        return None

    async def _exchange(
        self,
        order: Order,
        target: registry_lib.Target,
        record: messages.AttemptRecord,
    ) -> messages.TargetReply | None:
        pool = target.pool
        connection = await pool.acquire(proven=not order.is_idempotent)
        try:
            left_s = order.deadline_s - time.monotonic()
            if left_s < TIME_LEFT_MIN_S:
                raise TimeoutError
            request = order.request
            encoded = self._encode(request, target.entry.target_id, left_s)
            record.is_sent = True
            response = await connection.exchange(
                encoded, request.request_id, is_head=request.method == "HEAD"
            )
        finally:
            pool.release(connection)
        reply = self._decode(response)
        if reply.kind == _Kind.UNUSABLE:
            record.detail = f"unusable response, status {reply.status}"
        return reply


def _end_of(reply: messages.TargetReply | None) -> messages.AttemptEnd:
    if reply is None:
        return _End.LOST
    return {
        _Kind.SUCCESS: _End.ANSWERED,
        _Kind.FAILURE: _End.FAILED,
        _Kind.NOT_RUN: _End.NOT_RUN,
        _Kind.MISDIRECTED: _End.MISDIRECTED,
        _Kind.UNUSABLE: _End.LOST,
    }[reply.kind]


def _learn(
    target: registry_lib.Target,
    flight: int,
    end: messages.AttemptEnd,
    now_s: float,
) -> None:
    evidence = target.evidence
    if end == _End.ANSWERED:
        evidence.answered(flight, now_s)
    elif end == _End.NOT_RUN:
        evidence.refused(flight, now_s, FULL_PAUSE_S)
    elif end == _End.MISDIRECTED:
        evidence.refused(flight, now_s, MISDIRECTED_PAUSE_S)
    elif end in (_End.DROPPED, _End.EXPIRED):
        evidence.dropped(flight, now_s)
    else:
        evidence.failed(flight, now_s)


_Task = asyncio.Task[messages.TargetReply | None]


class Delivery:
    """State of one delivery; only `run` waits."""

    def __init__(self, owner: Deliverer, order: Order) -> None:
        self._owner = owner
        self._order = order
        self._records: list[messages.AttemptRecord] = []
        self._running: dict[_Task, messages.AttemptRecord] = {}
        self._tried_ids: set[str] = set()
        self._failure: messages.TargetReply | None = None
        self._problem = messages.Problem.NO_TARGET
        now_s = time.monotonic()
        self._hedge_s = _hedge_time_s(order, order.hedge_delay_s, now_s)
        self._early_s = _hedge_time_s(order, order.early_hedge_delay_s, now_s)

    async def run(self) -> messages.Delivered:
        """Sends attempts until one succeeds or none may follow.

        Never raises for a failure of targets. If the task is cancelled, the
        caller has left and all attempts end at once.
        """
        try:
            return await self._run()
        finally:
            self.drop_running()

    async def _run(self) -> messages.Delivered:
        self._start(_Cause.FIRST)
        while self._running:
            now_s = time.monotonic()
            if now_s >= self._order.deadline_s:
                return self._end(messages.Problem.DEADLINE)
            self._hedge_if_due(now_s)
            until_s = min(self._order.deadline_s, self._hedge_s, self._early_s)
            done, _ = await asyncio.wait(
                self._running,
                timeout=max(0.0, until_s - time.monotonic()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                reply = self._take(task)
                if reply is not None:
                    self.release()
                    return messages.Delivered(reply, None, self.snapshot())
        return self._end(self._problem)

    def drop_running(self) -> None:
        """Ends all attempts at once; targets drop the requests."""
        for task in self._running:
            task.cancel()
        self._running.clear()

    def release(self) -> None:
        """Lets running attempts end by themselves; nobody waits for them."""
        for task in self._running:
            self._owner.linger(task)
        self._running.clear()

    def snapshot(self) -> tuple[messages.AttemptRecord, ...]:
        """Returns the attempts so far, running ones with their age."""
        now_s = time.monotonic()
        return tuple(
            dataclasses.replace(record, elapsed_s=now_s - record.start_s)
            if record.end == _End.RUNNING
            else dataclasses.replace(record)
            for record in self._records
        )

    def _end(self, problem: messages.Problem) -> messages.Delivered:
        return messages.Delivered(self._failure, problem, self.snapshot())

    def _start(self, cause: messages.AttemptCause) -> bool:
        now_s = time.monotonic()
        target = self._owner.choose(self._order, self._tried_ids, now_s)
        if target is None:
            return False
        target_id = target.entry.target_id
        record = messages.AttemptRecord(target_id, cause, now_s)
        self._tried_ids.add(target_id)
        self._records.append(record)
        task = asyncio.create_task(
            self._owner.attempt(self._order, target, record)
        )
        self._running[task] = record
        return True

    def _take(self, task: _Task) -> messages.TargetReply | None:
        record = self._running.pop(task)
        reply = task.result()
        if record.end == _End.ANSWERED:
            return reply
        self._problem = _PROBLEMS[record.end]
        if record.end == _End.FAILED:
            self._failure = reply
        if self._may_follow(record):
            self._start(_Cause.RETRY)
        return None

    def _may_follow(self, record: messages.AttemptRecord) -> bool:
        if record.may_have_run and not self._order.is_idempotent:
            return False
        if not self._may_send():
            return False
        if record.end == _End.UNREACHABLE:
            # Nothing reached a target, so nothing is sent once more.
            return True
        return self._owner.take_token(self._order, for_hedge=False)

    def _may_send(self) -> bool:
        if self._order.deadline_s - time.monotonic() < TIME_LEFT_MIN_S:
            return False
        unreachable = sum(r.end == _End.UNREACHABLE for r in self._records)
        sent = len(self._records) - unreachable
        return sent < self._order.attempts_max and unreachable < UNREACHABLE_MAX

    def _hedge_if_due(self, now_s: float) -> None:
        is_early = now_s >= self._early_s
        if is_early:
            self._early_s = _NEVER_S
        if now_s >= self._hedge_s or (
            is_early and self._owner.may_hedge_early(self._order)
        ):
            self._hedge_s = self._early_s = _NEVER_S
            self._hedge()

    def _hedge(self) -> None:
        if not self._order.is_idempotent or not self._may_send():
            return
        if self._owner.take_token(self._order, for_hedge=True):
            self._start(_Cause.HEDGE)


_PROBLEMS = {
    _End.FAILED: messages.Problem.TARGET_FAILED,
    _End.NOT_RUN: messages.Problem.REFUSED,
    _End.MISDIRECTED: messages.Problem.REFUSED,
    _End.UNREACHABLE: messages.Problem.UNREACHABLE,
    _End.LOST: messages.Problem.CONNECTION_LOST,
    _End.EXPIRED: messages.Problem.DEADLINE,
    _End.DROPPED: messages.Problem.DEADLINE,
}


def _hedge_time_s(order: Order, delay_s: float | None, now_s: float) -> float:
    if delay_s is None or not order.is_idempotent:
        return _NEVER_S
    return now_s + delay_s
