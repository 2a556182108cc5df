"""Learns how many concurrent requests a target handles well.

The estimate uses only latencies that this instance has observed. It compares
the latency at high concurrency with that at low concurrency of the same target,
so that a target that is slow at any concurrency keeps its capacity.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

# Requests above this share of the estimate show how the target copes with it;
# those below show its latency without waiting.
HIGH_SHARE = 0.6

# Shortest time and smallest number of high-concurrency replies for one
# decision. Noisy periods of 600 ms and pauses of 300 ms are less than half of
# it, so the median is not affected by a single one.
EVIDENCE_S = 1.5
EVIDENCE_COUNT = 8

# Shortest time between two replies that are kept for one decision, which bounds
# their number and keeps the many replies after a pause from dominating.
SAMPLE_INTERVAL_S = 0.025

# The estimate falls if the median latency at high concurrency is this multiple
# of that at low concurrency, and grows below the second one. Between them it
# stays, which prevents oscillation.
FALL_RATIO = 1.6
GROW_RATIO = 1.25
# Below this ratio the two latencies stem from different periods.
COMPARABLE_RATIO = 0.7
FALL_FACTOR = 0.85
GROWTH_STEP = 0.5

# Weight of the newest reply in the average latency at low concurrency.
BASE_WEIGHT = 0.1

# Upper bound of a sample, as a multiple of the median latency of the route.
SAMPLE_MAX_RATIO = 6.0

# An estimate without evidence returns to the stated number of slots by half of
# the difference in this time, after a wait of EVIDENCE_LIFETIME_S.
RETURN_HALF_LIFE_S = 10.0
EVIDENCE_LIFETIME_S = 5.0

CAPACITY_MIN = 1.0


def is_learned(
    *,
    is_set: bool,
    has_workspaces: bool,
    connection_limit: int,
    instance_count: int,
) -> bool:
    """Returns whether capacities of a service's targets are to be learned.

    Args:
      is_set: The setting `learn_target_capacity`.
      has_workspaces: Whether the configuration has workspaces.
      connection_limit: Number of connections that a target of the service
        accepts; 0 if the configuration states none.
      instance_count: Number of registered instances.
    """
    return is_set or has_workspaces or 0 < connection_limit < instance_count


def pinned(
    pins: Mapping[str, float], target_id: str, service: str
) -> float | None:
    """Returns the capacity that an operator has set, or None.

    Args:
      pins: Capacities by target id or service.
      target_id: Id of the target, which takes precedence.
      service: Its service.
    """
    return pins.get(target_id, pins.get(service))


def median(values: Iterable[float]) -> float:
    """Returns the upper median of at least one value.

    The module `statistics` is not imported, because its imports would lengthen
    the start of a gateway.
    """
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


class CapacityEstimate:
    """Number of concurrent requests that one target handles well.

    Attributes:
      growth: Median latency at high concurrency at the last decision, as a
        multiple of that at low concurrency.
      evidence_span_s: Time over which the replies of that decision arrived.
    """

    def __init__(self, slot_count: int, connection_limit: int) -> None:
        """Starts at the stated number of slots.

        Args:
          slot_count: Number of slots that the target states.
          connection_limit: Maximum number of connections to it.
        """
        self._limit = max(CAPACITY_MIN, float(connection_limit))
        self._prior = min(self._limit, max(CAPACITY_MIN, float(slot_count)))
        self._value = self._prior
        self._base_ratio = 1.0
        self._samples: list[float] = []
        self._full_count = 0
        self._samples_start_s = 0.0
        self._sampled_s = 0.0
        self._evidence_s: float | None = None
        # Inputs of the last decision, for the log.
        self.growth = 1.0
        self.evidence_span_s = 0.0

    def set_limits(self, slot_count: int, connection_limit: int) -> None:
        """Changes the bounds; the estimate is moved into them."""
        self._limit = max(CAPACITY_MIN, float(connection_limit))
        self._prior = min(self._limit, max(CAPACITY_MIN, float(slot_count)))
        self._value = min(self._value, self._limit)

    def value(self, now_s: float) -> float:
        """Returns the estimate, which returns to the slots without evidence."""
        if self._evidence_s is None:
            return self._value
        idle_s = now_s - self._evidence_s - EVIDENCE_LIFETIME_S
        if idle_s <= 0.0:
            return self._value
        kept = math.pow(0.5, idle_s / RETURN_HALF_LIFE_S)
        return self._prior + (self._value - self._prior) * kept

    def evidence_age_s(self, now_s: float) -> float | None:
        """Returns the time since the last decision, or None without one."""
        return None if self._evidence_s is None else now_s - self._evidence_s

    @property
    def base_ratio(self) -> float:
        """Latency at low concurrency as a multiple of the route's median."""
        return self._base_ratio

    def observe(
        self,
        now_s: float,
        latency_ratio: float,
        peer_ratio: float,
        concurrency: int,
    ) -> bool:
        """Records the latency of a reply.

        Args:
          now_s: Current monotonic time.
          latency_ratio: Latency as a multiple of the median of the route.
          peer_ratio: Recent latency of the other targets of the service as a
            multiple of their medians; removes what slows down all targets.
          concurrency: Requests of this instance at the target when the request
            was sent, including this one.

        Returns:
          Whether the estimate has changed.
        """
        ratio = min(SAMPLE_MAX_RATIO, latency_ratio / max(1.0, peer_ratio))
        if concurrency <= HIGH_SHARE * self.value(now_s):
            self._base_ratio += BASE_WEIGHT * (ratio - self._base_ratio)
            return False
        if self._samples and now_s - self._samples_start_s > max(
            EVIDENCE_LIFETIME_S, 2.0 * EVIDENCE_S
        ):
            self._samples.clear()
        if not self._samples:
            self._samples_start_s = now_s
            self._full_count = 0
        elif now_s - self._sampled_s < SAMPLE_INTERVAL_S:
            return False
        self._sampled_s = now_s
        self._samples.append(ratio)
        self._full_count += concurrency >= self.value(now_s)
        is_complete = (
            len(self._samples) >= EVIDENCE_COUNT
            and now_s - self._samples_start_s >= EVIDENCE_S
        )
        return is_complete and self._decide(now_s)

    def _decide(self, now_s: float) -> bool:
        self.evidence_span_s = now_s - self._samples_start_s
        self.growth = growth = median(self._samples) / max(
            0.1, self._base_ratio
        )
        is_full = 2 * self._full_count >= len(self._samples)
        self._samples.clear()
        before = self.value(now_s)
        # Replies at lower concurrency do not show that the target could handle
        # more than it states.
        highest = self._limit if is_full else max(before, self._prior)
        changed = before
        if growth > FALL_RATIO:
            changed = max(CAPACITY_MIN, before * FALL_FACTOR)
        elif COMPARABLE_RATIO <= growth < GROW_RATIO:
            changed = min(highest, before + GROWTH_STEP)
        self._value = changed
        self._evidence_s = now_s
        return changed != before
