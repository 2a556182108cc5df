"""Measures what membership costs an idle instance, by the fleet's size."""

import asyncio
import dataclasses
import datetime
import json
import pathlib
import statistics
import time
from typing import Any

import psutil

from lycheerock_bench import harness

SEED_COUNT = 3
# Updates of the start are repeated for about half a minute in a large fleet.
SETTLE_S = 45.0
WAIT_MAX_S = 120.0
POLL_S = 0.1

_SHAPES = [harness.ServiceShape("guest-portal", "latency", 1, 1, 1, 3, 1_000)]


@dataclasses.dataclass(frozen=True)
class ControlCost:
    """Cost per instance; means over the instances unless noted.

    Attributes:
      instance_count: Instances of the deployment.
      processor_ratio: Processor seconds per second.
      processor_ratio_max: The highest of all instances.
      resident_mb: Resident memory in units of 10^6 bytes.
      resident_max_mb: The highest of all instances.
      sent_bytes_per_s: Encoded gossip messages sent.
      received_bytes_per_s: Encoded gossip messages received.
      sent_messages_per_s: Gossip requests and replies sent.
      detect_p50_s: Time from a kill until a survivor holds the instance as
        dead, median over all kills and survivors.
      detect_max_s: The longest of them.
    """

    instance_count: int
    processor_ratio: float
    processor_ratio_max: float
    resident_mb: float
    resident_max_mb: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    sent_messages_per_s: float
    detect_p50_s: float
    detect_max_s: float


@dataclasses.dataclass(frozen=True)
class _Sample:
    taken_s: float
    processor_s: float
    resident_bytes: int
    gossip: dict[str, int]


async def measure(
    directory: pathlib.Path, count: int, kill_count: int, window_s: float
) -> ControlCost:
    """Starts a deployment, watches it idle, and kills instances.

    Args:
      directory: Where files and logs go.
      count: Instances.
      kill_count: Instances that are killed one after another.
      window_s: Time for which the idle deployment is watched.

    Returns:
      The cost.
    """
    deployment = harness.Deployment(directory, _SHAPES, count)
    for settings in deployment.settings.values():
        settings["peers"] = settings["peers"][:SEED_COUNT]
    names = list(deployment.settings)
    try:
        await deployment.start()
        await asyncio.gather(*(_wait_joined(deployment, n) for n in names))
        await asyncio.sleep(SETTLE_S)
        before = [await _sample(deployment, name) for name in names]
        await asyncio.sleep(window_s)
        after = [await _sample(deployment, name) for name in names]
        times_s = await _kill_some(deployment, kill_count)
    finally:
        await deployment.stop()
    return _summarise(before, after, times_s)


async def _wait_joined(deployment: harness.Deployment, name: str) -> None:
    deadline_s = time.monotonic() + WAIT_MAX_S
    expected = len(deployment.settings)
    while time.monotonic() < deadline_s:
        state = await deployment.ops(name, "/ops/state")
        alive = [m for m in state["members"] if m["state"] == "alive"]
        if len(alive) == expected:
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"{name} does not hold all instances as alive")


async def _sample(deployment: harness.Deployment, name: str) -> _Sample:
    state = await deployment.ops(name, "/ops/state")
    process = psutil.Process(deployment.processes[name].pid)
    times = process.cpu_times()
    return _Sample(
        time.monotonic(),
        times.user + times.system,
        process.memory_info().rss,
        state["gossip"],
    )


async def _kill_some(
    deployment: harness.Deployment, kill_count: int
) -> list[float]:
    names = list(deployment.settings)
    times_s: list[float] = []
    for index in range(kill_count):
        # The last ones are no seeds; the order is the same in each run.
        name = names[-1 - index % max(1, len(names) // 2)]
        killed_s = time.time()
        deployment.kill(name)
        for observer in names:
            if observer != name:
                found_s = await _wait_logged(
                    deployment.directory / f"{observer}.log",
                    name,
                    "dead",
                    killed_s,
                )
                times_s.append(found_s - killed_s)
        deployment.start_instance(name)
        await deployment.wait_ready(name)
        await asyncio.gather(*(_wait_joined(deployment, n) for n in names))
    return times_s


async def _wait_logged(
    path: pathlib.Path, name: str, state: str, after_s: float
) -> float:
    """Returns the time at which an instance logged a member's state."""
    deadline_s = time.monotonic() + WAIT_MAX_S
    while time.monotonic() < deadline_s:
        logged_s = _find_logged(path, name, state, after_s)
        if logged_s is not None:
            return logged_s
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"{path} names no {state} {name}")


def _find_logged(
    path: pathlib.Path, name: str, state: str, after_s: float
) -> float | None:
    for line in path.read_text(encoding="utf-8").splitlines():
        logged_s = _logged_s(line, name, state)
        if logged_s is not None and logged_s > after_s:
            return logged_s
    return None


def _logged_s(line: str, name: str, state: str) -> float | None:
    if not line.startswith("{") or "member_changed" not in line:
        return None
    entry: dict[str, Any] = json.loads(line)
    if (entry["member"], entry["state"]) != (name, state):
        return None
    return datetime.datetime.fromisoformat(entry["timestamp"]).timestamp()


def _summarise(
    before: list[_Sample], after: list[_Sample], times_s: list[float]
) -> ControlCost:
    pairs = list(zip(before, after, strict=True))
    processor = [
        (b.processor_s - a.processor_s) / (b.taken_s - a.taken_s)
        for a, b in pairs
    ]
    resident = [b.resident_bytes / 1e6 for b in after]

    def rate(counter: str) -> float:
        return statistics.fmean(
            (b.gossip[counter] - a.gossip[counter]) / (b.taken_s - a.taken_s)
            for a, b in pairs
        )

    return ControlCost(
        len(pairs),
        round(statistics.fmean(processor), 4),
        round(max(processor), 4),
        round(statistics.fmean(resident), 1),
        round(max(resident), 1),
        round(rate("sent_bytes")),
        round(rate("received_bytes")),
        round(rate("sent_messages"), 2),
        round(statistics.median(times_s), 2),
        round(max(times_s), 2),
    )
