"""Selects the target of a request."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum
import hashlib
import math

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

# Targets whose cost is at most this multiple of the lowest one are near-equal.
# With 1.25, the uneven shares that hashing gives 24 instances overload a target
# at a high load (docs/design/target-capacity.md).
NEAR_EQUAL_RATIO = 1.1

# Part of the time until a hedge within which a near target has to be expected
# to reply, so that it is used although a distant one would be faster.
HEDGE_DELAY_USED_RATIO = 0.8
# Largest expected latency, as a multiple of the median, that is accepted for a
# near target. A slower one is overloaded or faulty, whatever the objective.
TOLERATED_RATIO_MAX = 2.0
# Failure ratio from which on a near target is no longer preferred.
TOLERATED_FAILURE_RATIO = 0.1

# Smallest spare capacity, so that a full target keeps a weight.
SPARE_MIN = 0.25

# A checksum such as CRC-32 would not do: it is linear, so the scores of two
# targets would be related.
_HASH_RANGE = 2.0**64


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
      capacity: Number of requests that it handles well concurrently, if this is
        learned or set by an operator.
    """

    target_id: str
    health: health_lib.TargetHealth
    distance: Distance
    slot_count: int
    is_warming: bool
    capacity: float | None = None


def cost(candidate: Candidate, now_s: float) -> float:
    """Returns the expected latency of a target, weighted by its distance.

    Args:
      candidate: The target.
      now_s: Current monotonic time.

    Returns:
      A multiple of the service's median latency; lower is better.
    """
    factor = _DISTANCE_FACTORS[candidate.distance]
    return expected_latency(candidate, now_s) * factor


def expected_latency(candidate: Candidate, now_s: float) -> float:
    """Returns the expected latency of a target, including that of retries.

    Args:
      candidate: The target.
      now_s: Current monotonic time.

    Returns:
      A multiple of the service's median latency.
    """
    health = candidate.health
    room = candidate.capacity or candidate.slot_count
    expected = health.slowness(now_s)
    if candidate.is_warming:
        expected *= WARMUP_FACTOR
    overdue = health.overdue_ratio(now_s)
    if overdue > STALL_RATIO:
        expected = max(expected, overdue) * STALL_FACTOR
    expected *= 1.0 + health.in_flight / room
    return expected + FAILURE_COST * health.failure_ratio(now_s)


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


def tolerated_ratio(hedge_delay_s: float, median_s: float) -> float:
    """Returns the expected latency up to which a near target is preferred.

    Args:
      hedge_delay_s: Time after which the request is hedged.
      median_s: Median latency of such requests.

    Returns:
      A multiple of the median latency.
    """
    return min(
        TOLERATED_RATIO_MAX, HEDGE_DELAY_USED_RATIO * hedge_delay_s / median_s
    )


def select_by_capacity(
    candidates: Iterable[Candidate],
    now_s: float,
    tried_ids: Collection[str],
    near_ratio: float,
    instance_id: str,
) -> str | None:
    """Returns the id of the target to send a request to.

    Among targets of nearly equal cost, each instance prefers one by weighted
    rendezvous hashing: over all instances each target gets a share in
    proportion to its weight, and one instance stays with the same target as
    long as the weights do, so that its connections stay warm.

    Args:
      candidates: Targets of the service.
      now_s: Current monotonic time.
      tried_ids: Targets to which this request was already sent.
      near_ratio: Expected latency up to which the nearest targets are
        preferred; see `tolerated_ratio`.
      instance_id: Name of this instance.
    """
    untried = [c for c in candidates if c.target_id not in tried_ids]
    healthy = [c for c in untried if c.health.ejected_until_s <= now_s]
    if not healthy:
        return select(untried, now_s)
    nearest = min(c.distance for c in healthy)
    group = [
        c
        for c in healthy
        if c.distance == nearest and _is_good(c, now_s, near_ratio)
    ]
    if not group:
        costs = [(cost(c, now_s), c) for c in healthy]
        lowest, cheapest = min(costs, key=lambda pair: pair[0])
        group = [
            c
            for cost, c in costs
            if cost <= NEAR_EQUAL_RATIO * lowest
            and c.distance <= cheapest.distance
        ]
    if len(group) == 1:
        return group[0].target_id
    return max(group, key=lambda c: _score(c, now_s, instance_id)).target_id


def rank_by_capacity(
    candidates: Collection[Candidate],
    now_s: float,
    count: int,
    instance_id: str,
) -> list[str]:
    """Returns the ids of the targets that are chosen one after another.

    Args:
      candidates: Targets of the service.
      now_s: Current monotonic time.
      count: Maximum number of targets to return.
      instance_id: Name of this instance.
    """
    healthy = [c for c in candidates if c.health.ejected_until_s <= now_s]
    ranked: list[str] = []
    while len(ranked) < min(count, len(healthy)):
        chosen = select_by_capacity(
            healthy, now_s, ranked, TOLERATED_RATIO_MAX, instance_id
        )
        assert chosen is not None
        ranked.append(chosen)
    return ranked


def _is_good(candidate: Candidate, now_s: float, near_ratio: float) -> bool:
    health = candidate.health
    room = candidate.capacity or candidate.slot_count
    return (
        health.in_flight < room
        and health.failure_ratio(now_s) < TOLERATED_FAILURE_RATIO
        and expected_latency(candidate, now_s) <= near_ratio
    )


def _score(candidate: Candidate, now_s: float, instance_id: str) -> float:
    """Returns a pseudo-random score; the highest one of a group is chosen."""
    key = f"{instance_id} {candidate.target_id}".encode()
    digest = hashlib.blake2b(key, digest_size=8).digest()
    uniform = (int.from_bytes(digest) + 0.5) / _HASH_RANGE
    room = candidate.capacity or candidate.slot_count
    spare = max(SPARE_MIN, room - candidate.health.in_flight)
    weight = spare / expected_latency(candidate, now_s)
    return weight / -math.log(uniform)
