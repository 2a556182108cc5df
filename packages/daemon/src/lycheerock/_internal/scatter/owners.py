"""What an instance has observed about the owners that it asks."""

import collections
from collections.abc import Callable
from collections.abc import Container
import dataclasses
import math
from typing import Any

import structlog

_LOG = structlog.get_logger()

# Time for which an owner is not asked after it has failed. It doubles with each
# failure in a row; the first query afterwards is the probe.
BACKOFF_FIRST_S = 0.4
BACKOFF_MAX_S = 8.0

# Time without a failure after which earlier ones no longer count.
FAILURE_DECAY_S = 30.0

# Weight of the newest overhead in its moving average.
OVERHEAD_WEIGHT = 0.2

# An owner whose average overhead is above this fraction of the objective is
# avoided as long as there is another one.
SLOW_OBJECTIVE_RATIO = 0.2

# Time in which the overhead of an owner that is not asked falls by half, so
# that it is asked again.
OVERHEAD_HALF_LIFE_S = 4.0

# Time for which an owner that has refused a query is not asked.
REFUSAL_PAUSE_S = 0.1

# Maximum number of log lines per second about single owners.
LOG_LINES_MAX_PER_S = 5

_FAILURES = frozenset({"timed_out", "lost"})


@dataclasses.dataclass
class OwnerEvidence:
    """Failures and latency of one owner.

    Attributes:
      failures: Failures in a row.
      failed_s: Monotonic time of the last failure.
      avoided_until_s: Monotonic time until which the owner is not asked.
      overhead_s: Moving average of the time that parts take longer than the
        owner's requests to targets.
      measured_s: Monotonic time of the last measurement.
    """

    failures: int = 0
    failed_s: float = 0.0
    avoided_until_s: float = 0.0
    overhead_s: float = 0.0
    measured_s: float = 0.0

    def record_failure(self, now_s: float) -> float:
        """Records a failure and returns how long the owner is avoided."""
        if now_s - self.failed_s >= FAILURE_DECAY_S:
            self.failures = 0
        if now_s < self.avoided_until_s:
            # Queries that were sent together fail together.
            return self.avoided_until_s - now_s
        backoff_s = min(
            BACKOFF_MAX_S, BACKOFF_FIRST_S * math.pow(2.0, self.failures)
        )
        self.failures = min(self.failures + 1, 16)
        self.failed_s = now_s
        self.avoided_until_s = now_s + backoff_s
        return backoff_s

    def record_refusal(self, now_s: float, pause_s: float) -> None:
        """Records that the owner refused work because it is overloaded."""
        self.avoided_until_s = max(self.avoided_until_s, now_s + pause_s)

    def record_parts(self, overhead_s: float, now_s: float) -> None:
        """Records the arrival of parts."""
        if now_s >= self.avoided_until_s:
            self.failures = 0
        known_s = self.current_overhead_s(now_s)
        self.overhead_s = known_s + OVERHEAD_WEIGHT * (
            max(0.0, overhead_s) - known_s
        )
        self.measured_s = now_s

    def current_overhead_s(self, now_s: float) -> float:
        """Returns the average overhead, which decays without measurements."""
        age_s = max(0.0, now_s - self.measured_s)
        return self.overhead_s * math.pow(0.5, age_s / OVERHEAD_HALF_LIFE_S)

    def is_avoided(self, now_s: float) -> bool:
        """Whether the owner must not be asked now."""
        return now_s < self.avoided_until_s

    def is_slow(self, objective_s: float, now_s: float) -> bool:
        """Whether another owner is preferred for this objective."""
        limit_s = SLOW_OBJECTIVE_RATIO * objective_s
        return self.current_overhead_s(now_s) > limit_s


