"""Open-loop load generator for the caller interface of a deployment."""

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
    """Load to generate on one service.

    Attributes:
      service: Service name.
      rate_per_s: Mean rate of searches; the arrivals form a Poisson process.
      duration_s: Time during which searches are sent.
      deadline_ms: Deadline of each search.
    """

    service: str
    rate_per_s: float
    duration_s: float
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Results of the searches of one service, as callers see them.

    Attributes:
      service: Service name.
      sent: Number of searches, not counting retries.
      outcomes: Number of searches by outcome of the last attempt.
      caller_retries: Number of retries, each at another instance.
      coverage_mean_ratio: Mean share of shards covered by an answer; a search
        without an answer counts as zero.
      full_coverage_ratio: Share of searches whose answer covers all shards.
      p50_ms: Median latency, measured from the intended send time.
      p99_ms: 99th percentile of the latency.
      p999_ms: 99.9th percentile of the latency.
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
    """Collects the answers to the searches of one service."""

    def __init__(self) -> None:
        self.latency_us = histogram.HdrHistogram(1, LATENCY_MAX_US, 3)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.retries = 0
        self.coverage_sum = 0.0
        self.full_coverage_count = 0

    def record(self, answer: Any, elapsed_s: float) -> None:
        self.latency_us.record_value(int(elapsed_s * 1e6))
        self.outcomes[answer["outcome"]] += 1
        covered = len(answer.get("covered", ()))
        total = covered + len(answer.get("lacking", ()))
        self.coverage_sum += covered / total if total else 0.0
        self.full_coverage_count += 1 if total and covered == total else 0

    def build_report(self, service: str) -> LoadReport:
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
            full_coverage_ratio=round(
                self.full_coverage_count / max(1, sent), 5
            ),
            p50_ms=percentile_ms(50),
            p99_ms=percentile_ms(99),
            p999_ms=percentile_ms(99.9),
        )


async def run(
    addresses: list[str], specs: list[LoadSpec], seed: int
) -> list[LoadReport]:
    """Sends searches to all services concurrently.

    Args:
      addresses: Caller addresses of the instances, used in round-robin order.
      specs: Load to generate on each service.
      seed: Seed for the arrival times.

    Returns:
      One report per service, in the order of the specs.
    """
    connector = aiohttp.TCPConnector(limit=0)
    headers = {"Authorization": f"Bearer {deployments.CALLER_TOKEN}"}
    async with aiohttp.ClientSession(
        connector=connector, headers=headers
    ) as session:
        loads = [
            _run_service(session, addresses, spec, f"{seed}/{spec.service}")
            for spec in specs
        ]
        return list(await asyncio.gather(*loads))


async def _run_service(
    session: aiohttp.ClientSession,
    addresses: list[str],
    spec: LoadSpec,
    seed: str,
) -> LoadReport:
    arrivals = random.Random(seed)
    recorder = _Recorder()
    first_indexes = itertools.cycle(range(len(addresses)))
    start_s = time.monotonic()
    intended_s = start_s
    async with asyncio.TaskGroup() as group:
        while True:
            intended_s += arrivals.expovariate(spec.rate_per_s)
            if intended_s - start_s > spec.duration_s:
                break
            await asyncio.sleep(max(0.0, intended_s - time.monotonic()))
            first_index = next(first_indexes)
            retry_order = addresses[first_index:] + addresses[:first_index]
            group.create_task(
                _send_with_retries(
                    session, retry_order, spec, intended_s, recorder
                )
            )
    return recorder.build_report(spec.service)


async def _send_with_retries(
    session: aiohttp.ClientSession,
    addresses: list[str],
    spec: LoadSpec,
    intended_s: float,
    recorder: _Recorder,
) -> None:
    """Sends one search and retries it at the other instances.

    Each instance is tried at most once and only before the deadline.
    """
    answer: Any = {"outcome": "no_answer"}
    for attempt_index, address in enumerate(addresses):
        remaining_s = intended_s + spec.deadline_ms / 1000 - time.monotonic()
        if remaining_s <= 0:
            break
        recorder.retries += 1 if attempt_index else 0
        answer = await _send_once(session, address, spec.service, remaining_s)
        if answer["outcome"] == "done":
            break
        await asyncio.sleep(RETRY_DELAY_S)
    recorder.record(answer, time.monotonic() - intended_s)


async def _send_once(
    session: aiohttp.ClientSession,
    address: str,
    service: str,
    remaining_s: float,
) -> Any:
    url = f"http://{address}/v1/services/{service}/search"
    headers = {"X-Deadline-Ms": str(max(1, int(remaining_s * 1000)))}
    # Waits slightly longer than the deadline, so that an answer sent at the
    # deadline still counts.
    timeout = aiohttp.ClientTimeout(total=remaining_s + 0.25)
    try:
        async with session.post(
            url, json={"query": "q"}, headers=headers, timeout=timeout
        ) as response:
            return await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        return {"outcome": "no_answer", "error": type(error).__name__}
