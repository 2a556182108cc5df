"""Selects the target of a request."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum

from lycheerock._internal.targets import health as health_lib

# Traffic between zones and regions is billed: a more distant target is selected
# only if the nearer one is slower by more than this factor.
ZONE_FACTOR = 1.15
REGION_FACTOR = 1.25

# A target is slower than usual just after its start.
WARMUP_FACTOR = 1.6

# A request that is pending for more than STALL_RATIO times the median latency
# indicates that the target is stalled, which raises its cost by STALL_FACTOR.
STALL_RATIO = 2.5
STALL_FACTOR = 3.0

# Expected cost of a failure, as a multiple of the median latency: the failed
# request has to be sent to another target.
FAILURE_COST = 6.0


class Distance(enum.IntEnum):
    """Network distance between this instance and a target."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


_DISTANCE_FACTORS = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: ZONE_FACTOR,
    Distance.OTHER_REGION: REGION_FACTOR,
}

# Slowness assumed for a target that has not replied yet or not for some time.
EXPECTED_SLOWNESS = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 1.2,
    Distance.OTHER_REGION: 2.0,
}


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A target that may be selected.

    Attributes:
      target_id: Id of the target.
      health: Latency, failures and pending requests of the target.
      distance: Network distance to the target.
      slot_count: Number of requests that the target processes concurrently.
      is_warming: Whether the target is still in its warm-up time.
    """

    target_id: str
    health: health_lib.TargetHealth
    distance: Distance
    slot_count: int
    is_warming: bool


def cost(candidate: Candidate, now_s: float) -> float:
    """Returns the expected latency of a target, weighted by its distance.

    Args:
      candidate: The target.
      now_s: Current monotonic time.

    Returns:
      A multiple of the service's median latency; lower is better.
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
    return expected * _DISTANCE_FACTORS[candidate.distance]


def rank(
    candidates: Iterable[Candidate], now_s: float, count: int
) -> list[str]:
    """Returns the ids of the cheapest targets that are not ejected.

    Args:
      candidates: Targets of the service.
      now_s: Current monotonic time.
      count: Maximum number of targets to return.

    Returns:
      Target ids, lowest cost first.
    """
    healthy = [c for c in candidates if c.health.ejected_until_s <= now_s]
    healthy.sort(key=lambda c: cost(c, now_s))
    return [c.target_id for c in healthy[:count]]


def select(
    candidates: Iterable[Candidate],
    now_s: float,
    tried_ids: Collection[str] = (),
) -> str | None:
    """Returns the id of the target to send a request to.

    Ejected targets are skipped. If all untried targets are ejected, the one
    whose ejection ends first is returned, because the request would certainly
    fail without a target. The result is None if all targets were tried.

    Args:
      candidates: Targets of the service.
      now_s: Current monotonic time.
      tried_ids: Targets to which this request was already sent.
    """
    untried = [c for c in candidates if c.target_id not in tried_ids]
    if not untried:
        return None
    healthy = [c for c in untried if c.health.ejected_until_s <= now_s]
    if not healthy:
        return min(untried, key=lambda c: c.health.ejected_until_s).target_id
    return min(healthy, key=lambda c: cost(c, now_s)).target_id
