"""Assigns targets to owner instances by rendezvous hashing."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An instance that can own targets."""

    instance_id: str
    region: str
    zone: str


def rank(
    target_id: str, region: str, zone: str, candidates: Iterable[Candidate]
) -> Sequence[str]:
    """Ranks the instances for a target: owner first, then the standby.

    Instances in the target's zone come before others in its region, and these
    before all others. Within a group, instances are ordered by descending hash,
    so that the loss of an instance moves only the targets that it owned (Thaler
    and Ravishankar, "Using name-based mappings to increase hit rates", 1998).

    Args:
      target_id: The target.
      region: Region of the target.
      zone: Availability zone of the target.
      candidates: Live instances.

    Returns:
      Instance ids in order of rank.
    """

    def preference(candidate: Candidate) -> tuple[bool, bool, bytes]:
        same_region = candidate.region == region
        same_zone = same_region and candidate.zone == zone
        weight = _weight(target_id, candidate.instance_id)
        return (same_zone, same_region, weight)

    ordered = sorted(candidates, key=preference, reverse=True)
    return [candidate.instance_id for candidate in ordered]


class RankCache:
    """Caches the ranking of each target until the candidates change.

    A search over many shards looks up the same few targets repeatedly.
    """

    def __init__(self, candidates: Callable[[], Sequence[Candidate]]):
        """Creates an empty cache.

        Args:
          candidates: Returns the live instances. It should return the same
            object until they change, so that an identity check is enough.
        """
        self._candidates = candidates
        self._last_candidates: Sequence[Candidate] = ()
        self._ranks: dict[str, Sequence[str]] = {}

    def rank(self, target_id: str, region: str, zone: str) -> Sequence[str]:
        """Returns the result of `rank` for the current candidates."""
        candidates = self._candidates()
        if (
            candidates is not self._last_candidates
            and candidates != self._last_candidates
        ):
            self._ranks.clear()
        self._last_candidates = candidates
        ranking = self._ranks.get(target_id)
        if ranking is None:
            ranking = rank(target_id, region, zone, candidates)
            self._ranks[target_id] = ranking
        return ranking

    def clear(self) -> None:
        """Discards all rankings; needed when targets change."""
        self._ranks.clear()


def _weight(target_id: str, instance_id: str) -> bytes:
    text = f"{target_id}\0{instance_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
