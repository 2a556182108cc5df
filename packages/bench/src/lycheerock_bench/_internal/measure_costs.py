"""Measures processor time and memory per unit of work."""

import dataclasses
import pathlib
import tempfile
import time

import msgspec
import psutil

from lycheerock_bench import harness
from lycheerock_bench._internal import load
from lycheerock_model import bundle_check

SERVICE = "wide"
TARGET_COUNT = 49
WARM_UP_S = 3.0


@dataclasses.dataclass(frozen=True)
class FanOutCost:
    """Cost of searches of one width.

    Attributes:
      shard_count: Shards per search.
      relayed: Whether the targets are owned by another instance.
      searches: Searches sent.
      shard_requests: Requests that the targets got.
      entry_cpu_us: Processor time of the entry instance per shard request.
      owner_cpu_us: Processor time of the owner instance per shard request.
      entry_rss_mb: Resident memory of the entry instance after the load.
      p50_ms: Median latency.
      p99_ms: 99th percentile of the latency.
    """

    shard_count: int
    relayed: bool
    searches: int
    shard_requests: int
    entry_cpu_us: float
    owner_cpu_us: float
    entry_rss_mb: float
    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True)
class BundleCost:
    """Cost of a bundle of one size.

    Attributes:
      target_count: Targets in the bundle.
      size_bytes: Size of the bundle as JSON without white space.
      check_s: Time to parse and check it.
      rss_mb: Resident memory of an idle instance that holds it.
    """

    target_count: int
    size_bytes: int
    check_s: float
    rss_mb: float


async def measure_fan_out(
    shard_count: int, rate_per_s: float, duration_s: float, *, relayed: bool
) -> FanOutCost:
    """Measures searches over `shard_count` shards.

    Args:
      shard_count: Shards per search.
      rate_per_s: Searches per second.
      duration_s: Measured time.
      relayed: Whether another instance owns all targets.

    Returns:
      The cost.
    """
    slot_count = max(4, 2 * shard_count // TARGET_COUNT)
    shape = harness.ServiceShape(
        SERVICE, "latency", TARGET_COUNT, shard_count, 1, slot_count, 400
    )
    with tempfile.TemporaryDirectory(prefix="lycheerock-") as directory:
        deployment = harness.Deployment(pathlib.Path(directory), [shape], 2)
        zone = "montreal-b" if relayed else "montreal-a"
        for target in deployment.targets():
            target["zone"] = zone
        try:
            await deployment.start()
            return await _run_fan_out(
                deployment,
                shard_count,
                load.LoadSpec(
                    SERVICE, rate_per_s, duration_s, deadline_ms=5_000
                ),
                relayed=relayed,
            )
        finally:
            await deployment.stop()


async def _run_fan_out(
    deployment: harness.Deployment,
    shard_count: int,
    spec: load.LoadSpec,
    *,
    relayed: bool,
) -> FanOutCost:
    entry = [deployment.settings["i0"]["caller_address"]]
    warm_up = dataclasses.replace(spec, duration_s=WARM_UP_S)
    await load.run(entry, [warm_up], seed=2)
    requests = await _shard_requests(deployment)
    cpu_s = {name: _cpu_s(deployment, name) for name in ("i0", "i1")}
    reports = await load.run(entry, [spec], seed=1)
    requests = await _shard_requests(deployment) - requests
    cpu_us = {
        name: round(
            (_cpu_s(deployment, name) - cpu_s[name]) * 1e6 / requests, 1
        )
        for name in cpu_s
    }
    return FanOutCost(
        shard_count=shard_count,
        relayed=relayed,
        searches=reports[0].sent,
        shard_requests=requests,
        entry_cpu_us=cpu_us["i0"],
        owner_cpu_us=cpu_us["i1"],
        entry_rss_mb=_rss_mb(deployment, "i0"),
        p50_ms=reports[0].p50_ms,
        p99_ms=reports[0].p99_ms,
    )


async def _shard_requests(deployment: harness.Deployment) -> int:
    total = 0
    for target in deployment.targets():
        found = await deployment.target_counts(target["target_id"])
        total += found["counts"].get("shard_requests", 0)
    return total


def _cpu_s(deployment: harness.Deployment, name: str) -> float:
    times = psutil.Process(deployment.processes[name].pid).cpu_times()
    return float(times.user + times.system)


def _rss_mb(deployment: harness.Deployment, name: str) -> float:
    process = psutil.Process(deployment.processes[name].pid)
    return round(process.memory_info().rss / 1e6, 1)


async def measure_bundle(target_count: int) -> BundleCost:
    """Measures an idle instance with a bundle of `target_count` targets.

    Args:
      target_count: Targets; nothing listens at their addresses.

    Returns:
      The cost.
    """
    shape = harness.ServiceShape(
        SERVICE, "latency", target_count, target_count, 2, 3, 30
    )
    with tempfile.TemporaryDirectory(prefix="lycheerock-") as directory:
        path = pathlib.Path(directory)
        deployment = harness.Deployment(path, [shape], 1)
        try:
            await deployment.start(with_targets=False)
            text = msgspec.json.encode(deployment.bundle)
            start_s = time.process_time()
            bundle_check.load(text)
            return BundleCost(
                target_count=target_count,
                size_bytes=len(text),
                check_s=round(time.process_time() - start_s, 4),
                rss_mb=_rss_mb(deployment, "i0"),
            )
        finally:
            await deployment.stop()
