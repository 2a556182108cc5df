"""Index versions that targets hold, kept between searches."""

import collections
from collections.abc import Iterable

from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

# The index version of a request that accepts whatever the target has newest.
NEWEST = 0

# A target lists a few versions at most; a longer list is cut to bound memory.
HELD_VERSIONS_MAX = 8

# How long a target is taken to lack a version that it did not hold. It loads
# new versions without telling, so the knowledge must not last.
LACK_TTL_S = 2.0

# How often a shard map without known holders is asked again.
MAP_PROBE_PERIOD_S = 1.0


class _MapVersions:
    """Knowledge of one shard map."""

    def __init__(self, shard_map: bundle_lib.ShardMap):
        self.shard_map = shard_map
        self.asked_s = float("-inf")
        # Shards by the number of versions; at least one target holds each.
        self.counts: collections.Counter[int] = collections.Counter()
        self._held: dict[str, dict[str, tuple[tuple[int, ...], float]]] = {}

    def observe(
        self, shard_id: str, target_id: str, held: tuple[int, ...], now_s: float
    ) -> None:
        targets = self._held.setdefault(shard_id, {})
        known = targets.get(target_id)
        if known is not None and known[0] == held:
            targets[target_id] = (known[0], now_s)
            return
        before = _union(targets)
        targets[target_id] = (held, now_s)
        self._count(before, _union(targets))

    def forget(self, shard_id: str, target_id: str) -> None:
        targets = self._held.get(shard_id)
        if not targets or target_id not in targets:
            return
        before = _union(targets)
        del targets[target_id]
        self._count(before, _union(targets))

    def _count(self, before: set[int], after: set[int]) -> None:
        self.counts.update(after - before)
        for version in before - after:
            self.counts[version] -= 1
            if not self.counts[version]:
                del self.counts[version]

    def lacking(self, shard_id: str, version: int, now_s: float) -> list[str]:
        return [
            target_id
            for target_id, (held, learned_s) in self._held.get(
                shard_id, {}
            ).items()
            if version not in held and now_s - learned_s <= LACK_TTL_S
        ]

    def may_be_asked(self, now_s: float) -> bool:
        return not self._held or now_s - self.asked_s > MAP_PROBE_PERIOD_S

    def best(self) -> tuple[float, answers.Snapshot] | None:
        size = len(self.shard_map.shards)
        map_version = self.shard_map.shard_map_version
        return max(
            (
                (count / size, answers.Snapshot(map_version, version))
                for version, count in self.counts.items()
            ),
            default=None,
        )

    def adopt(self, older: "_MapVersions") -> None:
        """Takes over what still applies when the bundle has changed."""
        self.asked_s = older.asked_s
        for shard in self.shard_map.shards:
            known = older._held.get(shard.shard_id, {})
            for target_id in shard.target_ids:
                if target_id in known:
                    held, learned_s = known[target_id]
                    self.observe(shard.shard_id, target_id, held, learned_s)


def _union(targets: dict[str, tuple[tuple[int, ...], float]]) -> set[int]:
    found: set[int] = set()
    for held, _ in targets.values():
        found.update(held)
    return found


class VersionTable:
    """Versions that the targets of one service hold, as their replies say.

    Memory is bounded by the service's replicas: one short tuple for each.
    """

    def __init__(self) -> None:
        self._maps: dict[int, _MapVersions] = {}

    def apply(self, shard_maps: Iterable[bundle_lib.ShardMap]) -> None:
        """Keeps exactly the shard maps of the bundle in force."""
        kept: dict[int, _MapVersions] = {}
        for shard_map in shard_maps:
            version = shard_map.shard_map_version
            known = self._maps.get(version)
            if known is None or known.shard_map is not shard_map:
                fresh = _MapVersions(shard_map)
                if known is not None:
                    fresh.adopt(known)
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
        """Takes the versions that a reply names."""
        known = self._maps.get(map_version)
        if known is not None:
            if len(held) > HELD_VERSIONS_MAX:
                held = tuple(sorted(held)[-HELD_VERSIONS_MAX:])
            known.observe(shard_id, target_id, held, now_s)

    def forget(self, map_version: int, shard_id: str, target_id: str) -> None:
        """Drops what is known of a target that did not answer."""
        known = self._maps.get(map_version)
        if known is not None:
            known.forget(shard_id, target_id)

    def lacking(
        self, snapshot: answers.Snapshot, shard_id: str, now_s: float
    ) -> list[str]:
        """Returns the targets that said lately that they lack a snapshot."""
        known = self._maps.get(snapshot.shard_map_version)
        if known is None or snapshot.index_version == NEWEST:
            return []
        return known.lacking(shard_id, snapshot.index_version, now_s)

    def start(self, now_s: float) -> answers.Snapshot:
        """Returns the snapshot that is expected to cover the most shards.

        Without knowledge this is the newest version on the newest shard map
        that has not been asked lately.
        """
        best = max(
            (found for m in self._maps.values() if (found := m.best())),
            default=None,
        )
        if best is not None:
            return best[1]
        idle_first = max(
            self._maps.values(),
            key=lambda m: (
                m.may_be_asked(now_s),
                m.shard_map.shard_map_version,
            ),
        )
        return answers.Snapshot(idle_first.shard_map.shard_map_version, NEWEST)

    def mark_asked(self, map_version: int, now_s: float) -> None:
        """Notes that a search asks a whole shard map."""
        known = self._maps.get(map_version)
        if known is not None:
            known.asked_s = now_s

    def alternative(
        self, asked: set[int], ratio: float, now_s: float
    ) -> answers.Snapshot | None:
        """Returns a snapshot on another map that may cover more, or None.

        Args:
          asked: Shard maps that the search has asked already.
          ratio: Coverage that the search expects on those.
          now_s: Monotonic time.
        """
        found: list[tuple[float, answers.Snapshot]] = []
        for version, known in self._maps.items():
            if version in asked:
                continue
            best = known.best()
            if best is not None and best[0] > ratio:
                found.append(best)
            elif best is None and known.may_be_asked(now_s):
                found.append((0.0, answers.Snapshot(version, NEWEST)))
        return max(found)[1] if found else None
