"""Measures CPU time per shard request and memory per bundle size."""

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
    """Cost of searches with a given fan-out.

    Attributes:
      shard_count: Shards per search.
      relayed: Whether the targets are owned by another instance.
      searches: Number of searches sent.
      shard_requests: Number of shard requests that the targets received.
      entry_cpu_us: CPU time of i0, which receives the searches, per shard
        request.
      owner_cpu_us: CPU time of i1, which owns the targets if `relayed`, per
        shard request.
      entry_rss_mb: Resident memory of i0 after the load, in MB (10^6 bytes).
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
    """Cost of a bundle with a given number of targets.

    Attributes:
      target_count: Number of targets in the bundle.
      size_bytes: Size of the bundle as compact JSON.
      check_s: CPU time to parse and check the bundle.
      rss_mb: Resident memory of an idle instance with the bundle, in MB (10^6
        bytes).
    """

    target_count: int
    size_bytes: int
    check_s: float
    rss_mb: float


async def measure_fan_out(
    shard_count: int, rate_per_s: float, duration_s: float, *, relayed: bool
) -> FanOutCost:
    """Measures searches that fan out to `shard_count` shards.

    Args:
      shard_count: Shards per search.
      rate_per_s: Searches per second.
      duration_s: Seconds to measure.
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
    addresses = [deployment.settings["i0"]["caller_address"]]
    warm_up = dataclasses.replace(spec, duration_s=WARM_UP_S)
    await load.run(addresses, [warm_up], seed=2)
    requests = await _count_shard_requests(deployment)
    cpu_s = {name: _cpu_s(deployment, name) for name in ("i0", "i1")}
    reports = await load.run(addresses, [spec], seed=1)
    requests = await _count_shard_requests(deployment) - requests
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


async def _count_shard_requests(deployment: harness.Deployment) -> int:
    total = 0
    for target in deployment.targets():
        target_counts = await deployment.target_counts(target["target_id"])
        total += target_counts["counts"].get("shard_requests", 0)
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
      target_count: Number of targets. Nothing listens on their addresses.

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
