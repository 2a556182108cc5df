"""Decides which shards are searched in two stages and who owns them."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import hashlib
import math

from lycheerock._internal.links import members as members_lib
from lycheerock._internal.routing import table

# A service that is searched in two stages returns to one stage only when the
# instance count falls below this fraction of its connection limit, so that a
# few instances that come and go do not switch all searches to and fro.
ONE_STAGE_RATIO = 0.8

# Maximum number of shards of a group. An owner takes about 0.5 ms of processor
# time per shard request, so that a group delays its slowest reply by a few
# milliseconds; a search over 36 shards takes six queries.
GROUP_SIZE_MAX = 6

# Exponent of the weight in the selection of owners. A search takes little of
# an owner with several cores, but a noticeable share of a small instance, so
# that instances with room are preferred more than in proportion. With 4 of 38
# instances of a region having six times the weight, 3 of 6 groups went to small
# ones for some names with an exponent of 2.
WEIGHT_EXPONENT = 3.0

# Number of instances that are considered for a group: the owner, the standby
# and one more.
ORDER_LENGTH = 3

# Number of instances per region that keep connections for a group.
HOLDERS_PER_REGION = 2


def is_two_stage(
    connection_limit: int, instance_count: int, *, was_two_stage: bool
) -> bool:
    """Returns whether a service is searched in two stages.

    In one stage each instance needs a connection to each target.

    Args:
      connection_limit: Number of connections that a target accepts from all
        instances together; 0 if unknown.
      instance_count: Number of registered instances.
      was_two_stage: The last decision.
    """
    if connection_limit <= 0:
        return False
    if was_two_stage:
        return instance_count >= ONE_STAGE_RATIO * connection_limit
    return instance_count > connection_limit


def eligible_shards(
    routes: Sequence[table.Route],
) -> tuple[tuple[str, ...], ...]:
    """Returns the shards of each search route that only searches use.

    A service that also gets single requests stays in one stage, because each
    instance needs connections to its targets anyway.
    """
    single = {
        service
        for route in routes
        if route.scatter is None
        for service in route.service_names
    }
    return tuple(
        tuple(s for s in route.scatter.shards if s not in single)
        for route in routes
        if route.scatter is not None
    )


def divide(shard_sets: Iterable[Iterable[str]]) -> tuple[tuple[str, ...], ...]:
    """Divides shards into groups of nearly equal size.

    The groups of a set do not depend on later sets, so that a route with
    further shards does not move those of the others.

    Args:
      shard_sets: Sets of shards that are searched together.
    """
    groups: list[tuple[str, ...]] = []
    known: set[str] = set()
    for shards in shard_sets:
        added = sorted(set(shards) - known)
        known.update(added)
        count = math.ceil(len(added) / GROUP_SIZE_MAX)
        for number in range(count):
            start = number * len(added) // count
            end = (number + 1) * len(added) // count
            groups.append(tuple(added[start:end]))
    return tuple(groups)


def _score(key: str, address: str, weight: float) -> float:
    """Returns the rendezvous score of an instance; the highest one wins."""
    digest = hashlib.blake2b(
        f"{key} {address}".encode("utf-8", "surrogatepass"), digest_size=8
    ).digest()
    fraction = (int.from_bytes(digest) + 1) / (2**64 + 2)
    return -math.pow(weight, WEIGHT_EXPONENT) / math.log(fraction)


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The instances of one region that are responsible for each group.

    Attributes:
      orders: Feed addresses for each group: the owner, the standby, and one
        more, as far as there are instances.
    """

    orders: tuple[tuple[str, ...], ...]


def assign(
    groups: Sequence[tuple[str, ...]],
    members: Mapping[str, members_lib.Member],
    region: str,
) -> Assignment:
    """Selects the owners of all groups in a region by rendezvous hashing.

    An instance owns at most its share of the groups by weight, rounded up, so
    that several groups of one search seldom wait for the same instance. The
    standby is in another zone than the owner if possible, since all instances
    of a zone may fail together.

    Args:
      groups: The groups, see `divide`.
      members: Live instances by feed address.
      region: The region.
    """
    weights = {
        address: member.weight
        for address, member in members.items()
        if member.region == region
    }
    total = sum(math.pow(w, WEIGHT_EXPONENT) for w in weights.values())
    capacity = {
        address: max(
            1, math.ceil(len(groups) * math.pow(w, WEIGHT_EXPONENT) / total)
        )
        for address, w in weights.items()
    }
    orders = []
    for group in groups:
        ranked = sorted(
            weights,
            key=lambda a, g=group: _score(g[0], a, weights[a]),  # type: ignore[misc]
            reverse=True,
        )
        owner = next((a for a in ranked if capacity[a] > 0), None)
        if owner is None:
            orders.append(tuple(ranked[:ORDER_LENGTH]))
            continue
        capacity[owner] -= 1
        others = [a for a in ranked if a != owner]
        # The sort is stable and keeps the rank within both parts.
        others.sort(key=lambda a, o=owner: members[a].zone == members[o].zone)  # type: ignore[misc]
        orders.append((owner, *others[: ORDER_LENGTH - 1]))
    return Assignment(tuple(orders))
