"""Limits that keep a workspace within its cap over all instances."""

import dataclasses
import functools
import hashlib

WINDOW_DEFAULT_S = 5.0

# Number of groups of workspaces. All workspaces of a group have the same owner,
# so that an instance exchanges messages with this many owners at most.
GROUP_COUNT = 8

# Interval at which an instance asks each owner that it follows.
ASK_PERIOD_S = 0.5

# Time for which an owner counts a supporter, measured by the owner's clock from
# the reply that the supporter has repeated. That reply is up to one period and
# a round trip old, and the next ask comes after another period.
LEASE_S = 1.35

# Time for which a token is valid, measured by the holder's clock from its ask.
# Tokens of an idle workspace are renewed with each periodic ask.
TOKEN_LIFETIME_S = 1.0

# Allowance for clocks of different instances that run at different rates.
CLOCK_MARGIN_S = 0.02

# Time between two changes of the owner by one instance that is not forced to
# change.
FOLLOW_MIN_S = 5.0

# Time from the use of a token until the request reaches a target. Connections
# are mostly free; only overloaded targets make a request wait longer for one.
RUN_DELAY_S = 0.5

# Shares of the tolerance that are used for the capacity of the bucket, for the
# first tokens of new owners, of which a window can contain INITIAL_COUNT_MAX
# (see `docs/design/caps.md`), and for a higher rate of owners without all
# supporters.
CAPACITY_SHARE = 0.45
INITIAL_SHARE = 0.3
RATE_SHARE = 0.25
INITIAL_COUNT_MAX = 3

# Minimum capacity as a share of the whole bound, where the bound has no
# tolerance and no burst; the rate is lowered in return.
CAPACITY_MIN_RATIO = 0.2


@dataclasses.dataclass(frozen=True)
class Bound:
    """The platform's tolerance for caps.

    In any window, (rate x window + burst) x (1 + overshoot) + slack requests of
    a workspace may run.

    Attributes:
      window_s: Length of the window.
      overshoot_ratio: Tolerance in proportion to the cap.
      slack_count: Tolerance in requests.
    """

    window_s: float = WINDOW_DEFAULT_S
    overshoot_ratio: float = 0.0
    slack_count: float = 0.0

    def count_max(self, rate_per_s: float, burst_count: float) -> float:
        """Returns the most requests that may run in a window."""
        allowed = rate_per_s * self.window_s + burst_count
        return allowed * (1.0 + self.overshoot_ratio) + self.slack_count


@dataclasses.dataclass(frozen=True)
class Limits:
    """Parameters of the token buckets of one workspace.

    All figures apply to the sum over all owners. An owner has the share that
    its supporters are of all registered instances.

    Attributes:
      rate_per_s: Tokens that are added per second.
      rate_max_per_s: Tokens that all owners together may add per second. It is
        greater than `rate_per_s` where the tolerance allows it; then an owner
        with some of the supporters still adds tokens at the whole rate.
      capacity_count: Most tokens that are unused, at owners or instances.
      initial_count: Tokens with which a new owner starts.
    """

    rate_per_s: float
    rate_max_per_s: float
    capacity_count: float
    initial_count: float

    def rate_for(self, share: float) -> float:
        """Returns the rate of an owner with a share of the supporters."""
        return min(self.rate_per_s, share * self.rate_max_per_s)


def limits_for(rate_per_s: float, burst_count: float, bound: Bound) -> Limits:
    """Returns the limits with which a workspace stays within its bound.

    In a window, at most `capacity_count` + `rate_max_per_s` x (window + run
    delay) + INITIAL_COUNT_MAX x `initial_count` requests run.

    Args:
      rate_per_s: Rate of the cap.
      burst_count: Burst of the cap.
      bound: The platform's tolerance.
    """
    count_max = bound.count_max(rate_per_s, burst_count)
    period_s = bound.window_s + RUN_DELAY_S
    spare = count_max - rate_per_s * period_s - burst_count
    if spare >= 0.0:
        return Limits(
            rate_per_s,
            rate_per_s + RATE_SHARE * spare / period_s,
            burst_count + CAPACITY_SHARE * spare,
            INITIAL_SHARE * spare / INITIAL_COUNT_MAX,
        )
    capacity = max(burst_count + spare, CAPACITY_MIN_RATIO * count_max)
    rate = min(rate_per_s, (count_max - capacity) / period_s)
    return Limits(rate, rate, capacity, 0.0)


@functools.lru_cache(maxsize=4_096)
def group_of(workspace: str) -> int:
    """Returns the group of a workspace."""
    return _hash(workspace) % GROUP_COUNT


@functools.lru_cache(maxsize=4 * GROUP_COUNT)
def rank(group: int, addresses: frozenset[str]) -> tuple[str, ...]:
    """Returns the instances in the order in which they own a group.

    Rendezvous hashing: an instance that joins or leaves changes the owner only
    of the groups that it owns.

    Args:
      group: Number of the group.
      addresses: Feed addresses of the instances.
    """
    return tuple(
        sorted(addresses, key=lambda address: _hash(f"{group}/{address}"))
    )


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
