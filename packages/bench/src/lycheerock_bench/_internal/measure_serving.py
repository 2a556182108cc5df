"""Measures latency, coverage and extra target load under faults."""

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
FAULT_AFTER_S = 2.0

# Sizes of four of the services of today, with two replicas per shard.
SHAPES = [
    harness.ServiceShape("guest-portal", "latency", 3, 6, 2, 3, 30),
    harness.ServiceShape("host-desk", "latency", 6, 6, 2, 4, 100),
    harness.ServiceShape("ronda-app", "coverage", 3, 6, 2, 2, 25),
    harness.ServiceShape("agenda", "coverage", 3, 6, 2, 6, 50),
]


@dataclasses.dataclass(frozen=True)
class Variant:
    """One way to run the instances.

    Attributes:
      name: Name in the report.
      dispatch_mode: Value for the bundle.
      hedge_ratio: Value for every service of the bundle.
      unlimited: Whether instances take the connection limit for the slot count,
        so that only the connection share limits the requests in flight.
      source: Root of the tree whose daemon is run, or None for this one.
    """

    name: str
    dispatch_mode: str
    hedge_ratio: float
    unlimited: bool
    source: pathlib.Path | None = None


VARIANTS = {
    variant.name: variant
    for variant in (
        # Neither hedges nor limits nor owners.
        Variant("plain", "direct", 0.0, unlimited=True),
        Variant("direct", "direct", 0.05, unlimited=False),
        Variant("owner", "owner", 0.05, unlimited=False),
    )
}


@dataclasses.dataclass(frozen=True)
class Plan:
    """Size of one measurement.

    Attributes:
      instance_count: Number of instances.
      rate_per_s: Searches per second and service.
      duration_s: Measured time.
      seed: Seed of the arrivals.
    """

    instance_count: int
    rate_per_s: float
    duration_s: float
    seed: int


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Result of one scenario under one variant.

    Attributes:
      scenario: Scenario name.
      variant: Variant name.
      reports: What the callers saw, per service.
      extra_load_ratio: Target requests beyond one per shard and search, per
        service.
      connections: Connections opened over the measured time, per service.
      connections_max: Most open connections of any target, per service.
      shed: Requests that targets shed, per service.
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
    """Runs one scenario under one variant.

    Args:
      scenario: The scenario.
      variant: The variant.
      plan: Size of the measurement.

    Returns:
      The measurement.
    """
    with tempfile.TemporaryDirectory(prefix="lycheerock-") as directory:
        deployment = harness.Deployment(
            pathlib.Path(directory), SHAPES, plan.instance_count
        )
        deployment.daemon_source = variant.source
        deployment.installed_bundle = _bundle(deployment.bundle, variant)
        try:
            await deployment.start(separate_targets=True)
            return await _run(deployment, scenario, variant, plan)
        finally:
            await deployment.stop()


def _bundle(bundle: dict[str, Any], variant: Variant) -> dict[str, Any]:
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
    entries = [s["caller_address"] for s in deployment.settings.values()]
    if scenario.is_steady:
        await scenario.inject(deployment)
    await load.run(entries, _specs(plan, WARM_UP_S), plan.seed + 1)
    before = await _counts(deployment)
    injection = asyncio.create_task(_inject(deployment, scenario))
    reports = await load.run(entries, _specs(plan, plan.duration_s), plan.seed)
    await injection
    after = await _counts(deployment)
    return _summarise(scenario, variant, reports, before, after)


async def _inject(
    deployment: harness.Deployment, scenario: serving_scenarios.Scenario
) -> None:
    if not scenario.is_steady:
        await asyncio.sleep(FAULT_AFTER_S)
        await scenario.inject(deployment)


def _specs(plan: Plan, duration_s: float) -> list[load.LoadSpec]:
    return [
        load.LoadSpec(
            shape.name, plan.rate_per_s, duration_s, deadline_ms=1_000
        )
        for shape in SHAPES
    ]


async def _counts(deployment: harness.Deployment) -> dict[str, dict[str, int]]:
    """Returns the counters of all targets that run, by target id."""
    found = {}
    for target in deployment.targets():
        target_id = target["target_id"]
        if target_id in deployment.processes:
            found[target_id] = (await deployment.target_counts(target_id))[
                "counts"
            ]
    return found


def _summarise(
    scenario: serving_scenarios.Scenario,
    variant: Variant,
    reports: list[load.LoadReport],
    before: dict[str, dict[str, int]],
    after: dict[str, dict[str, int]],
) -> Measurement:
    def change(service: str, name: str) -> int:
        return sum(
            counts.get(name, 0) - before.get(target_id, {}).get(name, 0)
            for target_id, counts in after.items()
            if target_id.startswith(service)
        )

    def most(service: str) -> int:
        return max(
            counts.get("connections_max", 0)
            for target_id, counts in after.items()
            if target_id.startswith(service)
        )

    shard_counts = {shape.name: shape.shard_count for shape in SHAPES}
    names = [report.service for report in reports]
    needed = {r.service: r.sent * shard_counts[r.service] for r in reports}
    return Measurement(
        scenario=scenario.name,
        variant=variant.name,
        reports=reports,
        extra_load_ratio={
            name: round(
                change(name, "shard_requests") / max(1, needed[name]) - 1, 4
            )
            for name in names
        },
        connections={name: change(name, "connections") for name in names},
        connections_max={name: most(name) for name in names},
        shed={name: change(name, "shed") for name in names},
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
            _row(measurement, report) for report in measurement.reports
        )
    return "\n".join(lines)


def _row(measurement: Measurement, report: load.LoadReport) -> str:
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
