"""Chooses the instance that owns a target, by rendezvous hashing."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An instance that may own targets."""

    instance_id: str
    region: str
    zone: str


def rank(
    target_id: str, region: str, zone: str, candidates: Iterable[Candidate]
) -> Sequence[str]:
    """Orders the instances for a target: owner first, then the standby.

    Instances of the target's zone go before those of its region, and these
    before all others. Within a group the highest hash wins, so that the loss of
    an instance moves only the targets that it owned (Thaler and Ravishankar,
    "Using name-based mappings to increase hit rates", 1998).

    Args:
      target_id: The target.
      region: Region of the target.
      zone: Availability zone of the target.
      candidates: Live instances.

    Returns:
      Instance ids, best first.
    """

    def preference(candidate: Candidate) -> tuple[bool, bool, bytes]:
        same_region = candidate.region == region
        same_zone = same_region and candidate.zone == zone
        weight = _weight(target_id, candidate.instance_id)
        return (same_zone, same_region, weight)

    ordered = sorted(candidates, key=preference, reverse=True)
    return [candidate.instance_id for candidate in ordered]


class RankCache:
    """The ranking of each target until the candidates change.

    A search over many shards asks for the same few targets again and again.
    """

    def __init__(self, candidates: Callable[[], Sequence[Candidate]]):
        """Creates an empty cache.

        Args:
          candidates: Returns the live instances. It should return the same
            object until they change, so that the comparison takes one step.
        """
        self._candidates = candidates
        self._seen: Sequence[Candidate] = ()
        self._ranks: dict[str, Sequence[str]] = {}

    def rank(self, target_id: str, region: str, zone: str) -> Sequence[str]:
        """Returns what `rank` returns for the present candidates."""
        candidates = self._candidates()
        if candidates is not self._seen and candidates != self._seen:
            self._ranks.clear()
        self._seen = candidates
        found = self._ranks.get(target_id)
        if found is None:
            found = rank(target_id, region, zone, candidates)
            self._ranks[target_id] = found
        return found

    def clear(self) -> None:
        """Forgets all rankings, since targets have changed."""
        self._ranks.clear()


def _weight(target_id: str, instance_id: str) -> bytes:
    text = f"{target_id}\0{instance_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
