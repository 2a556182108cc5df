"""Chooses the instance that owns a target, by rendezvous hashing."""

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


def _weight(target_id: str, instance_id: str) -> bytes:
    text = f"{target_id}\0{instance_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
