"""Measures latency, coverage and extra load on targets under faults."""

import asyncio
import copy
import dataclasses
import pathlib
import tempfile
from typing import Any

from lycheerock_bench import harness
from lycheerock_bench._internal import load
from lycheerock_bench._internal import serving_scenarios

WARM_UP_S = 3.0
FAULT_DELAY_S = 2.0

# Sizes of four existing services, with two replicas per shard.
SHAPES = [
    harness.ServiceShape("guest-portal", "latency", 3, 6, 2, 3, 30),
    harness.ServiceShape("host-desk", "latency", 6, 6, 2, 4, 100),
    harness.ServiceShape("ronda-app", "coverage", 3, 6, 2, 2, 25),
    harness.ServiceShape("agenda", "coverage", 3, 6, 2, 6, 50),
]


@dataclasses.dataclass(frozen=True)
class Variant:
    """Configuration of the instances in one measurement.

    Attributes:
      name: Name on the command line and in the table.
      dispatch_mode: Dispatch mode set in the bundle.
      hedge_ratio: Hedge ratio set for every service of the bundle.
      unlimited: Whether the bundle sets the slot count of each target to its
        connection limit, so that only the share of connections limits the
        in-flight requests.
      source: Root of the source tree of the daemon, or None for this one.
    """

    name: str
    dispatch_mode: str
    hedge_ratio: float
    unlimited: bool
    source: pathlib.Path | None = None


VARIANTS = {
    variant.name: variant
    for variant in (
        # Without hedging, slot limits and target owners.
        Variant("plain", "direct", 0.0, unlimited=True),
        Variant("direct", "direct", 0.05, unlimited=False),
        Variant("owner", "owner", 0.05, unlimited=False),
    )
}


