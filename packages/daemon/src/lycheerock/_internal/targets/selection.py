"""Chooses the target of a request."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum

from lycheerock._internal.targets import health as health_lib

# Bytes between zones and regions are paid for: a farther target is taken only
# when the nearer one is slower by more than this factor.
ZONE_FACTOR = 1.15
REGION_FACTOR = 1.25

# A target that has just started works slowly.
WARMUP_FACTOR = 1.6

# A request that is this many times older than usual shows that the target has
# stopped for the moment.
STALL_RATIO = 2.5
STALL_FACTOR = 3.0

# Expected cost of a failure, in units of the usual latency: another attempt.
FAILURE_COST = 6.0


class Distance(enum.IntEnum):
    """How far a target is from this instance."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


_FACTORS = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: ZONE_FACTOR,
    Distance.OTHER_REGION: REGION_FACTOR,
}

# Slowness that a target is expected to have before its first reply.
EXPECTED_SLOWNESS = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 1.2,
    Distance.OTHER_REGION: 2.0,
}


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A target that may be chosen.

    Attributes:
      target_id: The target.
      health: What was seen of it.
      distance: How far it is.
      slot_count: Requests that it runs at the same time.
      is_warming: Whether it has just started.
    """

    target_id: str
    health: health_lib.TargetHealth
    distance: Distance
    slot_count: int
    is_warming: bool


def cost(candidate: Candidate, now_s: float) -> float:
    """Returns the expected latency of a target, weighted by its price.

    Args:
      candidate: The target.
      now_s: Monotonic time.

    Returns:
      A multiple of the service's usual latency; less is better.
    """
    health = candidate.health
    expected = health.slowness(now_s)
    if candidate.is_warming:
        expected *= WARMUP_FACTOR
    overdue = health.overdue_ratio(now_s)
    if overdue > STALL_RATIO:
        expected = max(expected, overdue) * STALL_FACTOR
    expected *= 1.0 + health.in_flight / candidate.slot_count
    expected += FAILURE_COST * health.failure_ratio(now_s)
    return expected * _FACTORS[candidate.distance]


def rank(
    candidates: Iterable[Candidate], now_s: float, count: int
) -> list[str]:
    """Returns the targets that would be asked first, in order.

    Args:
      candidates: Targets of the service.
      now_s: Monotonic time.
      count: How many to return.
    """
    sound = [c for c in candidates if c.health.ejected_until_s <= now_s]
    sound.sort(key=lambda c: cost(c, now_s))
    return [c.target_id for c in sound[:count]]


def select(
    candidates: Iterable[Candidate],
    now_s: float,
    tried_ids: Collection[str] = (),
) -> str | None:
    """Returns the target to send to, or None if there is none.

    Targets that fail in a row are left out unless no other is left: then the
    one whose pause ends first is tried, since a request without any target
    would fail for certain.

    Args:
      candidates: Targets of the service.
      now_s: Monotonic time.
      tried_ids: Targets that this request was sent to.
    """
    left = [c for c in candidates if c.target_id not in tried_ids]
    if not left:
        return None
    sound = [c for c in left if c.health.ejected_until_s <= now_s]
    if not sound:
        return min(left, key=lambda c: c.health.ejected_until_s).target_id
    return min(sound, key=lambda c: cost(c, now_s)).target_id
