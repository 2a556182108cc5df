"""Chooses the one snapshot that an answer reflects."""

from collections.abc import Mapping

from lycheerock._internal.query import replies as replies_lib
from lycheerock._internal.query import versions
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

NEWEST = versions.NEWEST

_Pair = tuple[int, int]


def _pair(snapshot: answers.Snapshot) -> _Pair:
    return (snapshot.shard_map_version, snapshot.index_version)


class QueryState:
    """Replies of one search, by snapshot and shard.

    Attributes:
      maps: Shard maps of the service by version.
    """

    def __init__(self, service: bundle_lib.Service):
        self.maps = {m.shard_map_version: m for m in service.shard_maps}
        # Pairs of map and index version are the keys, since they hash faster
        # than snapshots and each reply needs several look-ups.
        self._ok: dict[_Pair, dict[str, replies_lib.ShardReply]] = {}
        # Shards that hold a snapshot, whether or not their rows are in hand.
        self._held: dict[_Pair, set[str]] = {}
        self._replied: dict[int, dict[str, answers.LackingReason]] = {}

    def record(self, reply: replies_lib.ShardReply) -> None:
        """Keeps a reply and the versions that it names."""
        map_version = reply.shard_map_version
        shard_id = reply.shard
        replied = self._replied.get(map_version)
        if replied is None:
            replied = self._replied[map_version] = {}
        replied[shard_id] = (
            answers.LackingReason.MAP_MISSING
            if reply.status == "map_missing"
            else answers.LackingReason.VERSION_MISSING
        )
        for index_version in reply.held_versions:
            self._add_holder((map_version, index_version), shard_id)
        if reply.status == "ok":
            pair = (map_version, reply.index_version)
            self._add_holder(pair, shard_id)
            in_hand = self._ok.get(pair)
            if in_hand is None:
                in_hand = self._ok[pair] = {}
            in_hand[shard_id] = reply

    def _add_holder(self, pair: _Pair, shard_id: str) -> None:
        holders = self._held.get(pair)
        if holders is None:
            holders = self._held[pair] = set()
        holders.add(shard_id)

    def replies_at(
        self, snapshot: answers.Snapshot
    ) -> Mapping[str, replies_lib.ShardReply]:
        """Returns the replies of one snapshot by shard id."""
        return self._ok.get(_pair(snapshot), {})

    def missing_reason(
        self, snapshot: answers.Snapshot, shard_id: str
    ) -> answers.LackingReason | None:
        """Returns why a shard that replied has no such snapshot.

        Returns:
          None if the shard has not replied or holds the snapshot.
        """
        replied = self._replied.get(snapshot.shard_map_version, {})
        if shard_id in self._held.get(_pair(snapshot), ()):
            return None
        return replied.get(shard_id)

    def exclude(self, snapshot: answers.Snapshot, shard_id: str) -> None:
        """Notes that no replica of a shard holds the snapshot any more."""
        self._held.get(_pair(snapshot), set()).discard(shard_id)

    def expected_ratio(self, snapshot: answers.Snapshot) -> float:
        """Returns the share of shards that hold the snapshot."""
        shards = self.maps[snapshot.shard_map_version].shards
        return len(self._held.get(_pair(snapshot), ())) / len(shards)

    def best(self) -> answers.Snapshot | None:
        """Returns the snapshot that covers most shards, or None.

        Coverage counts a shard that holds the version even if its reply is
        still missing. On a tie the snapshot with more replies in hand wins,
        then the newer one.
        """
        return max(
            (answers.Snapshot(*p) for p in self._held if p[0] in self.maps),
            key=lambda s: (self.expected_ratio(s), self._in_hand(s), s),
            default=None,
        )

    def fullest(self) -> answers.Snapshot | None:
        """Returns the snapshot with the most replies in hand, or None."""
        return max(
            (answers.Snapshot(*p) for p in self._ok if p[0] in self.maps),
            key=lambda s: (self._in_hand(s), s),
            default=None,
        )

    def _in_hand(self, snapshot: answers.Snapshot) -> float:
        shards = self.maps[snapshot.shard_map_version].shards
        return len(self._ok.get(_pair(snapshot), ())) / len(shards)
