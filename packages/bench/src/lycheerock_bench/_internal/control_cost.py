"""Measures the overhead of membership in idle instances, by deployment size."""

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
# After the start of a large deployment, gossip about it continues for about 30
# seconds.
GOSSIP_SETTLE_S = 45.0
WAIT_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.1

_SHAPES = [harness.ServiceShape("guest-portal", "latency", 1, 1, 1, 3, 1_000)]


@dataclasses.dataclass(frozen=True)
class ControlCost:
    """Overhead of membership per instance.

    Values are means over all instances unless noted otherwise.

    Attributes:
      instance_count: Number of instances in the deployment.
      processor_ratio: CPU seconds per second.
      processor_ratio_max: Highest processor_ratio of any instance.
      resident_mb: Resident memory in MB (10^6 bytes).
      resident_max_mb: Highest resident memory of any instance.
      sent_bytes_per_s: Bytes of encoded gossip messages sent per second.
      received_bytes_per_s: Bytes of encoded gossip messages received per
        second.
      sent_messages_per_s: Gossip requests and replies sent per second.
      detect_p50_s: Median time from a kill until a surviving instance marks the
        member as dead, over all kills and survivors.
      detect_max_s: Maximum of these times.
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
    """Resource use and gossip counters of one instance at one time.

    Attributes:
      sampled_s: Monotonic time of the sample.
      processor_s: CPU time since the start of the process.
      resident_bytes: Resident memory.
      gossip: Gossip counters by name.
    """

    sampled_s: float
    processor_s: float
    resident_bytes: int
    gossip: dict[str, int]


async def measure(
    directory: pathlib.Path, count: int, kill_count: int, window_s: float
) -> ControlCost:
    """Measures an idle deployment, then the detection of killed instances.

    Args:
      directory: Directory for files and logs.
      count: Number of instances.
      kill_count: Number of instances to kill, one after another.
      window_s: Seconds to observe the idle deployment.

    Returns:
      The measured overhead.
    """
    deployment = harness.Deployment(directory, _SHAPES, count)
    for settings in deployment.settings.values():
        settings["peers"] = settings["peers"][:SEED_COUNT]
    names = list(deployment.settings)
    try:
        await deployment.start()
        await asyncio.gather(*(_wait_all_alive(deployment, n) for n in names))
        await asyncio.sleep(GOSSIP_SETTLE_S)
        before = [await _take_sample(deployment, name) for name in names]
        await asyncio.sleep(window_s)
        after = [await _take_sample(deployment, name) for name in names]
        detection_times_s = await _measure_detection(deployment, kill_count)
    finally:
        await deployment.stop()
    return _summarize(before, after, detection_times_s)


async def _wait_all_alive(deployment: harness.Deployment, name: str) -> None:
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    expected = len(deployment.settings)
    while time.monotonic() < deadline_s:
        state = await deployment.ops(name, "/ops/state")
        alive = [m for m in state["members"] if m["state"] == "alive"]
        if len(alive) == expected:
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{name} does not list every instance as alive")


async def _take_sample(deployment: harness.Deployment, name: str) -> _Sample:
    state = await deployment.ops(name, "/ops/state")
    process = psutil.Process(deployment.processes[name].pid)
    times = process.cpu_times()
    return _Sample(
        time.monotonic(),
        times.user + times.system,
        process.memory_info().rss,
        state["gossip"],
    )


async def _measure_detection(
    deployment: harness.Deployment, kill_count: int
) -> list[float]:
    names = list(deployment.settings)
    detection_times_s: list[float] = []
    for index in range(kill_count):
        # Starts from the last instance, so that the seeds, which come first,
        # stay up in all but small deployments.
        name = names[-1 - index % max(1, len(names) // 2)]
        killed_s = time.time()
        deployment.kill(name)
        for observer in names:
            if observer != name:
                detected_s = await _wait_state_logged(
                    deployment.directory / f"{observer}.log",
                    name,
                    "dead",
                    killed_s,
                )
                detection_times_s.append(detected_s - killed_s)
        deployment.start_instance(name)
        await deployment.wait_ready(name)
        await asyncio.gather(*(_wait_all_alive(deployment, n) for n in names))
    return detection_times_s


async def _wait_state_logged(
    path: pathlib.Path, name: str, state: str, after_s: float
) -> float:
    """Waits until the log in `path` reports a state of instance `name`.

    Returns:
      Wall-clock time of the first such line after `after_s`.

    Raises:
      TimeoutError: No such line was logged in time.
    """
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        logged_s = _find_state_logged(path, name, state, after_s)
        if logged_s is not None:
            return logged_s
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{path} has no {state} event for {name}")


def _find_state_logged(
    path: pathlib.Path, name: str, state: str, after_s: float
) -> float | None:
    for line in path.read_text(encoding="utf-8").splitlines():
        logged_s = _parse_state_change(line, name, state)
        if logged_s is not None and logged_s > after_s:
            return logged_s
    return None


def _parse_state_change(line: str, name: str, state: str) -> float | None:
    """Returns the time of a line that logs the change to a state, or None."""
    if not line.startswith("{") or "member_changed" not in line:
        return None
    entry: dict[str, Any] = json.loads(line)
    if (entry["member"], entry["state"]) != (name, state):
        return None
    return datetime.datetime.fromisoformat(entry["timestamp"]).timestamp()


def _summarize(
    before: list[_Sample], after: list[_Sample], detection_times_s: list[float]
) -> ControlCost:
    pairs = list(zip(before, after, strict=True))
    processor = [
        (b.processor_s - a.processor_s) / (b.sampled_s - a.sampled_s)
        for a, b in pairs
    ]
    resident = [b.resident_bytes / 1e6 for b in after]

    def rate(counter: str) -> float:
        return statistics.fmean(
            (b.gossip[counter] - a.gossip[counter])
            / (b.sampled_s - a.sampled_s)
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
        round(statistics.median(detection_times_s), 2),
        round(max(detection_times_s), 2),
    )
