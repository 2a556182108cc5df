"""The targets that the store lists, with health and connections."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import structlog

from lycheerock._internal.targets import entries
from lycheerock._internal.targets import health as health_lib
from lycheerock._internal.targets import selection
from lycheerock._internal.upstream import pool as pool_lib

_LOG = structlog.get_logger()

# Fewest connections to one target, whatever its limit: one for a request and
# one so that a stalled request does not block the next.
CONNECTIONS_MIN = 2


@dataclasses.dataclass(eq=False)
class Target:
    """A listed target.

    Attributes:
      entry: What the store lists.
      health: What this instance has seen of it.
      pool: Connections to it.
      distance: How far it is.
      warm_s: Monotonic time at which it stops being slow.
    """

    entry: entries.TargetEntry
    health: health_lib.TargetHealth
    pool: pool_lib.Pool
    distance: selection.Distance
    warm_s: float


class Registry:
    """Owns the targets; only discovery changes which there are."""

    def __init__(
        self,
        measure: Callable[[str], selection.Distance],
        open_pool: Callable[[str, int], pool_lib.Pool],
    ) -> None:
        self._measure = measure
        self._open_pool = open_pool
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, dict[str, Target]] = {}
        self._limits: Mapping[str, int] = {}
        self._instance_count = 1

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, target_id: str) -> Target | None:
        """Returns a listed target, or None."""
        return self._targets.get(target_id)

    def all(self) -> Iterable[Target]:
        """Returns all listed targets."""
        return self._targets.values()

    def ids(self) -> frozenset[str]:
        """Returns the ids of all listed targets."""
        return frozenset(self._targets)

    def candidates(
        self, service: str, now_s: float
    ) -> list[selection.Candidate]:
        """Returns the targets of a service for `selection.select`."""
        return [
            selection.Candidate(
                target_id,
                target.health,
                target.distance,
                target.entry.slot_count,
                now_s < target.warm_s,
            )
            for target_id, target in self._by_service.get(service, {}).items()
        ]

    def put(self, entry: entries.TargetEntry, now_s: float) -> None:
        """Adds or changes a target.

        Args:
          entry: What the store lists now.
          now_s: Monotonic time.
        """
        known = self._targets.get(entry.target_id)
        if known is not None and _is_same_start(known.entry, entry):
            was_leaving = known.entry.is_leaving
            known.entry = entry
            if entry.is_leaving and not was_leaving:
                _LOG.info(
                    "target_leaving",
                    target=entry.target_id,
                    service=entry.service,
                    in_flight=known.health.in_flight,
                )
        else:
            self.remove(entry.target_id, "restarted")
            known = self._add(entry, now_s)
        if entry.is_leaving:
            self._withdraw(known)
        else:
            serving = self._by_service.setdefault(entry.service, {})
            serving[entry.target_id] = known

    def _add(self, entry: entries.TargetEntry, now_s: float) -> Target:
        distance = self._measure(entry.zone)
        target = Target(
            entry,
            health_lib.TargetHealth(selection.EXPECTED_SLOWNESS[distance]),
            self._open_pool(entry.host, entry.port),
            distance,
            now_s + entry.warmup_left_s,
        )
        target.pool.limit = self._connection_limit(entry.service)
        self._targets[entry.target_id] = target
        _LOG.info(
            "target_added",
            target=entry.target_id,
            service=entry.service,
            target_zone=entry.zone,
            is_leaving=entry.is_leaving,
        )
        return target

    def remove(self, target_id: str, reason: str) -> None:
        """Forgets a target; requests in flight go on.

        Args:
          target_id: The target.
          reason: Why, for the log.
        """
        target = self._targets.pop(target_id, None)
        if target is None:
            return
        self._withdraw(target)
        _LOG.info(
            "target_removed",
            target=target_id,
            service=target.entry.service,
            reason=reason,
            in_flight=target.health.in_flight,
        )

    def set_connection_limits(
        self, limits: Mapping[str, int], instance_count: int
    ) -> None:
        """Sets this instance's share of each target's connections.

        Args:
          limits: Connections that a target accepts from all callers, by
            service.
          instance_count: Instances that share them.
        """
        self._limits = limits
        self._instance_count = max(1, instance_count)
        for target in self._targets.values():
            limit = self._connection_limit(target.entry.service)
            target.pool.limit = limit

    def _connection_limit(self, service: str) -> int:
        limit = self._limits.get(service, 0)
        return max(CONNECTIONS_MIN, limit // self._instance_count)

    def _withdraw(self, target: Target) -> None:
        serving = self._by_service.get(target.entry.service, {})
        if serving.get(target.entry.target_id) is target:
            del serving[target.entry.target_id]
        target.pool.close()


def _is_same_start(
    known: entries.TargetEntry, entry: entries.TargetEntry
) -> bool:
    return (known.started_ms, known.host, known.port, known.service) == (
        entry.started_ms,
        entry.host,
        entry.port,
        entry.service,
    )