class Owners:
    """Selects the owner to ask and keeps the evidence about each.

    Attributes:
      counts: Number of parts and failures by event, for metrics.
    """

    def __init__(self, own_address: str, is_up: Callable[[str], bool]) -> None:
        self._own_address = own_address
        self._is_up = is_up
        self._evidence: dict[str, OwnerEvidence] = {}
        self._log_second = 0
        self._log_count = 0
        self.counts: collections.Counter[str] = collections.Counter()

    def next(
        self,
        order: tuple[str, ...],
        objective_s: float,
        asked: frozenset[str],
        now_s: float,
    ) -> str | None:
        """Returns the instance to ask, or None if there is none.

        Args:
          order: Feed addresses, the owner first. The own address is returned if
            it precedes all that can be asked.
          objective_s: Time to the objective.
          asked: Instances that were already asked.
          now_s: Current monotonic time.
        """
        slow: str | None = None
        for address in self._reachable(order, asked):
            if address == self._own_address:
                return address
            known = self._evidence.get(address)
            if known is not None and known.is_avoided(now_s):
                continue
            if known is None or not known.is_slow(objective_s, now_s):
                return address
            slow = slow or address
        return slow

    def least_avoided(
        self, order: tuple[str, ...], asked: frozenset[str]
    ) -> str | None:
        """Returns the instance to ask if this one can query no target itself.

        Args:
          order: As in `next`.
          asked: As in `next`.
        """
        return min(
            (
                a
                for a in self._reachable(order, asked)
                if a != self._own_address
            ),
            key=self._avoided_until_s,
            default=None,
        )

    def _reachable(
        self, order: tuple[str, ...], asked: frozenset[str]
    ) -> list[str]:
        return [
            address
            for address in order
            if address not in asked
            and (address == self._own_address or self._is_up(address))
        ]

    def _avoided_until_s(self, address: str) -> float:
        known = self._evidence.get(address)
        return 0.0 if known is None else known.avoided_until_s

    def record(
        self, owner: str, event: str, overhead_s: float, now_s: float
    ) -> None:
        """Records a part or a failure.

        Args:
          owner: Feed address of the owner.
          event: "part", "timed_out", "lost", "refused", "shard_failed" or
            "not_sent".
          overhead_s: Overhead of a part, or 0.
          now_s: Current monotonic time.
        """
        self.counts[event] += 1
        known = self._evidence.setdefault(owner, OwnerEvidence())
        if event == "part":
            known.record_parts(overhead_s, now_s)
            return
        if event == "shard_failed":
            # The target has failed, which the owner's log explains.
            return
        avoided_s = 0.0
        if event in _FAILURES:
            avoided_s = known.record_failure(now_s)
        elif event == "refused":
            avoided_s = REFUSAL_PAUSE_S
            known.record_refusal(now_s, avoided_s)
        if int(now_s) != self._log_second:
            self._log_second, self._log_count = int(now_s), 0
        self._log_count += 1
        if self._log_count <= LOG_LINES_MAX_PER_S:
            _LOG.info(
                "search_owner_failed",
                owner=owner,
                outcome=event,
                failures=known.failures,
                overhead_ms=_to_ms(known.current_overhead_s(now_s)),
                avoided_ms=_to_ms(avoided_s),
            )

    def retain(self, addresses: Container[str]) -> None:
        """Drops the evidence about instances that are not in `addresses`."""
        for address in [a for a in self._evidence if a not in addresses]:
            del self._evidence[address]

    def overhead_max_s(self, now_s: float) -> float:
        """Returns the highest average overhead, for metrics."""
        overheads_s = [
            known.current_overhead_s(now_s) for known in self._evidence.values()
        ]
        return max(overheads_s, default=0.0)

    def dump(self, now_s: float) -> dict[str, Any]:
        """Returns the state as JSON-compatible values."""
        return {
            address: {
                "overhead_ms": _to_ms(known.current_overhead_s(now_s)),
                "failures": known.failures,
                "avoided_ms": max(0.0, _to_ms(known.avoided_until_s - now_s)),
            }
            for address, known in self._evidence.items()
        }


def _to_ms(duration_s: float) -> float:
    return round(duration_s * 1000, 1)
