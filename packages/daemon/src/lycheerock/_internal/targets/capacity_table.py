"""Capacities of all targets: where they are learned, pinned and reported."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any

import structlog

from lycheerock._internal.targets import capacity as capacity_lib
from lycheerock._internal.targets import registry as registry_lib
from lycheerock._internal.targets import selection

_LOG = structlog.get_logger()

# A change of an estimate is logged once it differs by this much from the value
# that was logged last, and at most once in LOG_INTERVAL_S for each target.
LOG_DIFFERENCE = 1.0
LOG_INTERVAL_S = 5.0

# Interval at which one choice is compared with that by the stated slots.
COMPARISON_INTERVAL_S = 1.0

# Maximum number of services in the metrics. The largest deployment has 54
# shards and a few other services.
SERVICES_REPORTED_MAX = 100


class CapacityTable:
    """Decides which capacities apply, and selects targets by them."""

    def __init__(
        self, instance_id: str, pins: Mapping[str, float], *, is_set: bool
    ) -> None:
        """Creates a table that applies nowhere but to pinned targets.

        Args:
          instance_id: Name of this instance.
          pins: Capacities set by operators, by target id or service.
          is_set: The setting `learn_target_capacity`.
        """
        self._instance_id = instance_id
        self._pins = pins
        self._is_set = is_set
        self._has_workspaces = False
        self._connection_limits: Mapping[str, int] = {}
        self._instance_count = 0
        self._logged: dict[str, tuple[float, float]] = {}
        self._next_comparison_s = 0.0
        self.changed_choice_count = 0

    def configure(
        self,
        connection_limits: Mapping[str, int],
        instance_count: int,
        *,
        has_workspaces: bool = False,
    ) -> None:
        """Sets what decides where capacities are learned.

        Args:
          connection_limits: Number of connections that a target accepts, by
            service.
          instance_count: Number of registered instances.
          has_workspaces: Whether the configuration has workspaces.
        """
        self._connection_limits = connection_limits
        self._instance_count = instance_count
        self._has_workspaces = has_workspaces

    def is_learned(self, service: str) -> bool:
        """Returns whether the capacities of a service's targets are learned."""
        return capacity_lib.is_learned(
            is_set=self._is_set,
            has_workspaces=self._has_workspaces,
            connection_limit=self._connection_limits.get(service, 0),
            instance_count=self._instance_count,
        )

    def capacity(
        self, target: registry_lib.Target, now_s: float
    ) -> float | None:
        """Returns the capacity to apply, or None if the slots apply."""
        entry = target.entry
        pin = capacity_lib.pinned(self._pins, entry.target_id, entry.service)
        if pin is not None:
            return pin
        if self.is_learned(entry.service):
            return target.capacity.value(now_s)
        return None

    def select(
        self,
        candidates: Sequence[selection.Candidate],
        now_s: float,
        tried_ids: set[str],
        near_ratio: float,
    ) -> str | None:
        """Returns the id of the target to send a request to.

        Args:
          candidates: Targets of the service.
          now_s: Current monotonic time.
          tried_ids: Targets to which this request was already sent.
          near_ratio: Expected latency up to which the nearest targets are
            preferred.
        """
        if all(c.capacity is None for c in candidates):
            return selection.select(candidates, now_s, tried_ids)
        chosen = selection.select_by_capacity(
            candidates, now_s, tried_ids, near_ratio, self._instance_id
        )
        if now_s >= self._next_comparison_s:
            self._next_comparison_s = now_s + COMPARISON_INTERVAL_S
            self._compare(chosen, candidates, now_s, tried_ids)
        return chosen

    def rank(
        self,
        candidates: Sequence[selection.Candidate],
        now_s: float,
        count: int,
    ) -> list[str]:
        """Returns the ids of the targets that are likely to be selected.

        Args:
          candidates: Targets of the service.
          now_s: Current monotonic time.
          count: Maximum number of targets to return.
        """
        if all(c.capacity is None for c in candidates):
            return selection.rank(candidates, now_s, count)
        return selection.rank_by_capacity(
            candidates, now_s, count, self._instance_id
        )

    def _compare(
        self,
        chosen: str | None,
        candidates: Sequence[selection.Candidate],
        now_s: float,
        tried_ids: set[str],
    ) -> None:
        by_slots = selection.select(
            [dataclasses.replace(c, capacity=None) for c in candidates],
            now_s,
            tried_ids,
        )
        if chosen == by_slots:
            return
        self.changed_choice_count += 1
        _LOG.info(
            "capacity_choice",
            target=chosen,
            by_slots=by_slots,
            candidates=[
                f"{c.target_id} capacity {c.capacity or c.slot_count:.1f} "
                f"in_flight {c.health.in_flight} "
                f"latency {selection.expected_latency(c, now_s):.2f}"
                for c in candidates
            ],
        )

    def observe(
        self,
        target: registry_lib.Target,
        peers: Iterable[registry_lib.Target],
        latency_ratio: float,
        concurrency: int,
        now_s: float,
    ) -> None:
        """Records the latency of a reply if capacities are learned.

        Args:
          target: The target that replied.
          peers: All targets of its service.
          latency_ratio: Latency as a multiple of the median of the route.
          concurrency: Requests of this instance at the target when the request
            was sent, including this one.
          now_s: Current monotonic time.
        """
        entry = target.entry
        if not self.is_learned(entry.service) or target.pacer.is_cold(now_s):
            return
        others = [p.health.slowdown(now_s) for p in peers if p is not target]
        peer_ratio = capacity_lib.median(others) if others else 1.0
        estimate = target.capacity
        if estimate.observe(now_s, latency_ratio, peer_ratio, concurrency):
            self._log_change(target, peer_ratio, now_s)

    def _log_change(
        self, target: registry_lib.Target, peer_ratio: float, now_s: float
    ) -> None:
        entry, value = target.entry, target.capacity.value(now_s)
        previous, logged_s = self._logged.get(
            entry.target_id, (float(entry.slot_count), -LOG_INTERVAL_S)
        )
        if (
            abs(value - previous) < LOG_DIFFERENCE
            or now_s - logged_s < LOG_INTERVAL_S
        ):
            return
        self._logged[entry.target_id] = (value, now_s)
        _LOG.info(
            "target_capacity",
            target=entry.target_id,
            service=entry.service,
            capacity=round(value, 1),
            previous=round(previous, 1),
            slots=entry.slot_count,
            growth=round(target.capacity.growth, 2),
            low_concurrency_ratio=round(target.capacity.base_ratio, 2),
            peer_ratio=round(peer_ratio, 2),
            evidence_ms=round(target.capacity.evidence_span_s * 1000),
        )

    def retain(self, target_ids: frozenset[str]) -> None:
        """Drops what is kept of targets that are no longer listed."""
        for target_id in self._logged.keys() - target_ids:
            del self._logged[target_id]

    def describe(
        self, target: registry_lib.Target, now_s: float
    ) -> dict[str, Any] | None:
        """Returns the capacity of a target for the state dump, or None."""
        entry = target.entry
        applied = self.capacity(target, now_s)
        if applied is None:
            return None
        age_s = target.capacity.evidence_age_s(now_s)
        return {
            "applied": round(applied, 1),
            "is_pinned": capacity_lib.pinned(
                self._pins, entry.target_id, entry.service
            )
            is not None,
            "estimate": round(target.capacity.value(now_s), 1),
            "slots": entry.slot_count,
            "low_concurrency_ratio": round(target.capacity.base_ratio, 2),
            "evidence_age_ms": None if age_s is None else round(age_s * 1000),
        }

    def summaries(
        self, targets: Iterable[registry_lib.Target], now_s: float
    ) -> dict[str, dict[str, float]]:
        """Returns minimum, mean and maximum of the capacities by service.

        At most SERVICES_REPORTED_MAX services are returned, by name.

        Args:
          targets: All listed targets.
          now_s: Current monotonic time.
        """
        values: dict[str, list[float]] = {}
        for target in targets:
            value = self.capacity(target, now_s)
            if value is not None:
                values.setdefault(target.entry.service, []).append(value)
        return {
            service: {
                "min": min(values[service]),
                "mean": sum(values[service]) / len(values[service]),
                "max": max(values[service]),
            }
            for service in sorted(values)[:SERVICES_REPORTED_MAX]
        }
