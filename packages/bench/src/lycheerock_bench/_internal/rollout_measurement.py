"""Measures rollouts in a local deployment."""

import asyncio
import dataclasses
import pathlib
import signal
import statistics
from typing import Any

from lycheerock_bench import bundle_runs
from lycheerock_bench import harness

SHAPES = [
    harness.ServiceShape("guest-portal", "latency", 3, 6, 2, 3, 30),
    harness.ServiceShape("ronda-app", "coverage", 3, 6, 2, 2, 25),
]
SLOW_CALL_MS = 300.0
# Delays the acceptance, so that an instance can be frozen before it.
ACCEPTANCE_DELAY_MS = 300.0
FROZEN_S = 1.5
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True)
class Spread:
    """Times from the acceptance until the bundle is in force."""

    sample_count: int
    p50_ms: float
    max_ms: float


def summarize(samples_s: list[float]) -> Spread:
    """Returns median and maximum of the samples."""
    return Spread(
        len(samples_s),
        round(statistics.median(samples_s) * MS_PER_S, 1),
        round(max(samples_s) * MS_PER_S, 1),
    )


async def measure(
    directory: pathlib.Path,
    instance_count: int,
    rollout_count: int,
    rest_s: float,
) -> dict[str, Any]:
    """Measures a deployment at rest and its rollouts under three conditions.

    Args:
      directory: Where files and logs go.
      instance_count: Number of instances.
      rollout_count: Rollouts per condition.
      rest_s: Time over which the calls at rest are counted.

    Returns:
      JSON values.
    """
    deployment = harness.Deployment(directory, SHAPES, instance_count)
    try:
        await deployment.start()
        return {
            "instances": instance_count,
            "rollouts_per_condition": rollout_count,
            "platform_calls_at_rest": await _count_at_rest(deployment, rest_s),
            "platform_up": await _run_plain(deployment, rollout_count, 0.0),
            "platform_slow": await _run_plain(
                deployment, rollout_count, SLOW_CALL_MS
            ),
            "one_frozen": await _run_frozen(deployment, rollout_count),
        }
    finally:
        await deployment.stop()


async def _count_at_rest(
    deployment: harness.Deployment, rest_s: float
) -> dict[str, Any]:
    # Watches of the start end within half a minute.
    await asyncio.sleep(rest_s)
    before = await deployment.platform_control("client_counts")
    await asyncio.sleep(rest_s)
    after = await deployment.platform_control("client_counts")
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
        "seconds": rest_s,
        "by_instance": by_instance,
        "calls_per_second_total": round(sum(totals) / rest_s, 3),
    }


async def _run_plain(
    deployment: harness.Deployment, count: int, delay_ms: float
) -> dict[str, Any]:
    await deployment.set_platform_faults(delay_ms=delay_ms)
    names = list(deployment.settings)
    samples = []
    for index in range(count):
        number = await bundle_runs.propose_and_sign(deployment, names[0])
        coordinator = names[index % len(names)]
        await bundle_runs.request_rollout(deployment, coordinator, number)
        states = await _wait_in_force(deployment, number)
        accepted_s = await _accepted_s(deployment, number)
        samples += [s["in_force_since_s"] - accepted_s for s in states.values()]
    await deployment.set_platform_faults()
    return dataclasses.asdict(summarize(samples))


async def _run_frozen(
    deployment: harness.Deployment, count: int
) -> dict[str, Any]:
    names = list(deployment.settings)
    others: list[float] = []
    frozen: list[float] = []
    for index in range(count):
        number = await bundle_runs.propose_and_sign(deployment, names[0])
        victim = names[1 + index % (len(names) - 1)]
        accepted_s = await _roll_out_past_frozen(deployment, number, victim)
        states = await _wait_in_force(deployment, number)
        for name, state in states.items():
            sample_s = state["in_force_since_s"] - accepted_s
            (frozen if name == victim else others).append(sample_s)
    return {
        "others": dataclasses.asdict(summarize(others)),
        "frozen_instance": dataclasses.asdict(summarize(frozen)),
        "frozen_ms_after_acceptance": FROZEN_S * MS_PER_S,
    }


async def _roll_out_past_frozen(
    deployment: harness.Deployment, number: int, victim: str
) -> float:
    await deployment.set_platform_faults(
        delay_ms=ACCEPTANCE_DELAY_MS, path_prefix="/objects/rollout"
    )
    coordinator = next(iter(deployment.settings))
    await bundle_runs.request_rollout(deployment, coordinator, number)
    await bundle_runs.wait_for(deployment, [victim], binding=number)
    deployment.signal(victim, signal.SIGSTOP)
    accepted_s = await _accepted_s(deployment, number)
    await asyncio.sleep(FROZEN_S)
    deployment.signal(victim, signal.SIGCONT)
    await deployment.set_platform_faults()
    return accepted_s


async def _wait_in_force(
    deployment: harness.Deployment, number: int
) -> dict[str, Any]:
    return await bundle_runs.wait_for(
        deployment, deployment.settings, in_force=number, problem=""
    )


async def _accepted_s(deployment: harness.Deployment, number: int) -> float:
    async with asyncio.timeout(bundle_runs.WAIT_LIMIT_S):
        while True:
            for write in await deployment.platform_control("writes"):
                if write["value"].get("in_force") == number:
                    time_s: float = write["time_s"]
                    return time_s
            await asyncio.sleep(bundle_runs.POLL_PERIOD_S)
