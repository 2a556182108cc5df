"""Collects the replies of a search and ranks their snapshots."""

from collections.abc import Mapping

from lycheerock._internal.query import replies as replies_lib
from lycheerock._internal.query import versions
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

NEWEST = versions.NEWEST

_SnapshotKey = tuple[int, int]


def _key(snapshot: answers.Snapshot) -> _SnapshotKey:
    return (snapshot.shard_map_version, snapshot.index_version)


class ReplySet:
    """Replies of one search, by snapshot and shard.

    Attributes:
      maps: Shard maps of the service, by version.
    """

    def __init__(self, service: bundle_lib.Service):
        self.maps = {m.shard_map_version: m for m in service.shard_maps}
        # The keys are tuples because they hash faster than `Snapshot`, and each
        # reply needs several look-ups.
        self._replies: dict[
            _SnapshotKey, dict[str, replies_lib.ShardReply]
        ] = {}
        # Shards that hold a snapshot, whether or not they returned its rows.
        self._holders: dict[_SnapshotKey, set[str]] = {}
        self._missing_reasons: dict[int, dict[str, answers.LackingReason]] = {}

    def record(self, reply: replies_lib.ShardReply) -> None:
        """Records a reply and the versions that it lists."""
        map_version = reply.shard_map_version
        shard_id = reply.shard
        reasons = self._missing_reasons.get(map_version)
        if reasons is None:
            reasons = self._missing_reasons[map_version] = {}
        reasons[shard_id] = (
            answers.LackingReason.MAP_MISSING
            if reply.status == "map_missing"
            else answers.LackingReason.VERSION_MISSING
        )
        for index_version in reply.held_versions:
            self._add_holder((map_version, index_version), shard_id)
        if reply.status == "ok":
            key = (map_version, reply.index_version)
            self._add_holder(key, shard_id)
            replies = self._replies.get(key)
            if replies is None:
                replies = self._replies[key] = {}
            replies[shard_id] = reply

    def _add_holder(self, key: _SnapshotKey, shard_id: str) -> None:
        holders = self._holders.get(key)
        if holders is None:
            holders = self._holders[key] = set()
        holders.add(shard_id)

    def replies_for(
        self, snapshot: answers.Snapshot
    ) -> Mapping[str, replies_lib.ShardReply]:
        """Returns the replies for a snapshot, by shard id."""
        return self._replies.get(_key(snapshot), {})

    def missing_reason(
        self, snapshot: answers.Snapshot, shard_id: str
    ) -> answers.LackingReason | None:
        """Returns why a shard that replied lacks a snapshot.

        Returns:
          The reason, or None if the shard has not replied or holds the
          snapshot.
        """
        reasons = self._missing_reasons.get(snapshot.shard_map_version, {})
        if shard_id in self._holders.get(_key(snapshot), ()):
            return None
        return reasons.get(shard_id)

    def mark_unavailable(
        self, snapshot: answers.Snapshot, shard_id: str
    ) -> None:
        """Records that no replica of a shard holds the snapshot any more."""
        self._holders.get(_key(snapshot), set()).discard(shard_id)

    def expected_coverage(self, snapshot: answers.Snapshot) -> float:
        """Returns the fraction of shards that hold the snapshot."""
        shards = self.maps[snapshot.shard_map_version].shards
        return len(self._holders.get(_key(snapshot), ())) / len(shards)

    def best_snapshot(self) -> answers.Snapshot | None:
        """Returns the snapshot with the best expected coverage, or None.

        A shard that holds the snapshot counts even if it has not yet returned
        its rows. Ties are broken by the number of replies received, then in
        favor of the newer snapshot.
        """
        return max(
            (answers.Snapshot(*p) for p in self._holders if p[0] in self.maps),
            key=lambda s: (
                self.expected_coverage(s),
                self._received_ratio(s),
                s,
            ),
            default=None,
        )

    def most_complete_snapshot(self) -> answers.Snapshot | None:
        """Returns the snapshot with the best actual coverage, or None."""
        return max(
            (answers.Snapshot(*p) for p in self._replies if p[0] in self.maps),
            key=lambda s: (self._received_ratio(s), s),
            default=None,
        )

    def _received_ratio(self, snapshot: answers.Snapshot) -> float:
        shards = self.maps[snapshot.shard_map_version].shards
        return len(self._replies.get(_key(snapshot), ())) / len(shards)