@dataclasses.dataclass(frozen=True)
class Plan:
    """Load and duration of one measurement.

    Attributes:
      instance_count: Number of instances.
      rate_per_s: Searches per second for each service.
      duration_s: Seconds to measure.
      seed: Seed for the arrival times.
    """

    instance_count: int
    rate_per_s: float
    duration_s: float
    seed: int


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Result of one scenario with one variant.

    Attributes:
      scenario: Scenario name.
      variant: Variant name.
      reports: Results of the searches, one report per service.
      extra_load_ratio: Additional shard requests relative to one per shard and
        search, by service.
      connections: Connections opened during the measurement, by service.
      connections_max: Largest number of open connections of any target, by
        service.
      shed: Requests that targets shed, by service.
    """

    scenario: str
    variant: str
    reports: list[load.LoadReport]
    extra_load_ratio: dict[str, float]
    connections: dict[str, int]
    connections_max: dict[str, int]
    shed: dict[str, int]


async def measure(
    scenario: serving_scenarios.Scenario,
    variant: Variant,
    plan: Plan,
) -> Measurement:
    """Measures one scenario with one variant.

    Args:
      scenario: Faults to inject.
      variant: Configuration of the instances.
      plan: Load and duration of the measurement.

    Returns:
      The result.
    """
    with tempfile.TemporaryDirectory(prefix="lycheerock-") as directory:
        deployment = harness.Deployment(
            pathlib.Path(directory), SHAPES, plan.instance_count
        )
        deployment.daemon_source = variant.source
        deployment.installed_bundle = _apply_variant(deployment.bundle, variant)
        try:
            await deployment.start(separate_targets=True)
            return await _run(deployment, scenario, variant, plan)
        finally:
            await deployment.stop()


def _apply_variant(bundle: dict[str, Any], variant: Variant) -> dict[str, Any]:
    changed = copy.deepcopy(bundle)
    changed["dispatch_mode"] = variant.dispatch_mode
    for service in changed["services"]:
        service["hedge_ratio"] = variant.hedge_ratio
        for target in service["targets"]:
            if variant.unlimited:
                target["slot_count"] = target["connection_limit"]
    return changed


async def _run(
    deployment: harness.Deployment,
    scenario: serving_scenarios.Scenario,
    variant: Variant,
    plan: Plan,
) -> Measurement:
    for target in deployment.targets():
        await deployment.set_target_behaviour(
            target["target_id"], **serving_scenarios.BASE_BEHAVIOUR
        )
    addresses = [s["caller_address"] for s in deployment.settings.values()]
    if scenario.is_steady:
        await scenario.inject(deployment)
    await load.run(addresses, _load_specs(plan, WARM_UP_S), plan.seed + 1)
    before = await _fetch_target_counts(deployment)
    injection = asyncio.create_task(_inject(deployment, scenario))
    reports = await load.run(
        addresses, _load_specs(plan, plan.duration_s), plan.seed
    )
    await injection
    after = await _fetch_target_counts(deployment)
    return _summarize(scenario, variant, reports, before, after)


async def _inject(
    deployment: harness.Deployment, scenario: serving_scenarios.Scenario
) -> None:
    if not scenario.is_steady:
        await asyncio.sleep(FAULT_DELAY_S)
        await scenario.inject(deployment)


def _load_specs(plan: Plan, duration_s: float) -> list[load.LoadSpec]:
    return [
        load.LoadSpec(
            shape.name, plan.rate_per_s, duration_s, deadline_ms=1_000
        )
        for shape in SHAPES
    ]


async def _fetch_target_counts(
    deployment: harness.Deployment,
) -> dict[str, dict[str, int]]:
    """Returns the counters of all running targets by target ID."""
    counts_by_target = {}
    for target in deployment.targets():
        target_id = target["target_id"]
        if target_id in deployment.processes:
            counts_by_target[target_id] = (
                await deployment.target_counts(target_id)
            )["counts"]
    return counts_by_target


def _summarize(
    scenario: serving_scenarios.Scenario,
    variant: Variant,
    reports: list[load.LoadReport],
    before: dict[str, dict[str, int]],
    after: dict[str, dict[str, int]],
) -> Measurement:
    def counter_increase(service: str, name: str) -> int:
        return sum(
            counts.get(name, 0) - before.get(target_id, {}).get(name, 0)
            for target_id, counts in after.items()
            if target_id.startswith(service)
        )

    def max_open_connections(service: str) -> int:
        return max(
            counts.get("connections_max", 0)
            for target_id, counts in after.items()
            if target_id.startswith(service)
        )

    shard_counts = {shape.name: shape.shard_count for shape in SHAPES}
    names = [report.service for report in reports]
    required_requests = {
        r.service: r.sent * shard_counts[r.service] for r in reports
    }
    return Measurement(
        scenario=scenario.name,
        variant=variant.name,
        reports=reports,
        extra_load_ratio={
            name: round(
                counter_increase(name, "shard_requests")
                / max(1, required_requests[name])
                - 1,
                4,
            )
            for name in names
        },
        connections={
            name: counter_increase(name, "connections") for name in names
        },
        connections_max={name: max_open_connections(name) for name in names},
        shed={name: counter_increase(name, "shed") for name in names},
    )


def to_table(measurements: list[Measurement]) -> str:
    """Formats measurements as a Markdown table, one row per service."""
    lines = [
        "| scenario | variant | service | sent | done | retries | full "
        "coverage | mean coverage | p50 ms | p99 ms | p99.9 ms | extra load | "
        "connections opened | most open | shed |",
        "| --- | --- | --- " + "| ---: " * 12 + "|",
    ]
    for measurement in measurements:
        lines.extend(
            _format_row(measurement, report) for report in measurement.reports
        )
    return "\n".join(lines)


def _format_row(measurement: Measurement, report: load.LoadReport) -> str:
    name = report.service
    cells = [
        measurement.scenario,
        measurement.variant,
        name,
        report.sent,
        report.outcomes.get("done", 0),
        report.caller_retries,
        f"{report.full_coverage_ratio:.2%}",
        f"{report.coverage_mean_ratio:.2%}",
        report.p50_ms,
        report.p99_ms,
        report.p999_ms,
        f"{measurement.extra_load_ratio[name]:.2%}",
        measurement.connections[name],
        measurement.connections_max[name],
        measurement.shed[name],
    ]
    return "| " + " | ".join(str(cell) for cell in cells) + " |"
