"""Rate-limited log lines and counters for completed requests."""

import collections
import dataclasses
import time

from hdrh import histogram
import structlog

from lycheerock._internal.gateway import messages
from lycheerock._internal.operator import metrics as metrics_lib

_LOG = structlog.get_logger()

# Maximum lines per second for served requests and for all others. A line costs
# some tens of microseconds, so this limits logging to about one percent of a
# core.
SERVED_LINES_MAX_PER_S = 60
OTHER_LINES_MAX_PER_S = 120

_SERVED_OUTCOMES = frozenset({"answered", "complete"})


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """Data about one request, complete when the request ends.

    Attributes:
      request_id: Id that the caller assigned to this request or retry.
      arrival_s: Monotonic time of the arrival.
      configuration_version: Version of the configuration that routed it.
      route: Name of the route.
      workspace: Name of the workspace, or an empty string.
      time_left_s: Time until the caller's deadline, measured at the arrival.
      prior_wait_s: Time that the caller had waited before the arrival.
      missing_count: Number of shards that are missing from the response.
      deliveries: Attempts by service.
      reason: Reason for a refusal, or an empty string.
      was_passed_on: Whether a target may have got the request.
    """

    request_id: str
    arrival_s: float
    configuration_version: int | None = None
    route: str = ""
    workspace: str = ""
    time_left_s: float | None = None
    prior_wait_s: float = 0.0
    missing_count: int = 0
    deliveries: dict[str, tuple[messages.AttemptRecord, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    reason: str = ""
    was_passed_on: bool = False


class RequestLog:
    """Counts every request and logs a limited number of lines per second."""

    def __init__(self) -> None:
        self._second = 0
        self._logged_counts = collections.Counter[bool]()
        self._suppressed = collections.Counter[str]()
        self.outcomes = collections.Counter[tuple[str, str, int]]()
        self.attempts = collections.Counter[tuple[str, str]]()
        self.latencies: dict[str, histogram.HdrHistogram] = {}
        self.latency_sums_s = collections.defaultdict[str, float](float)

    def write(self, entry: Entry, status: int, outcome: str) -> None:
        """Counts a request and logs it unless the line limit is reached.

        Args:
          entry: The request.
          status: HTTP status, or 0 if no response was sent.
          outcome: Outcome of the request.
        """
        now_s = time.monotonic()
        self._count(entry, status, outcome, now_s)
        if int(now_s) != self._second:
            self._start_second(int(now_s))
        is_served = outcome in _SERVED_OUTCOMES
        limit = SERVED_LINES_MAX_PER_S if is_served else OTHER_LINES_MAX_PER_S
        if self._logged_counts[is_served] >= limit:
            self._suppressed[outcome] += 1
            return
        self._logged_counts[is_served] += 1
        _LOG.info(
            "request",
            id=entry.request_id,
            route=entry.route,
            workspace=entry.workspace,
            configuration=entry.configuration_version,
            outcome=outcome,
            status=status,
            reason=entry.reason,
            elapsed_ms=_to_ms(now_s - entry.arrival_s),
            passed_ms=_to_ms(entry.prior_wait_s),
            time_left_ms=_to_ms(entry.time_left_s),
            missing=entry.missing_count,
            attempts=describe(entry),
        )

    def _count(
        self, entry: Entry, status: int, outcome: str, now_s: float
    ) -> None:
        self.outcomes[(entry.route, outcome, status)] += 1
        latency = self.latencies.get(entry.route)
        if latency is None:
            latency = self.latencies[entry.route] = metrics_lib.new_histogram()
        self.latency_sums_s[entry.route] += now_s - entry.arrival_s
        elapsed_us = round((now_s - entry.arrival_s) * 1_000_000)
        latency.record_value(
            min(max(1, elapsed_us), metrics_lib.LATENCY_MAX_US)
        )
        for records in entry.deliveries.values():
            for record in records:
                self.attempts[(record.cause, record.outcome)] += 1

    def _start_second(self, second: int) -> None:
        self._second = second
        self._logged_counts.clear()
        if self._suppressed:
            _LOG.info("request_lines_left_out", counts=dict(self._suppressed))
            self._suppressed.clear()


def describe(entry: Entry) -> list[str]:
    """Describes the attempts that may explain the outcome.

    Shards of a search that needed only one, successful attempt are omitted,
    since they explain neither a failure nor a missing shard.

    Args:
      entry: The request.

    Returns:
      One text for each service.
    """
    descriptions = []
    for service, records in entry.deliveries.items():
        if len(entry.deliveries) > 1 and [r.outcome for r in records] == [
            messages.AttemptOutcome.ANSWERED
        ]:
            continue
        texts = [_describe_attempt(record, entry) for record in records]
        descriptions.append(f"{service}: {', '.join(texts) or 'no target'}")
    return descriptions


def _describe_attempt(record: messages.AttemptRecord, entry: Entry) -> str:
    """Describes an attempt, such as "first a +0.2 lost 35.1 (reset)".

    The parts are its cause, its target, its start in milliseconds after the
    arrival of the request, its outcome (see `messages.AttemptOutcome`), its
    duration in milliseconds and, if there are any, details. An attempt that has
    not been sent yet is `waiting` for a connection.
    """
    offset_ms = _to_ms(record.start_s - entry.arrival_s)
    is_waiting = (
        record.outcome == messages.AttemptOutcome.RUNNING and not record.is_sent
    )
    outcome = "waiting" if is_waiting else record.outcome
    text = (
        f"{record.cause} {record.target_id} +{offset_ms} "
        f"{outcome} {_to_ms(record.elapsed_s)}"
    )
    return f"{text} ({record.detail})" if record.detail else text


def _to_ms(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s * 1000, 1)
