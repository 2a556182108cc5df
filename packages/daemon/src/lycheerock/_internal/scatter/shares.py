"""Divides the limits of a service among the instances in two stages.

Only the holders of a group, which are its owner and standby in each region,
need connections to its targets and retries. All others keep a reserve for
searches whose owners fail: a connection to the targets of their own region and
the smallest number of tokens.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from lycheerock._internal.links import members as members_lib
from lycheerock._internal.scatter import groups as groups_lib

# Fractions of a target's limit for the holders of its own region, for those of
# other regions, and for the reserve of the other instances of its region. The
# rest covers instances that have joined or left and that not all others know.
NEAR_HOLDERS_RATIO = 0.25
FAR_HOLDERS_RATIO = 0.30
RESERVE_RATIO = 0.35

# The same for the fixed allowance of the retry budget.
HOLDERS_TOKENS_RATIO = 0.3
RESERVE_TOKENS_RATIO = 0.6

# Fraction of a service's rate for cold targets that the holders share. The
# others, which rarely send, share the rest as in one stage.
HOLDERS_COLD_RATIO = 0.6

# Number of holders per region that the fractions are divided by. It is one more
# than there are, because the holders that one instance knows may differ by one
# from those that another one knows.
HOLDERS_COUNTED = groups_lib.HOLDERS_PER_REGION + 1


@dataclasses.dataclass(frozen=True)
class Holding:
    """What one instance holds of one group.

    Attributes:
      region: Region of the instance.
      region_count: Number of regions with instances.
      is_holder: Whether it is the owner or the standby in its region.
      reserve_rank: Its position among the other instances of its region.
    """

    region: str
    region_count: int
    is_holder: bool
    reserve_rank: int


def holding(
    address: str,
    order: Sequence[str],
    members: Mapping[str, members_lib.Member],
    region: str,
) -> Holding:
    """Returns what an instance holds of a group.

    Args:
      address: Feed address of the instance.
      order: Owner, standby and others of the group in the instance's region.
      members: Live instances by feed address.
      region: Region of the instance.
    """
    holders = order[: groups_lib.HOLDERS_PER_REGION]
    others = sorted(
        a for a, m in members.items() if m.region == region and a not in holders
    )
    return Holding(
        region,
        len({m.region for m in members.values()} | {region}),
        address in holders,
        others.index(address) if address in others else len(others),
    )


def limit(
    connection_limit: int, held: Holding, target_region: str | None
) -> int:
    """Returns the number of connections that an instance may open to a target.

    Args:
      connection_limit: Number of connections that the target accepts from all
        instances together.
      held: What the instance holds of the target's group.
      target_region: Region of the target, or None if unknown.
    """
    is_near = target_region == held.region
    if held.is_holder and is_near:
        near = NEAR_HOLDERS_RATIO * connection_limit / HOLDERS_COUNTED
        return max(1, int(near))
    if held.is_holder:
        holders = HOLDERS_COUNTED * max(1, held.region_count - 1)
        return max(1, int(FAR_HOLDERS_RATIO * connection_limit / holders))
    is_reserved = held.reserve_rank < int(RESERVE_RATIO * connection_limit)
    return 1 if is_near and is_reserved else 0


def token_capacity(
    allowance_count: float, held: Holding, reserve_tokens: float
) -> float:
    """Returns the capacity of the bucket for retries and hedges of a service.

    Args:
      allowance_count: Retries and hedges that all instances together may send
        in addition to those that they earn.
      held: What the instance holds of the service's group.
      reserve_tokens: Capacity of the bucket of an instance that is no holder,
        as long as the allowance suffices.
    """
    if held.is_holder:
        holders = HOLDERS_COUNTED * held.region_count
        return max(
            reserve_tokens, HOLDERS_TOKENS_RATIO * allowance_count / holders
        )
    reserved = RESERVE_TOKENS_RATIO * allowance_count / held.region_count
    is_reserved = (held.reserve_rank + 1) * reserve_tokens <= reserved
    return reserve_tokens if is_reserved else 0.0


def cold_sharers(held: Holding) -> float | None:
    """Returns by how many instances the rate for cold targets is divided.

    It is None for an instance that is no holder, for which all count.
    """
    if not held.is_holder:
        return None
    return HOLDERS_COUNTED * held.region_count / HOLDERS_COLD_RATIO
