"""One log line and the counts for each request that has ended."""

import collections
import dataclasses
import time

from hdrh import histogram
import structlog

from lycheerock._internal.gateway import messages
from lycheerock._internal.operator import metrics as metrics_lib

_LOG = structlog.get_logger()

# Lines a second of requests that were served and of others. A line costs some
# tens of microseconds, so this bounds logging to about one percent of a core.
SERVED_LINES_MAX_PER_S = 60
OTHER_LINES_MAX_PER_S = 120

_SERVED = frozenset({"answered", "complete"})


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """What is known of a request when it ends.

    Attributes:
      request_id: The caller's id of the attempt.
      arrival_s: Monotonic time of the arrival.
      configuration_version: Version that decided the route.
      route: Name of the route.
      time_left_s: Time that the caller still waited.
      passed_s: Time that it had waited before.
      missing_count: Shards that the answer lacks.
      deliveries: Attempts by service.
      reason: Why it was refused.
    """

    request_id: str
    arrival_s: float
    configuration_version: int | None = None
    route: str = ""
    time_left_s: float | None = None
    passed_s: float = 0.0
    missing_count: int = 0
    deliveries: dict[str, tuple[messages.AttemptRecord, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    reason: str = ""


class RequestLog:
    """Writes a bounded number of lines and counts every request."""

    def __init__(self) -> None:
        self._second = 0
        self._written = collections.Counter[bool]()
        self._left_out = collections.Counter[str]()
        self.outcomes = collections.Counter[tuple[str, str, int]]()
        self.attempts = collections.Counter[tuple[str, str]]()
        self.latencies: dict[str, histogram.HdrHistogram] = {}
        self.latency_sums_s = collections.defaultdict[str, float](float)

    def write(self, entry: Entry, status: int, outcome: str) -> None:
        """Counts a request and logs it unless too many were logged.

        Args:
          entry: The request.
          status: HTTP status, 0 if there was no answer.
          outcome: How it ended.
        """
        now_s = time.monotonic()
        self._count(entry, status, outcome, now_s)
        if int(now_s) != self._second:
            self._start_second(int(now_s))
        is_served = outcome in _SERVED
        limit = SERVED_LINES_MAX_PER_S if is_served else OTHER_LINES_MAX_PER_S
        if self._written[is_served] >= limit:
            self._left_out[outcome] += 1
            return
        self._written[is_served] += 1
        _LOG.info(
            "request",
            id=entry.request_id,
            route=entry.route,
            configuration=entry.configuration_version,
            outcome=outcome,
            status=status,
            reason=entry.reason,
            elapsed_ms=_to_ms(now_s - entry.arrival_s),
            passed_ms=_to_ms(entry.passed_s),
            time_left_ms=_to_ms(entry.time_left_s),
            missing=entry.missing_count,
            attempts=_describe(entry),
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
                self.attempts[(record.cause, record.end)] += 1

    def _start_second(self, second: int) -> None:
        self._second = second
        self._written.clear()
        if self._left_out:
            _LOG.info("request_lines_left_out", counts=dict(self._left_out))
            self._left_out.clear()


def _describe(entry: Entry) -> list[str]:
    """Describes the attempts that decided the outcome.

    Of a search only shards that needed more than one attempt, or have no part,
    are shown, since the others decided nothing.
    """
    shown = []
    for service, records in entry.deliveries.items():
        if len(entry.deliveries) > 1 and [r.end for r in records] == [
            messages.AttemptEnd.ANSWERED
        ]:
            continue
        texts = [_describe_attempt(record, entry) for record in records]
        shown.append(f"{service}: {', '.join(texts) or 'no target'}")
    return shown


def _describe_attempt(record: messages.AttemptRecord, entry: Entry) -> str:
    offset_ms = _to_ms(record.start_s - entry.arrival_s)
    text = (
        f"{record.cause} {record.target_id} +{offset_ms} "
        f"{record.end} {_to_ms(record.elapsed_s)}"
    )
    return f"{text} ({record.detail})" if record.detail else text


def _to_ms(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s * 1000, 1)
