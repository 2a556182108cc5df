"""Types that describe a two-stage search at its first stage."""

from collections.abc import Callable
import dataclasses

from lycheerock._internal.gateway import messages


@dataclasses.dataclass(frozen=True)
class Terms:
    """The request and the limits of one search.

    Attributes:
      request: The caller's request.
      route_name: Name of the route.
      configuration_version: Version of the configuration.
      allowed_regions: Regions whose targets may be used; empty if all may.
      attempts_max: Maximum number of targets per shard.
      record_count_max: Number of records that the search returns.
      respond_by_s: Monotonic time after which parts are of little use.
      deadline_s: Monotonic time at which the search ends.
      hedge_delay_s: Hedge delay.
      early_hedge_delay_s: Hedge delay while the retry budget is nearly full.
    """

    request: messages.ForwardedRequest
    route_name: str
    configuration_version: int
    allowed_regions: frozenset[str]
    attempts_max: int
    record_count_max: int
    respond_by_s: float
    deadline_s: float
    hedge_delay_s: float
    early_hedge_delay_s: float


@dataclasses.dataclass(frozen=True)
class ShardQuery:
    """A shard that an instance is asked to query.

    Attributes:
      shard: The shard.
      attempts_max: Number of targets that may be used.
      is_repeat: Whether other targets may already run the request.
      tried_ids: Targets that are known to have got it.
    """

    shard: str
    attempts_max: int
    is_repeat: bool
    tried_ids: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Sink:
    """What the search does with the outcomes of its shards.

    Attributes:
      on_part: Called with a shard, the signature and the records.
      query_here: Called with a shard that this instance must query itself.
      on_change: Called when fewer shards are open.
    """

    on_part: Callable[[str, str, bytes], None]
    query_here: Callable[[ShardQuery], None]
    on_change: Callable[[], None]


class Attempts:
    """The number of targets that may still be used for each shard.

    An owner is allowed a number of attempts in advance; those that it states
    not to have used are returned. The sum thus never exceeds the limit, whether
    or not an owner that does not reply has sent the request.

    Attributes:
      may_have_run: Shards whose request a target may run.
    """

    def __init__(self, attempts_max: int) -> None:
        self._attempts_max = attempts_max
        self._taken: dict[str, int] = {}
        self.may_have_run: set[str] = set()

    def left(self, shard: str) -> int:
        """Returns the number of targets that may still be used."""
        return self._attempts_max - self._taken.get(shard, 0)

    def take(self, shard: str, count: int) -> None:
        """Allows attempts to one instance."""
        self._taken[shard] = self._taken.get(shard, 0) + count

    def give_back(self, shard: str, count: int) -> None:
        """Returns attempts that were not used."""
        self._taken[shard] = self._taken.get(shard, 0) - max(0, count)
