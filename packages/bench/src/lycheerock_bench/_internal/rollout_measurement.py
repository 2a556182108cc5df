"""Measures the duration of rollouts in a local deployment."""

import asyncio
import dataclasses
import pathlib
import signal
import statistics
from typing import Any

from lycheerock_bench import bundle_operations
from lycheerock_bench import harness

SHAPES = [
    harness.ServiceShape("guest-portal", "latency", 3, 6, 2, 3, 30),
    harness.ServiceShape("ronda-app", "coverage", 3, 6, 2, 2, 25),
]
SLOW_CALL_DELAY_MS = 300.0
# Delays rollout calls, so that an instance can be frozen before the rollout is
# accepted.
ACCEPTANCE_DELAY_MS = 300.0
FREEZE_DURATION_S = 1.5
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True)
class DurationSummary:
    """Summary of the times from acceptance until a bundle is in force."""

    sample_count: int
    p50_ms: float
    max_ms: float


def summarize(samples_s: list[float]) -> DurationSummary:
    """Returns the number, median and maximum of the samples."""
    return DurationSummary(
        len(samples_s),
        round(statistics.median(samples_s) * MS_PER_S, 1),
        round(max(samples_s) * MS_PER_S, 1),
    )


async def measure(
    directory: pathlib.Path,
    instance_count: int,
    rollout_count: int,
    idle_s: float,
) -> dict[str, Any]:
    """Measures an idle deployment and its rollouts under three conditions.

    Args:
      directory: Directory for files and logs.
      instance_count: Number of instances.
      rollout_count: Number of rollouts per condition.
      idle_s: Seconds to count the platform calls of the idle instances, after
        an equally long wait.

    Returns:
      The results as a JSON value.
    """
    deployment = harness.Deployment(directory, SHAPES, instance_count)
    try:
        await deployment.start()
        return {
            "instances": instance_count,
            "rollouts_per_condition": rollout_count,
            "platform_calls_at_rest": await _count_idle_calls(
                deployment, idle_s
            ),
            "platform_up": await _measure_rollouts(
                deployment, rollout_count, 0.0
            ),
            "platform_slow": await _measure_rollouts(
                deployment, rollout_count, SLOW_CALL_DELAY_MS
            ),
            "one_frozen": await _measure_with_frozen_instance(
                deployment, rollout_count
            ),
        }
    finally:
        await deployment.stop()


async def _count_idle_calls(
    deployment: harness.Deployment, idle_s: float
) -> dict[str, Any]:
    # Waits first, since watches opened at startup end within 30 seconds.
    await asyncio.sleep(idle_s)
    before = await deployment.platform_records("client_counts")
    await asyncio.sleep(idle_s)
    after = await deployment.platform_records("client_counts")
    by_instance = {
        name: {
            kind: count - before.get(name, {}).get(kind, 0)
            for kind, count in counts.items()
        }
        for name, counts in after.items()
        if name in deployment.settings
    }
    totals = [sum(counts.values()) for counts in by_instance.values()]
    return {
        "seconds": idle_s,
        "by_instance": by_instance,
        "calls_per_second_total": round(sum(totals) / idle_s, 3),
    }


async def _measure_rollouts(
    deployment: harness.Deployment, count: int, delay_ms: float
) -> dict[str, Any]:
    await deployment.set_platform_faults(delay_ms=delay_ms)
    names = list(deployment.settings)
    samples_s = []
    for index in range(count):
        bundle_number = await bundle_operations.propose_and_sign(
            deployment, names[0]
        )
        coordinator = names[index % len(names)]
        await bundle_operations.request_rollout(
            deployment, coordinator, bundle_number
        )
        states = await _wait_in_force(deployment, bundle_number)
        accepted_s = await _wait_accepted(deployment, bundle_number)
        samples_s += [
            s["in_force_since_s"] - accepted_s for s in states.values()
        ]
    await deployment.set_platform_faults()
    return dataclasses.asdict(summarize(samples_s))


async def _measure_with_frozen_instance(
    deployment: harness.Deployment, count: int
) -> dict[str, Any]:
    names = list(deployment.settings)
    other_samples_s: list[float] = []
    frozen_samples_s: list[float] = []
    for index in range(count):
        bundle_number = await bundle_operations.propose_and_sign(
            deployment, names[0]
        )
        frozen_name = names[1 + index % (len(names) - 1)]
        accepted_s = await _roll_out_with_frozen_instance(
            deployment, bundle_number, frozen_name
        )
        states = await _wait_in_force(deployment, bundle_number)
        for name, state in states.items():
            sample_s = state["in_force_since_s"] - accepted_s
            (
                frozen_samples_s if name == frozen_name else other_samples_s
            ).append(sample_s)
    return {
        "others": dataclasses.asdict(summarize(other_samples_s)),
        "frozen_instance": dataclasses.asdict(summarize(frozen_samples_s)),
        "frozen_ms_after_acceptance": FREEZE_DURATION_S * MS_PER_S,
    }


async def _roll_out_with_frozen_instance(
    deployment: harness.Deployment, bundle_number: int, frozen_name: str
) -> float:
    await deployment.set_platform_faults(
        delay_ms=ACCEPTANCE_DELAY_MS, path_prefix="/objects/rollout"
    )
    coordinator = next(iter(deployment.settings))
    await bundle_operations.request_rollout(
        deployment, coordinator, bundle_number
    )
    await bundle_operations.wait_for(
        deployment, [frozen_name], binding=bundle_number
    )
    deployment.signal(frozen_name, signal.SIGSTOP)
    accepted_s = await _wait_accepted(deployment, bundle_number)
    await asyncio.sleep(FREEZE_DURATION_S)
    deployment.signal(frozen_name, signal.SIGCONT)
    await deployment.set_platform_faults()
    return accepted_s


async def _wait_in_force(
    deployment: harness.Deployment, bundle_number: int
) -> dict[str, Any]:
    return await bundle_operations.wait_for(
        deployment, deployment.settings, in_force=bundle_number, problem=""
    )


async def _wait_accepted(
    deployment: harness.Deployment, bundle_number: int
) -> float:
    async with asyncio.timeout(bundle_operations.WAIT_LIMIT_S):
        while True:
            for write in await deployment.platform_records("writes"):
                if write["value"].get("in_force") == bundle_number:
                    time_s: float = write["time_s"]
                    return time_s
            await asyncio.sleep(bundle_operations.POLL_PERIOD_S)
