"""Registry of the targets that the store lists."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
import dataclasses

import structlog

from lycheerock._internal.targets import capacity as capacity_lib
from lycheerock._internal.targets import cold_start
from lycheerock._internal.targets import entries
from lycheerock._internal.targets import health as health_lib
from lycheerock._internal.targets import selection
from lycheerock._internal.targets import signals as signals_lib
from lycheerock._internal.upstream import pool as pool_lib

_LOG = structlog.get_logger()

# Minimum connection limit per target, whatever the target's own limit: with a
# second connection a stalled request does not block the next one.
CONNECTIONS_MIN = 2

# Fraction of a service's rate for cold targets that the instances use. The rest
# covers requests that arrive closer together than they were sent.
COLD_RATE_USED_RATIO = 0.8

# Maximum number of removed starts of targets whose announcements are kept, in
# case that the store lists the same start again.
REMOVED_STARTS_MAX = 1_024

_StartKey = tuple[str, int, str, int]


@dataclasses.dataclass(eq=False)
class Target:
    """A listed target.

    Attributes:
      entry: Entry of the target in the store.
      health: Health of the target as observed by this instance.
      pool: Connection pool of the target.
      distance: Network distance to the target.
      region: Region of the target, or None if its zone is unknown.
      pacer: Spaces the requests while the target is cold.
      signals: What this start of the target has stated in its responses.
      capacity: Learned number of requests that it handles well.
    """

    entry: entries.TargetEntry
    health: health_lib.TargetHealth
    pool: pool_lib.Pool
    distance: selection.Distance
    region: str | None
    pacer: cold_start.ColdStartPacer
    signals: signals_lib.TargetSignals
    capacity: capacity_lib.CapacityEstimate


class Registry:
    """Holds the targets; only discovery adds and removes them."""

    def __init__(
        self,
        distance_to: Callable[[str], selection.Distance],
        open_pool: Callable[[str, int], pool_lib.Pool],
        region_by_zone: Mapping[str, str],
        drain_s: float = 0.0,
    ) -> None:
        """Creates an empty registry.

        Args:
          distance_to: Returns the network distance to a zone.
          open_pool: Creates the connection pool of an address.
          region_by_zone: Region of each zone.
          drain_s: Time for which a target that announced in a response that it
            is leaving may be used if its service has no other target.
        """
        self.drain_s = drain_s
        self.capacity_of: Callable[[Target, float], float | None] = (
            lambda _target, _now_s: None
        )
        self._removed_signals: dict[_StartKey, signals_lib.TargetSignals] = {}
        self.signal_counts = {"leaving": 0, "backoff": 0}
        self._distance_to = distance_to
        self._region_by_zone = region_by_zone
        self._open_pool = open_pool
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, dict[str, Target]] = {}
        self._limits: Mapping[str, int] = {}
        self._cold_rates_per_s: Mapping[str, float] = {}
        self._instance_count = 1
        self._planned_limit: Callable[[str, str | None], int | None] = (
            lambda _service, _region: None
        )
        self._planned_sharers: Callable[[str], float | None] = lambda _: None
        self._evacuated_zones: AbstractSet[str] = frozenset()

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, target_id: str) -> Target | None:
        """Returns the target with the given id, or None if it is not listed."""
        return self._targets.get(target_id)

    def all(self) -> Iterable[Target]:
        """Returns all listed targets."""
        return self._targets.values()

    def ids(self) -> frozenset[str]:
        """Returns the ids of all listed targets."""
        return frozenset(self._targets)

    def candidates(
        self,
        service: str,
        now_s: float,
        allowed_regions: AbstractSet[str] = frozenset(),
        *,
        with_last_resort: bool = False,
    ) -> list[selection.Candidate]:
        """Returns the selectable targets of a service.

        Left out are targets that have announced that they will stop, those that
        asked for a backoff, those in evacuated zones or outside the allowed
        regions, cold ones that have just got a request, and those to which this
        instance may not connect.

        Args:
          service: Name of the service.
          now_s: Current monotonic time.
          allowed_regions: Regions whose targets may be selected; empty if all
            may.
          with_last_resort: Whether to return leaving targets, as long as they
            may be used, if there are no others.
        """
        sendable = [
            target
            for target in self._permitted(service, allowed_regions)
            if target.pool.limit > 0
            and target.pacer.may_send(now_s)
            and target.signals.may_send(now_s)
        ]
        chosen = [t for t in sendable if t.signals.leaving_since_s is None]
        if not chosen and with_last_resort:
            chosen = [
                t
                for t in sendable
                if t.signals.may_be_last_resort(now_s, self.drain_s)
            ]
        return [
            selection.Candidate(
                target.entry.target_id,
                target.health,
                target.distance,
                target.entry.slot_count,
                target.pacer.is_cold(now_s),
                self.capacity_of(target, now_s),
            )
            for target in chosen
        ]

    def _permitted(
        self, service: str, allowed_regions: AbstractSet[str]
    ) -> list[Target]:
        """Returns the listed targets whose place permits requests."""
        return [
            target
            for target in self._by_service.get(service, {}).values()
            if target.entry.zone not in self._evacuated_zones
            and (not allowed_regions or target.region in allowed_regions)
        ]

    def backoff_left_s(
        self, service: str, now_s: float, allowed_regions: AbstractSet[str]
    ) -> float:
        """Returns the time until the first backoff of a service's targets ends.

        The result is 0 if a target has no backoff or if there are no targets.
        """
        return min(
            (
                max(0.0, target.signals.backoff_until_s - now_s)
                for target in self._permitted(service, allowed_regions)
                if target.signals.leaving_since_s is None
            ),
            default=0.0,
        )

    def may_send(self, target: Target, chosen_s: float, now_s: float) -> bool:
        """Returns whether a request may be sent to the target chosen for it.

        Args:
          target: The target.
          chosen_s: Monotonic time at which the target was chosen.
          now_s: Current monotonic time.
        """
        entry, signals = target.entry, target.signals
        is_listed = self._targets.get(entry.target_id) is target
        if not is_listed or entry.is_leaving or signals.is_backing_off(now_s):
            return False
        since_s = signals.leaving_since_s
        if since_s is None:
            return True
        return chosen_s >= since_s and signals.may_be_last_resort(
            now_s, self.drain_s
        )

    def record_request(self, target: Target, now_s: float) -> None:
        """Records that a request is sent to a target."""
        target.signals.record_request(now_s)
        target.pacer.record_request(
            now_s, self._cold_interval_s(target.entry.service)
        )

    def set_evacuated_zones(self, zones: AbstractSet[str]) -> None:
        """Sets the zones whose targets are not selected."""
        self._evacuated_zones = zones

    def put(self, entry: entries.TargetEntry, now_s: float) -> None:
        """Adds or updates a target.

        Args:
          entry: Current entry of the target in the store.
          now_s: Current monotonic time.
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
                    source="store",
                )
        else:
            self.remove(entry.target_id, "restarted")
            known = self._add(entry)
        if entry.warmup_left_s > 0.0:
            known.pacer.start(
                now_s + entry.warmup_left_s,
                now_s,
                self._cold_interval_s(entry.service),
            )
        if entry.is_leaving:
            self._stop_selecting(known)
        else:
            selectable = self._by_service.setdefault(entry.service, {})
            selectable[entry.target_id] = known

    def _add(self, entry: entries.TargetEntry) -> Target:
        distance = self._distance_to(entry.zone)
        target = Target(
            entry,
            health_lib.TargetHealth(selection.EXPECTED_SLOWNESS[distance]),
            self._open_pool(entry.host, entry.port),
            distance,
            self._region_by_zone.get(entry.zone),
            cold_start.ColdStartPacer(),
            self._removed_signals.pop(
                _start_key(entry), signals_lib.TargetSignals()
            ),
            capacity_lib.CapacityEstimate(
                entry.slot_count, self._stated_limit(entry)
            ),
        )
        target.pool.limit = self._connection_limit(entry.service, target.region)
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
        """Removes a target; its in-flight requests continue.

        Args:
          target_id: Id of the target.
          reason: Reason that is logged.
        """
        target = self._targets.pop(target_id, None)
        if target is None:
            return
        self._stop_selecting(target)
        if not target.signals.is_empty:
            # The same start may be listed again, for example if its entry
            # expired during an outage of the store.
            self._removed_signals[_start_key(target.entry)] = target.signals
            if len(self._removed_signals) > REMOVED_STARTS_MAX:
                del self._removed_signals[next(iter(self._removed_signals))]
        _LOG.info(
            "target_removed",
            target=target_id,
            service=target.entry.service,
            reason=reason,
            in_flight=target.health.in_flight,
        )

    def set_limits(
        self,
        connection_limits: Mapping[str, int],
        cold_rates_per_s: Mapping[str, float],
        instance_count: int,
    ) -> None:
        """Sets the limits of all targets to this instance's share.

        Args:
          connection_limits: Number of connections that a target accepts from
            all instances together, by service.
          cold_rates_per_s: Requests per second that a cold target accepts from
            all instances together, by service.
          instance_count: Number of instances that share these limits.
        """
        self._limits = connection_limits
        self._cold_rates_per_s = cold_rates_per_s
        self._instance_count = max(1, instance_count)
        for target in self._targets.values():
            target.pool.limit = self._connection_limit(
                target.entry.service, target.region
            )
            target.pool.close_surplus()
            target.capacity.set_limits(
                target.entry.slot_count, self._stated_limit(target.entry)
            )

    def of_service(self, service: str) -> Iterable[Target]:
        """Returns the targets of a service that are not draining."""
        return self._by_service.get(service, {}).values()

    def _stated_limit(self, entry: entries.TargetEntry) -> int:
        return self._limits.get(entry.service, 0) or entry.slot_count

    def set_share_plan(
        self,
        planned_limit: Callable[[str, str | None], int | None],
        planned_sharers: Callable[[str], float | None],
    ) -> None:
        """Sets how limits are divided for services with unequal shares.

        Args:
          planned_limit: Returns the connection limit of this instance for a
            target, given its service and region, or None if all instances share
            equally. A target whose limit is 0 is not selected.
          planned_sharers: Returns by how many instances the rate for cold
            targets of a service is divided, or None.
        """
        self._planned_limit = planned_limit
        self._planned_sharers = planned_sharers

    def _connection_limit(self, service: str, region: str | None) -> int:
        planned = self._planned_limit(service, region)
        if planned is not None:
            return planned
        limit = self._limits.get(service, 0)
        return max(CONNECTIONS_MIN, limit // self._instance_count)

    def _cold_interval_s(self, service: str) -> float:
        rate_per_s = self._cold_rates_per_s.get(service)
        if rate_per_s is None:
            return 0.0
        sharers = self._planned_sharers(service) or self._instance_count
        return sharers / (COLD_RATE_USED_RATIO * rate_per_s)

    def _stop_selecting(self, target: Target) -> None:
        selectable = self._by_service.get(target.entry.service, {})
        if selectable.get(target.entry.target_id) is target:
            del selectable[target.entry.target_id]
        target.pool.close()


def _start_key(entry: entries.TargetEntry) -> _StartKey:
    return (entry.target_id, entry.started_ms, entry.host, entry.port)


def _is_same_start(
    known: entries.TargetEntry, entry: entries.TargetEntry
) -> bool:
    return (known.started_ms, known.host, known.port, known.service) == (
        entry.started_ms,
        entry.host,
        entry.port,
        entry.service,
    )
