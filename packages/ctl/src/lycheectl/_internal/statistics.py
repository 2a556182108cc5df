"""Request statistics per service, aggregated over all instances."""

import collections
from typing import Any

from hdrh import histogram

from lycheectl._internal import client as client_lib
from lycheectl._internal import fleet
from lycheectl._internal import output

_HEADERS = (
    "SERVICE", "REQUESTS", "DONE", "NOT RUN", "UNKNOWN", "P50 MS", "P99 MS",
    "P99.9 MS", "COVERED %", "EXTRA %",
)  # fmt: skip
_KEYS = (
    "service", "requests", "done", "not_run", "unknown", "p50_ms", "p99_ms",
    "p999_ms", "covered_percent", "extra_percent",
)  # fmt: skip


async def statistics(client: client_lib.Client) -> output.Report:
    """Shows the statistics of each service, aggregated over all instances.

    Percentiles are computed from the merged histograms, because percentiles of
    individual instances cannot be combined.
    """
    replies = await client.call_all("GET", "/ops/stats")
    values, errors = fleet.split(replies)
    parts_by_service: dict[str, list[dict[str, Any]]] = {}
    refusals = collections.Counter[str]()
    for value in values.values():
        refusals.update(value["refusals"])
        for service, part in value["services"].items():
            parts_by_service.setdefault(service, []).append(part)
    rows = [
        _row(name, parts_by_service[name]) for name in sorted(parts_by_service)
    ]
    value = {
        "services": [dict(zip(_KEYS, row, strict=True)) for row in rows],
        "refusals": refusals,
    }
    lines = output.table(_HEADERS, rows)
    for kind, count in sorted(refusals.items()):
        lines.append(f"refused: {kind} {count}")
    exit_code = output.EXIT_SUCCESS if values else output.EXIT_FAILURE
    return output.Report(value, lines, errors, exit_code)


def _row(service: str, parts: list[dict[str, Any]]) -> tuple[object, ...]:
    """Returns the table row of a service.

    Args:
      service: Name of the service.
      parts: Statistics of the service on each instance; the latencies in the
        histograms are in microseconds.

    Returns:
      One value per column.
    """
    outcomes = collections.Counter[str]()
    for part in parts:
        outcomes.update(part["outcomes"])
    latency = _merge_histograms(parts)
    covered, lacking = _sum(parts, "covered"), _sum(parts, "lacking")
    first, extra = _sum(parts, "first_attempts"), _sum(parts, "extra_attempts")
    return (
        service,
        outcomes.total(),
        outcomes["done"],
        outcomes["not_run"],
        outcomes["unknown"],
        *(latency.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)),
        _percent(covered, covered + lacking),
        _percent(extra, first),
    )


def _merge_histograms(parts: list[dict[str, Any]]) -> histogram.HdrHistogram:
    histograms = [histogram.HdrHistogram.decode(p["histogram"]) for p in parts]
    for other in histograms[1:]:
        histograms[0].add(other)
    return histograms[0]


def _sum(parts: list[dict[str, Any]], key: str) -> int:
    return sum(part[key] for part in parts)


def _percent(part: int, whole: int) -> float | None:
    return 100 * part / whole if whole else None
