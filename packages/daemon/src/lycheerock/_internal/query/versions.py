"""Tracks the index versions that targets hold, across searches."""

import collections
from collections.abc import Iterable

from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

# Index version of a request for the newest version that the target holds.
NEWEST = 0

# Targets normally list only a few versions. Longer lists are truncated to bound
# memory.
HELD_VERSIONS_MAX = 8

# How long a target is assumed to lack a version after a reply that did not list
# it. Targets load new versions without notice, so this must expire.
MISSING_VERSION_TTL_S = 2.0

# Minimum interval between repeated queries of a shard map that no target is
# known to hold.
MAP_PROBE_PERIOD_S = 1.0


class _MapVersions:
    """Index versions that targets hold on one shard map."""

    def __init__(self, shard_map: bundle_lib.ShardMap):
        self.shard_map = shard_map
        self.queried_s = float("-inf")
        # For each index version, the number of shards with at least one target
        # that holds it.
        self.shard_counts: collections.Counter[int] = collections.Counter()
        self._held_by_shard: dict[
            str, dict[str, tuple[tuple[int, ...], float]]
        ] = {}

    def observe(
        self, shard_id: str, target_id: str, held: tuple[int, ...], now_s: float
    ) -> None:
        targets = self._held_by_shard.setdefault(shard_id, {})
        known = targets.get(target_id)
        if known is not None and known[0] == held:
            targets[target_id] = (known[0], now_s)
            return
        before = _union(targets)
        targets[target_id] = (held, now_s)
        self._update_counts(before, _union(targets))

    def forget(self, shard_id: str, target_id: str) -> None:
        targets = self._held_by_shard.get(shard_id)
        if not targets or target_id not in targets:
            return
        before = _union(targets)
        del targets[target_id]
        self._update_counts(before, _union(targets))

    def _update_counts(self, before: set[int], after: set[int]) -> None:
        self.shard_counts.update(after - before)
        for version in before - after:
            self.shard_counts[version] -= 1
            if not self.shard_counts[version]:
                del self.shard_counts[version]

    def targets_without(
        self, shard_id: str, version: int, now_s: float
    ) -> list[str]:
        return [
            target_id
            for target_id, (held, observed_s) in self._held_by_shard.get(
                shard_id, {}
            ).items()
            if version not in held
            and now_s - observed_s <= MISSING_VERSION_TTL_S
        ]

    def may_be_queried(self, now_s: float) -> bool:
        return (
            not self._held_by_shard
            or now_s - self.queried_s > MAP_PROBE_PERIOD_S
        )

    def best(self) -> tuple[float, answers.Snapshot] | None:
        size = len(self.shard_map.shards)
        map_version = self.shard_map.shard_map_version
        return max(
            (
                (count / size, answers.Snapshot(map_version, version))
                for version, count in self.shard_counts.items()
            ),
            default=None,
        )

    def copy_from(self, older: "_MapVersions") -> None:
        """Copies the state of shards and targets that are still in the map."""
        self.queried_s = older.queried_s
        for shard in self.shard_map.shards:
            known = older._held_by_shard.get(shard.shard_id, {})
            for target_id in shard.target_ids:
                if target_id in known:
                    held, observed_s = known[target_id]
                    self.observe(shard.shard_id, target_id, held, observed_s)


def _union(targets: dict[str, tuple[tuple[int, ...], float]]) -> set[int]:
    found: set[int] = set()
    for held, _ in targets.values():
        found.update(held)
    return found


class VersionTable:
    """Index versions that the targets of a service reported in replies.

    Memory use is bounded by the number of replicas of the service: one short
    tuple each.
    """

    def __init__(self) -> None:
        self._maps: dict[int, _MapVersions] = {}

    def apply(self, shard_maps: Iterable[bundle_lib.ShardMap]) -> None:
        """Sets the shard maps and keeps the versions that still apply."""
        kept: dict[int, _MapVersions] = {}
        for shard_map in shard_maps:
            version = shard_map.shard_map_version
            known = self._maps.get(version)
            if known is None or known.shard_map is not shard_map:
                fresh = _MapVersions(shard_map)
                if known is not None:
                    fresh.copy_from(known)
                known = fresh
            kept[version] = known
        self._maps = kept

    def observe(
        self,
        map_version: int,
        shard_id: str,
        target_id: str,
        held: tuple[int, ...],
        now_s: float,
    ) -> None:
        """Records the versions that a reply lists."""
        known = self._maps.get(map_version)
        if known is not None:
            if len(held) > HELD_VERSIONS_MAX:
                held = tuple(sorted(held)[-HELD_VERSIONS_MAX:])
            known.observe(shard_id, target_id, held, now_s)

    def forget(self, map_version: int, shard_id: str, target_id: str) -> None:
        """Forgets the versions of a target that gave no valid reply."""
        known = self._maps.get(map_version)
        if known is not None:
            known.forget(shard_id, target_id)

    def targets_without(
        self, snapshot: answers.Snapshot, shard_id: str, now_s: float
    ) -> list[str]:
        """Returns the targets whose latest reply did not list a snapshot.

        Replies older than MISSING_VERSION_TTL_S are ignored.
        """
        known = self._maps.get(snapshot.shard_map_version)
        if known is None or snapshot.index_version == NEWEST:
            return []
        return known.targets_without(shard_id, snapshot.index_version, now_s)

    def initial_snapshot(self, now_s: float) -> answers.Snapshot:
        """Returns the snapshot that is expected to cover the most shards.

        If no versions are known, this is the newest version on the newest shard
        map that has not been queried recently.
        """
        best = max(
            (found for m in self._maps.values() if (found := m.best())),
            default=None,
        )
        if best is not None:
            return best[1]
        candidate = max(
            self._maps.values(),
            key=lambda m: (
                m.may_be_queried(now_s),
                m.shard_map.shard_map_version,
            ),
        )
        return answers.Snapshot(candidate.shard_map.shard_map_version, NEWEST)

    def mark_queried(self, map_version: int, now_s: float) -> None:
        """Records the time at which a search queried a whole shard map."""
        known = self._maps.get(map_version)
        if known is not None:
            known.queried_s = now_s

    def alternative_snapshot(
        self, queried: set[int], ratio: float, now_s: float
    ) -> answers.Snapshot | None:
        """Returns a snapshot on another map that may cover more shards.

        Args:
          queried: Versions of the shard maps that the search has queried.
          ratio: Coverage ratio that the search expects on those maps.
          now_s: Monotonic time.

        Returns:
          The snapshot, or None if no other map may cover more.
        """
        found: list[tuple[float, answers.Snapshot]] = []
        for version, known in self._maps.items():
            if version in queried:
                continue
            best = known.best()
            if best is not None and best[0] > ratio:
                found.append(best)
            elif best is None and known.may_be_queried(now_s):
                found.append((0.0, answers.Snapshot(version, NEWEST)))
        return max(found)[1] if found else None
