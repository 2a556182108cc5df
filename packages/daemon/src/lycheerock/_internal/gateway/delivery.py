"""Sends a request to targets of a service, with retries and hedging."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time

import structlog

from lycheerock._internal.gateway import messages
from lycheerock._internal.gateway import retry_budget
from lycheerock._internal.gateway import timing
from lycheerock._internal.targets import announcements
from lycheerock._internal.targets import capacity_table
from lycheerock._internal.targets import latency as latency_lib
from lycheerock._internal.targets import registry as registry_lib
from lycheerock._internal.targets import selection
from lycheerock._internal.upstream import connection as connection_lib
from lycheerock._internal.upstream import pool as pool_lib

_LOG = structlog.get_logger()

# Maximum number of attempts of a request that fail to open a connection. They
# do not count towards its other attempts, since they put no load on a target.
UNREACHABLE_ATTEMPTS_MAX = 4

# Ejection time of a target that refused to run a request, mostly because it is
# overloaded. It completes a few requests in this time.
NOT_RUN_EJECTION_S = 0.1

# Ejection time of a target at whose address another target replied. When it
# ends, the store's list of targets should be up to date.
MISDIRECTED_EJECTION_S = 3.0

# A request with less time than this before its deadline is not sent, since no
# target could reply in time.
REMAINING_TIME_MIN_S = 0.002

# A service counts as in use for this long after a request. This is several
# times the interval between two requests that one instance of a large fleet
# receives.
SERVICE_IN_USE_S = 4.0

# Time for which an attempt that is no longer needed may continue. If it
# completes, its connection can be reused and its latency is recorded for the
# target.
DETACHED_ATTEMPT_MAX_S = 0.3

_NEVER_S = float("inf")

_Outcome = messages.AttemptOutcome
_Cause = messages.AttemptCause
_Kind = messages.ReplyKind

RequestEncoder = Callable[[messages.ForwardedRequest, str, float], bytes]
ReplyDecoder = Callable[[connection_lib.Response], messages.TargetReply]


@dataclasses.dataclass(frozen=True)
class DeliverySpec:
    """A request to one service and the limits for sending it.

    Attributes:
      request: The request.
      service: Service whose targets may run it.
      route_name: Name of the route, by which latencies are recorded.
      is_idempotent: Whether it may run more than once.
      attempts_max: Maximum number of targets to which it is sent.
      useful_until_s: Monotonic time after which a reply is of little use.
      deadline_s: Monotonic time at which the delivery ends at the latest.
      hedge_delay_s: Time after which a hedge is sent, or None.
      early_hedge_delay_s: Hedge delay that applies while the retry budget is
        nearly full, or None.
      allowed_regions: Regions whose targets may get it; empty if all may.
      is_first_arrival: Whether no other delivery has sent the request to the
        service. Otherwise a token of the retry budget has been taken for it.
      tried_ids: Targets to which it was sent by other deliveries.
    """

    request: messages.ForwardedRequest
    service: str
    route_name: str
    is_idempotent: bool
    attempts_max: int
    useful_until_s: float
    deadline_s: float
    hedge_delay_s: float | None
    early_hedge_delay_s: float | None = None
    allowed_regions: frozenset[str] = frozenset()
    is_first_arrival: bool = True
    tried_ids: frozenset[str] = frozenset()


class Deliverer:
    """Sends requests to targets and records the outcomes."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        budgets: retry_budget.RetryBudgets,
        encode: RequestEncoder,
        decode: ReplyDecoder,
        capacities: capacity_table.CapacityTable | None = None,
    ) -> None:
        self._registry = registry
        self._capacities = capacities or capacity_table.CapacityTable(
            "", {}, is_set=False
        )
        self._budgets = budgets
        self._encode = encode
        self._decode = decode
        self._latency_windows: dict[
            tuple[str, str], latency_lib.LatencyWindow
        ] = {}
        self._last_used_s: dict[str, float] = {}
        self._detached: set[asyncio.Task[messages.TargetReply | None]] = set()

    def latency_window(
        self, service: str, route_name: str
    ) -> latency_lib.LatencyWindow:
        """Returns the recent latencies of a route at a service."""
        key = (service, route_name)
        window = self._latency_windows.get(key)
        if window is None:
            window = self._latency_windows[key] = latency_lib.LatencyWindow()
        return window

    def usual_latency_s(
        self, services: Sequence[str], route_name: str
    ) -> float:
        """Returns the median latency of a route at a typical shard.

        A single overloaded shard must not delay the hedges of all others.

        Args:
          services: The shards, at least one.
          route_name: Name of the route.
        """
        medians_s = sorted(
            self.latency_window(service, route_name).median_s
            for service in services
        )
        return medians_s[len(medians_s) // 2]

    def new_delivery(self, spec: DeliverySpec) -> "Delivery":
        """Creates the delivery of a request and counts its first attempt.

        Args:
          spec: The request, its service and its limits.

        Returns:
          The delivery; its `run` method sends the request.
        """
        if spec.is_first_arrival:
            self._budgets.record_request(spec.service)
        self._last_used_s[spec.service] = time.monotonic()
        return Delivery(self, spec)

    def services_in_use(self) -> list[str]:
        """Returns the services to which requests were routed recently."""
        since_s = time.monotonic() - SERVICE_IN_USE_S
        for service in [s for s, t in self._last_used_s.items() if t < since_s]:
            del self._last_used_s[service]
        return list(self._last_used_s)

    def detach(self, task: asyncio.Task[messages.TargetReply | None]) -> None:
        """Lets an attempt continue in the background for a short time."""
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        asyncio.get_running_loop().call_later(
            DETACHED_ATTEMPT_MAX_S, task.cancel
        )

    def choose_target(
        self,
        spec: DeliverySpec,
        tried_ids: set[str],
        now_s: float,
        *,
        with_last_resort: bool = True,
    ) -> registry_lib.Target | None:
        """Returns the target for the next attempt, or None if none is left."""
        candidates = self._registry.candidates(
            spec.service,
            now_s,
            spec.allowed_regions,
            with_last_resort=with_last_resort,
        )
        target_id = self._capacities.select(
            candidates, now_s, tried_ids, self._near_ratio(spec, now_s)
        )
        if target_id is None:
            return None
        target = self._registry.get(target_id)
        if target is not None:
            self._registry.record_request(target, now_s)
        return target

    def _near_ratio(self, spec: DeliverySpec, now_s: float) -> float:
        hedge_delay_s = spec.hedge_delay_s
        if hedge_delay_s is None or not spec.is_idempotent:
            hedge_delay_s = timing.HEDGE_OBJECTIVE_RATIO * max(
                0.0, spec.useful_until_s - now_s
            )
        window = self.latency_window(spec.service, spec.route_name)
        return selection.tolerated_ratio(hedge_delay_s, window.median_s)

    def backoff_left_s(
        self,
        services: Sequence[str],
        needed_count: int,
        allowed_regions: frozenset[str],
    ) -> float:
        """Returns the time until enough services have a target without backoff.

        Args:
          services: The services, at least one.
          needed_count: Number of them that a request needs, at least one.
          allowed_regions: Regions whose targets may be selected.
        """
        now_s = time.monotonic()
        waits_s = sorted(
            self._registry.backoff_left_s(service, now_s, allowed_regions)
            for service in services
        )
        return waits_s[min(needed_count, len(waits_s)) - 1]

    def may_hedge_early(self, spec: DeliverySpec) -> bool:
        """Returns whether the retry budget allows an early hedge."""
        return self._budgets.allows_early_hedge(spec.service)

    def take_token(self, spec: DeliverySpec, *, for_hedge: bool) -> bool:
        """Takes a token for a retry or hedge; returns False if none is left."""
        return self._budgets.take(spec.service, for_hedge=for_hedge)

    def take_repeat_token(self, service: str) -> bool:
        """Takes a token to repeat a request of another instance or delivery."""
        return self._budgets.take(service, for_hedge=False)

    async def attempt(
        self,
        spec: DeliverySpec,
        target: registry_lib.Target,
        record: messages.AttemptRecord,
    ) -> messages.TargetReply | None:
        """Sends a request to a target and records the outcome."""
        window = self.latency_window(spec.service, spec.route_name)
        request_number = target.health.record_start(
            record.start_s, window.median_s
        )
        concurrency = target.health.in_flight
        outcome = _Outcome.DROPPED
        try:
            reply = await self._exchange(spec, target, record)
            outcome = _outcome_of(reply)
            if outcome == _Outcome.ANSWERED:
                now_s = time.monotonic()
                self._capacities.observe(
                    target,
                    self._registry.of_service(spec.service),
                    (now_s - record.start_s) / window.median_s,
                    concurrency,
                    now_s,
                )
                window.observe(now_s - record.start_s)
                target.signals.record_success(now_s)
            return reply
        except pool_lib.WithdrawnError:
            outcome = _Outcome.WITHDRAWN
        except pool_lib.ConnectError as error:
            outcome, record.detail = _Outcome.UNREACHABLE, str(error)
        except connection_lib.ResponseLimitError as error:
            outcome, record.detail = _Outcome.OVER_LIMIT, str(error)
        except connection_lib.ConnectionBrokenError as error:
            outcome, record.detail = _Outcome.LOST, str(error)
        except TimeoutError:
            outcome = _Outcome.EXPIRED
        except Exception as error:
            # The other attempts and shards of the request continue.
            outcome, record.detail = _Outcome.LOST, type(error).__name__
            _LOG.error(
                "attempt_error",
                id=spec.request.request_id,
                target=target.entry.target_id,
                exc_info=True,
            )
        finally:
            now_s = time.monotonic()
            record.outcome = outcome
            record.elapsed_s = now_s - record.start_s
            _record_outcome(target, request_number, outcome, now_s)
        return None

    async def _exchange(
        self,
        spec: DeliverySpec,
        target: registry_lib.Target,
        record: messages.AttemptRecord,
    ) -> messages.TargetReply | None:
        pool = target.pool
        connection = await pool.acquire(
            fresh_only=not spec.is_idempotent,
            useful_until_s=spec.useful_until_s,
        )
        try:
            now_s = time.monotonic()
            if not self._registry.may_send(target, record.start_s, now_s):
                raise pool_lib.WithdrawnError
            remaining_s = spec.deadline_s - now_s
            if remaining_s < REMAINING_TIME_MIN_S:
                raise TimeoutError
            request = spec.request
            encoded = self._encode(request, target.entry.target_id, remaining_s)
            record.is_sent = True
            response = await connection.exchange(
                encoded, request.request_id, is_head=request.method == "HEAD"
            )
        finally:
            pool.release(connection)
        reply = self._decode(response)
        self._record_signals(target, reply)
        if reply.kind == _Kind.UNUSABLE:
            record.detail = f"unusable response, status {reply.status}"
        return reply

    def _record_signals(
        self, target: registry_lib.Target, reply: messages.TargetReply
    ) -> None:
        now_s = time.monotonic()
        if reply.is_leaving:
            is_misdirected = reply.kind == _Kind.MISDIRECTED
            announcements.record_leaving(
                self._registry, target, now_s, is_misdirected=is_misdirected
            )
        if reply.retry_after_s is not None:
            announcements.record_backoff(
                self._registry, target, now_s, reply.retry_after_s
            )


def _outcome_of(reply: messages.TargetReply | None) -> messages.AttemptOutcome:
    if reply is None:
        return _Outcome.LOST
    return {
        _Kind.SUCCESS: _Outcome.ANSWERED,
        _Kind.FAILURE: _Outcome.FAILED,
        _Kind.NOT_RUN: _Outcome.NOT_RUN,
        _Kind.MISDIRECTED: _Outcome.MISDIRECTED,
        _Kind.UNUSABLE: _Outcome.LOST,
    }[reply.kind]


def _record_outcome(
    target: registry_lib.Target,
    request_number: int,
    outcome: messages.AttemptOutcome,
    now_s: float,
) -> None:
    health = target.health
    if outcome == _Outcome.ANSWERED:
        health.record_reply(request_number, now_s)
    elif outcome == _Outcome.NOT_RUN:
        health.record_refusal(request_number, now_s, NOT_RUN_EJECTION_S)
    elif outcome == _Outcome.MISDIRECTED:
        health.record_refusal(request_number, now_s, MISDIRECTED_EJECTION_S)
    elif outcome == _Outcome.WITHDRAWN:
        health.record_withdrawal(request_number)
    elif outcome == _Outcome.OVER_LIMIT:
        health.record_violation(request_number, now_s)
    elif outcome in (_Outcome.DROPPED, _Outcome.EXPIRED):
        health.record_abandonment(request_number, now_s)
    else:
        health.record_failure(request_number, now_s)


_Task = asyncio.Task[messages.TargetReply | None]


class Delivery:
    """State of one delivery.

    Only `run` awaits; the other methods are not interrupted by other tasks.
    """

    def __init__(self, deliverer: Deliverer, spec: DeliverySpec) -> None:
        self._deliverer = deliverer
        self._spec = spec
        self._records: list[messages.AttemptRecord] = []
        self._running: dict[_Task, messages.AttemptRecord] = {}
        self._tried_ids: set[str] = set(spec.tried_ids)
        self._failure: messages.TargetReply | None = None
        self._problem = messages.Problem.NO_TARGET
        now_s = time.monotonic()
        self._hedge_s = _hedge_time_s(spec, spec.hedge_delay_s, now_s)
        self._early_hedge_s = _hedge_time_s(
            spec, spec.early_hedge_delay_s, now_s
        )

    async def run(self) -> messages.DeliveryResult:
        """Starts attempts until one succeeds or no further one is allowed.

        The delivery also ends at the deadline. A failure of a target never
        raises an exception. If the task is cancelled, for example because the
        caller has disconnected, all running attempts are cancelled.
        """
        try:
            return await self._run()
        finally:
            self.cancel_running()

    async def _run(self) -> messages.DeliveryResult:
        self._start_attempt(_Cause.FIRST)
        while self._running:
            now_s = time.monotonic()
            if now_s >= self._spec.deadline_s:
                return self._failed_result(messages.Problem.DEADLINE)
            self._hedge_if_due(now_s)
            until_s = min(
                self._spec.deadline_s, self._hedge_s, self._early_hedge_s
            )
            done, _ = await asyncio.wait(
                self._running,
                timeout=max(0.0, until_s - time.monotonic()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                reply = self._process_completed(task)
                if reply is not None:
                    self.detach_running()
                    return messages.DeliveryResult(reply, None, self.snapshot())
        return self._failed_result(self._problem)

    def allow_attempts(self, attempts_max: int) -> None:
        """Raises the number of targets to which the request may be sent."""
        if attempts_max > self._spec.attempts_max:
            self._spec = dataclasses.replace(
                self._spec, attempts_max=attempts_max
            )

    def cancel_running(self) -> None:
        """Cancels all attempts; the targets abort the requests."""
        for task in self._running:
            task.cancel()
        self._running.clear()

    def detach_running(self) -> None:
        """Lets running attempts continue without waiting for them.

        Those that have not been sent are cancelled, so that a busy target does
        not run requests whose replies nobody waits for.
        """
        for task, record in self._running.items():
            if record.is_sent:
                self._deliverer.detach(task)
            else:
                task.cancel()
        self._running.clear()

    def snapshot(self) -> tuple[messages.AttemptRecord, ...]:
        """Returns copies of all attempts with up-to-date elapsed times."""
        now_s = time.monotonic()
        return tuple(
            dataclasses.replace(record, elapsed_s=now_s - record.start_s)
            if record.outcome == _Outcome.RUNNING
            else dataclasses.replace(record)
            for record in self._records
        )

    def _failed_result(
        self, problem: messages.Problem
    ) -> messages.DeliveryResult:
        return messages.DeliveryResult(self._failure, problem, self.snapshot())

    def _start_attempt(self, cause: messages.AttemptCause) -> bool:
        now_s = time.monotonic()
        target = self._deliverer.choose_target(
            self._spec,
            self._tried_ids,
            now_s,
            with_last_resort=cause != _Cause.HEDGE,
        )
        if target is None:
            return False
        target_id = target.entry.target_id
        record = messages.AttemptRecord(target_id, cause, now_s)
        self._tried_ids.add(target_id)
        self._records.append(record)
        task = asyncio.create_task(
            self._deliverer.attempt(self._spec, target, record)
        )
        self._running[task] = record
        return True

    def _process_completed(self, task: _Task) -> messages.TargetReply | None:
        record = self._running.pop(task)
        reply = task.result()
        if record.outcome == _Outcome.ANSWERED:
            return reply
        self._problem = _PROBLEMS[record.outcome]
        if record.outcome == _Outcome.FAILED:
            self._failure = reply
        if record.outcome == _Outcome.WITHDRAWN:
            # The target may be the only one left, or have a new start.
            self._tried_ids.discard(record.target_id)
        if self._may_retry(record):
            self._start_attempt(_Cause.RETRY)
        return None

    def _may_retry(self, record: messages.AttemptRecord) -> bool:
        if record.may_have_run and not self._spec.is_idempotent:
            return False
        if not self._may_send_again():
            return False
        if record.outcome in _UNSENT:
            # The target did not receive the request, so sending it to another
            # one does not repeat it and takes no token.
            return True
        return self._deliverer.take_token(self._spec, for_hedge=False)

    def _may_send_again(self) -> bool:
        if self._spec.deadline_s - time.monotonic() < REMAINING_TIME_MIN_S:
            return False
        unreachable = sum(r.outcome in _UNSENT for r in self._records)
        sent = len(self._records) - unreachable
        return (
            sent < self._spec.attempts_max
            and unreachable < UNREACHABLE_ATTEMPTS_MAX
        )

    def _hedge_if_due(self, now_s: float) -> None:
        is_early = now_s >= self._early_hedge_s
        if is_early:
            self._early_hedge_s = _NEVER_S
        if now_s >= self._hedge_s or (
            is_early and self._deliverer.may_hedge_early(self._spec)
        ):
            self._hedge_s = self._early_hedge_s = _NEVER_S
            self._hedge()

    def _hedge(self) -> None:
        if not self._spec.is_idempotent or not self._may_send_again():
            return
        if self._deliverer.take_token(self._spec, for_hedge=True):
            self._start_attempt(_Cause.HEDGE)


_UNSENT = frozenset({_Outcome.UNREACHABLE, _Outcome.WITHDRAWN})

_PROBLEMS = {
    _Outcome.FAILED: messages.Problem.TARGET_FAILED,
    _Outcome.NOT_RUN: messages.Problem.REFUSED,
    _Outcome.MISDIRECTED: messages.Problem.REFUSED,
    _Outcome.UNREACHABLE: messages.Problem.UNREACHABLE,
    _Outcome.WITHDRAWN: messages.Problem.NO_TARGET,
    _Outcome.LOST: messages.Problem.CONNECTION_LOST,
    _Outcome.OVER_LIMIT: messages.Problem.CONNECTION_LOST,
    _Outcome.EXPIRED: messages.Problem.DEADLINE,
    _Outcome.DROPPED: messages.Problem.DEADLINE,
}


def _hedge_time_s(
    spec: DeliverySpec, delay_s: float | None, now_s: float
) -> float:
    if delay_s is None or not spec.is_idempotent:
        return _NEVER_S
    return now_s + delay_s
