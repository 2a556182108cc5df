"""Metrics and state dump of a gateway process."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import time
from typing import Any

import aiohttp.web
import msgspec

from lycheerock._internal.gateway import request_log
from lycheerock._internal.ingress import callers as callers_lib
from lycheerock._internal.operator import exposition
from lycheerock._internal.targets import capacity_table
from lycheerock._internal.targets import registry as registry_lib

METRICS_PATH = "/metrics"
STATE_PATH = "/state"


def metric_families(
    log: request_log.RequestLog,
    registry: registry_lib.Registry,
    dropped_line_count: int,
    gate: callers_lib.IngressGate,
) -> Iterator[exposition.Family]:
    """Yields the metrics of requests, targets and callers, except latencies.

    Args:
      log: Request log, which counts requests and attempts.
      registry: Registry of targets.
      dropped_line_count: Log lines that were dropped because the output
        was blocked or closed.
      gate: Limits on callers.
    """
    yield exposition.Family(
        "lycheerock_gateway_requests_total",
        "counter",
        "Requests of callers by route, outcome and status.",
        tuple(
            ({"route": route, "outcome": outcome, "status": str(status)}, count)
            for (route, outcome, status), count in sorted(log.outcomes.items())
        ),
    )
    yield exposition.Family(
        "lycheerock_gateway_attempts_total",
        "counter",
        "Requests to targets by cause and end.",
        tuple(
            ({"cause": cause, "end": end}, count)
            for (cause, end), count in sorted(log.attempts.items())
        ),
    )
    yield exposition.Family(
        "lycheerock_targets",
        "gauge",
        "Targets that the store lists.",
        (({}, len(registry)),),
    )
    yield exposition.counter_family(
        "lycheerock_target_announcements_total",
        "Starts of targets that announced in a response that they are leaving, "
        "and backoffs that targets asked for.",
        "kind",
        registry.signal_counts,
    )
    yield exposition.Family(
        "lycheerock_log_lines_dropped_total",
        "counter",
        "Log lines that were dropped because the output was blocked or closed.",
        (({}, dropped_line_count),),
    )
    yield exposition.counter_family(
        "lycheerock_gateway_callers_refused_total",
        "Requests refused and connections closed by limits, by reason.",
        "reason",
        gate.refused,
    )
    yield exposition.Family(
        "lycheerock_gateway_caller_connections",
        "gauge",
        "Open connections of callers.",
        (({}, len(gate.table)),),
    )
    yield exposition.Family(
        "lycheerock_gateway_callers_held_bytes",
        "gauge",
        "Memory that unfinished requests of callers hold.",
        (({}, gate.table.held_bytes),),
    )


def capacity_families(
    registry: registry_lib.Registry,
    capacities: capacity_table.CapacityTable,
) -> Iterator[exposition.Family]:
    """Yields the metrics of the capacities of targets.

    Args:
      registry: Registry of targets.
      capacities: Capacities of the targets.
    """
    yield exposition.Family(
        "lycheerock_target_capacity",
        "gauge",
        "Capacities by which targets are selected, where they are learned or "
        "set: minimum, mean and maximum.",
        tuple(
            ({"service": service, "of": key}, round(value, 2))
            for service, summary in capacities.summaries(
                registry.all(), time.monotonic()
            ).items()
            for key, value in summary.items()
        ),
    )
    yield exposition.Family(
        "lycheerock_capacity_choices_total",
        "counter",
        "Choices that capacities changed, among those compared each second.",
        (({}, capacities.changed_choice_count),),
    )


def workspace_families(
    counts: Mapping[tuple[str, str], int],
) -> Iterator[exposition.Family]:
    """Yields the metrics of the caps of workspaces.

    Args:
      counts: Requests by workspace and result.
    """
    yield exposition.Family(
        "lycheerock_workspace_requests_total",
        "counter",
        "Requests of capped workspaces by result; small ones are summed.",
        tuple(
            ({"workspace": workspace, "result": result}, count)
            for (workspace, result), count in sorted(counts.items())
        ),
    )


def store_families(
    platform_calls: Mapping[str, int],
    unreadable_entries: Mapping[tuple[str, str], int],
) -> Iterator[exposition.Family]:
    """Yields the metrics of the platform's store.

    Args:
      platform_calls: Calls to the store by kind.
      unreadable_entries: Unreadable versions of the store's entries by kind of
        object and reason.
    """
    yield exposition.counter_family(
        "lycheerock_platform_calls_total",
        "Calls to the platform's store by kind.",
        "kind",
        platform_calls,
    )
    yield exposition.Family(
        "lycheerock_store_entries_unreadable_total",
        "counter",
        "Unreadable versions of the store's entries by kind and reason.",
        tuple(
            ({"kind": kind, "reason": reason}, count)
            for (kind, reason), count in sorted(unreadable_entries.items())
        ),
    )


def describe_targets(
    registry: registry_lib.Registry, capacities: capacity_table.CapacityTable
) -> list[dict[str, Any]]:
    """Returns the targets as JSON-compatible values for the state dump."""
    capacities.retain(registry.ids())
    now_s = time.monotonic()
    return [
        {
            "target": target.entry.target_id,
            "service": target.entry.service,
            "zone": target.entry.zone,
            "is_leaving": target.entry.is_leaving,
            "announced_leaving_ms": _age_ms(
                target.signals.leaving_since_s, now_s
            ),
            "backoff_ms": max(
                0, round((target.signals.backoff_until_s - now_s) * 1000)
            ),
            "slowness": round(target.health.slowness(now_s), 2),
            "failure_ratio": round(target.health.failure_ratio(now_s), 2),
            "ejected_ms": max(
                0, round((target.health.ejected_until_s - now_s) * 1000)
            ),
            "in_flight": target.health.in_flight,
            "connections": target.pool.open_count,
            "connection_limit": target.pool.limit,
            "capacity": capacities.describe(target, now_s),
        }
        for target in registry.all()
    ]


def _age_ms(since_s: float | None, now_s: float) -> int | None:
    return None if since_s is None else round((now_s - since_s) * 1000)


def build(
    metrics: Callable[[], str], state: Callable[[], Mapping[str, Any]]
) -> aiohttp.web.Application:
    """Builds the web application for operators.

    Args:
      metrics: Returns the metrics in the text exposition format.
      state: Returns the state of the process as JSON-compatible values.
    """

    async def show_metrics(
        _request: aiohttp.web.Request,
    ) -> aiohttp.web.Response:
        response = aiohttp.web.Response(text=metrics())
        response.headers["Content-Type"] = exposition.CONTENT_TYPE
        return response

    async def show_state(
        _request: aiohttp.web.Request,
    ) -> aiohttp.web.Response:
        return aiohttp.web.Response(
            body=msgspec.json.encode(state()), content_type="application/json"
        )

    app = aiohttp.web.Application()
    app.router.add_get(METRICS_PATH, show_metrics)
    app.router.add_get(STATE_PATH, show_state)
    return app
