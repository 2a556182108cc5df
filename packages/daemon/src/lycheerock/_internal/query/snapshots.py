"""Chooses the one snapshot that an answer reflects."""

from collections.abc import Iterable
from collections.abc import Mapping

from lycheerock._internal.query import replies as replies_lib
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

NEWEST = 0


class QueryState:
    """Replies of one search, by snapshot and shard.

    Attributes:
      maps: Shard maps of the service by version.
    """

    def __init__(self, service: bundle_lib.Service):
        self.maps = {m.shard_map_version: m for m in service.shard_maps}
        self._ok: dict[answers.Snapshot, dict[str, replies_lib.ShardReply]] = {}
        self._held: dict[tuple[int, str], set[int]] = {}

    def record(self, reply: replies_lib.ShardReply) -> None:
        """Keeps a reply and the versions that it names."""
        place = (reply.shard_map_version, reply.shard)
        held = self._held.setdefault(place, set())
        held.update(reply.held_versions)
        if reply.status == "ok":
            held.add(reply.index_version)
            self._ok.setdefault(reply.snapshot, {})[reply.shard] = reply

    def replies_at(
        self, snapshot: answers.Snapshot
    ) -> Mapping[str, replies_lib.ShardReply]:
        """Returns the replies of one snapshot by shard id."""
        return self._ok.get(snapshot, {})

    def best(self) -> answers.Snapshot | None:
        """Returns the snapshot that covers most shards, or None.

        Coverage counts a shard that holds the version even if its reply is
        still missing. On a tie the snapshot with more replies in hand wins,
        then the newer one.
        """
        return max(self._candidates(), key=self._merit, default=None)

    def _candidates(self) -> Iterable[answers.Snapshot]:
        found = set(self._ok)
        for (map_version, _), versions in self._held.items():
            found.update(answers.Snapshot(map_version, v) for v in versions)
        return (s for s in found if s.shard_map_version in self.maps)

    def _merit(
        self, snapshot: answers.Snapshot
    ) -> tuple[float, float, answers.Snapshot]:
        shards = self.maps[snapshot.shard_map_version].shards
        held = sum(self._holds(snapshot, shard.shard_id) for shard in shards)
        in_hand = len(self.replies_at(snapshot))
        return (held / len(shards), in_hand / len(shards), snapshot)

    def _holds(self, snapshot: answers.Snapshot, shard_id: str) -> bool:
        versions = self._held.get((snapshot.shard_map_version, shard_id))
        return versions is not None and snapshot.index_version in versions
