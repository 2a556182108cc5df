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
    """Shows the statistics of each service, summed over all instances.

    Percentiles are computed from the merged histograms, because percentiles of
    single instances cannot be combined.
    """
    replies = await client.call_all("GET", "/ops/stats")
    values, errors = fleet.split(replies)
    merged: dict[str, list[dict[str, Any]]] = {}
    refusals = collections.Counter[str]()
    for value in values.values():
        refusals.update(value["refusals"])
        for service, counts in value["services"].items():
            merged.setdefault(service, []).append(counts)
    rows = [_row(name, merged[name]) for name in sorted(merged)]
    value = {
        "services": [dict(zip(_KEYS, row, strict=True)) for row in rows],
        "refusals": refusals,
    }
    lines = output.table(_HEADERS, rows)
    for kind, count in sorted(refusals.items()):
        lines.append(f"refused: {kind} {count}")
    code = output.DONE if values else output.FAILED
    return output.Report(value, lines, errors, code)


def _row(service: str, parts: list[dict[str, Any]]) -> tuple[object, ...]:
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
