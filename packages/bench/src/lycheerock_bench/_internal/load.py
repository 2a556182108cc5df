"""Open-loop load on the caller interface of a deployment."""

import asyncio
import collections
import dataclasses
import itertools
import random
import time
from typing import Any

import aiohttp
from hdrh import histogram

from lycheerock_bench._internal import deployments

LATENCY_MAX_US = 60_000_000
RETRY_DELAY_S = 0.02


@dataclasses.dataclass(frozen=True)
class LoadSpec:
    """Load on one service.

    Attributes:
      service: Service name.
      rate_per_s: Mean rate of searches; arrivals are a Poisson process.
      duration_s: Time over which searches are sent.
      deadline_ms: Deadline of each search.
    """

    service: str
    rate_per_s: float
    duration_s: float
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What the callers of one service saw.

    Attributes:
      service: Service name.
      sent: Searches, each counted once.
      outcomes: Searches by outcome of their last answer.
      caller_retries: Tries after the first, at another instance.
      coverage_mean_ratio: Mean share of shards that answers covered; a search
        without an answer counts as zero.
      full_coverage_ratio: Share of searches whose answer lacks no shard.
      p50_ms: Median latency from the intended send time.
      p99_ms: 99th percentile.
      p999_ms: 99.9th percentile.
    """

    service: str
    sent: int
    outcomes: dict[str, int]
    caller_retries: int
    coverage_mean_ratio: float
    full_coverage_ratio: float
    p50_ms: float
    p99_ms: float
    p999_ms: float


class _Recorder:
    def __init__(self) -> None:
        self.latency_us = histogram.HdrHistogram(1, LATENCY_MAX_US, 3)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.retries = 0
        self.coverage_sum = 0.0
        self.full = 0

    def record(self, answer: Any, elapsed_s: float) -> None:
        self.latency_us.record_value(int(elapsed_s * 1e6))
        self.outcomes[answer["outcome"]] += 1
        covered = len(answer.get("covered", ()))
        total = covered + len(answer.get("lacking", ()))
        self.coverage_sum += covered / total if total else 0.0
        self.full += 1 if total and covered == total else 0

    def report(self, service: str) -> LoadReport:
        sent = sum(self.outcomes.values())

        def percentile_ms(percentile: float) -> float:
            value_us = self.latency_us.get_value_at_percentile(percentile)
            return float(round(value_us / 1000, 2))

        return LoadReport(
            service=service,
            sent=sent,
            outcomes=dict(self.outcomes),
            caller_retries=self.retries,
            coverage_mean_ratio=round(self.coverage_sum / max(1, sent), 5),
            full_coverage_ratio=round(self.full / max(1, sent), 5),
            p50_ms=percentile_ms(50),
            p99_ms=percentile_ms(99),
            p999_ms=percentile_ms(99.9),
        )


async def run(
    entries: list[str], specs: list[LoadSpec], seed: int
) -> list[LoadReport]:
    """Sends searches to all services at the same time.

    Args:
      entries: Caller addresses of the instances, used in turn.
      specs: The load on each service.
      seed: Seed of the arrivals.

    Returns:
      One report per service, in the order of the specs.
    """
    connector = aiohttp.TCPConnector(limit=0)
    headers = {"Authorization": f"Bearer {deployments.CALLER_TOKEN}"}
    async with aiohttp.ClientSession(
        connector=connector, headers=headers
    ) as session:
        loads = [
            _run_service(session, entries, spec, f"{seed}/{spec.service}")
            for spec in specs
        ]
        return list(await asyncio.gather(*loads))


async def _run_service(
    session: aiohttp.ClientSession,
    entries: list[str],
    spec: LoadSpec,
    seed: str,
) -> LoadReport:
    arrivals = random.Random(seed)
    recorder = _Recorder()
    turns = itertools.cycle(range(len(entries)))
    start_s = time.monotonic()
    intended_s = start_s
    async with asyncio.TaskGroup() as group:
        while True:
            intended_s += arrivals.expovariate(spec.rate_per_s)
            if intended_s - start_s > spec.duration_s:
                break
            await asyncio.sleep(max(0.0, intended_s - time.monotonic()))
            first = next(turns)
            order = entries[first:] + entries[:first]
            group.create_task(_send(session, order, spec, intended_s, recorder))
    return recorder.report(spec.service)


async def _send(
    session: aiohttp.ClientSession,
    order: list[str],
    spec: LoadSpec,
    intended_s: float,
    recorder: _Recorder,
) -> None:
    """Sends one search; tries the next instance while time is left."""
    answer: Any = {"outcome": "no_answer"}
    for number, entry in enumerate(order):
        left_s = intended_s + spec.deadline_ms / 1000 - time.monotonic()
        if left_s <= 0:
            break
        recorder.retries += 1 if number else 0
        answer = await _try(session, entry, spec.service, left_s)
        if answer["outcome"] == "done":
            break
        await asyncio.sleep(RETRY_DELAY_S)
    recorder.record(answer, time.monotonic() - intended_s)


async def _try(
    session: aiohttp.ClientSession, entry: str, service: str, left_s: float
) -> Any:
    url = f"http://{entry}/v1/services/{service}/search"
    headers = {"X-Deadline-Ms": str(max(1, int(left_s * 1000)))}
    # The caller waits a little longer than the deadline, so that an answer that
    # is sent at the deadline still counts.
    timeout = aiohttp.ClientTimeout(total=left_s + 0.25)
    try:
        async with session.post(
            url, json={"query": "q"}, headers=headers, timeout=timeout
        ) as response:
            return await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        return {"outcome": "no_answer", "error": type(error).__name__}
