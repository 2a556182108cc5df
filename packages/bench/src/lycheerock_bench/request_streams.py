"""Sends continuous searches and bookings and records their history."""

import asyncio
import contextlib
import random
import time
from typing import Any

import aiohttp

from lycheerock_bench import harness
from lycheerock_bench import history

# Longer than both deadlines; it expires if an instance does not answer, for
# example because it is frozen.
CALLER_TIMEOUT_S = 3.0
SEARCH_DEADLINE_MS = 1_500
BOOKING_DEADLINE_MS = 800
ATTEMPTS_MAX = 3
PAUSE_S = 0.005


class RequestStream:
    """Concurrent callers that send searches and bookings to random instances.

    Attributes:
      number: Number of the latest search; each query contains its number.
      searches: Searches with their answers, by service.
      bookings: All attempts to book.
    """

    def __init__(
        self, deployment: harness.Deployment, services: list[str], seed: int
    ):
        self._deployment = deployment
        self._services = services
        self._random = random.Random(seed)
        self._tasks: list[asyncio.Task[None]] = []
        self.number = 0
        self.searches: dict[str, list[history.Search]] = {
            name: [] for name in services
        }
        self.bookings: list[history.Booking] = []

    def start(self, searcher_count: int, booker_count: int) -> None:
        """Starts the callers."""
        loops = [self._search_forever] * searcher_count
        loops += [self._book_forever] * booker_count
        self._tasks = [asyncio.create_task(loop()) for loop in loops]

    async def wait_for_requests(self, count: int) -> None:
        """Waits until `count` more requests have ended."""
        expected = self._request_count() + count
        while self._request_count() < expected:
            for task in self._tasks:
                if task.done():
                    task.result()
            await asyncio.sleep(PAUSE_S)

    def _request_count(self) -> int:
        searches = sum(len(sent) for sent in self.searches.values())
        return searches + len(self.bookings)

    async def stop(self) -> None:
        """Cancels the callers and waits until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _random_instance(self) -> str:
        instances: list[str] = sorted(self._deployment.settings)
        return self._random.choice(instances)

    async def _search_forever(self) -> None:
        while True:
            self.number += 1
            query = {"number": self.number}
            service = self._random.choice(self._services)
            answer = await _result_or_none(
                self._deployment.search(
                    self._random_instance(), service, query, SEARCH_DEADLINE_MS
                )
            )
            self.searches[service].append(history.Search(query, answer))
            await asyncio.sleep(PAUSE_S)

    async def _book_forever(self) -> None:
        while True:
            keys = await _result_or_none(
                self._deployment.issue_keys(self._random_instance())
            )
            if keys is not None:
                await self._book(keys[0])
            await asyncio.sleep(PAUSE_S)

    async def _book(self, key: str) -> None:
        """Sends a booking several times, each time to a random instance.

        The later attempts are sent even if an earlier one succeeded.
        """
        service = self._random.choice(self._services)
        shard_key = f"k{self._random.randrange(1_000)}"
        for _ in range(ATTEMPTS_MAX):
            start_s = time.monotonic()
            answer = None
            try:
                answer = await _result_or_none(
                    self._deployment.book(
                        self._random_instance(),
                        service,
                        key,
                        shard_key,
                        BOOKING_DEADLINE_MS,
                    )
                )
            finally:
                # Also recorded if `stop` cancels the attempt, since it may have
                # run.
                self.bookings.append(history.Booking(key, start_s, answer))

    async def violations(
        self, shard_maps: dict[str, history.ShardMaps]
    ) -> list[str]:
        """Checks the recorded history against the journals of the targets.

        Args:
          shard_maps: Shard maps that were in force, by service.

        Returns:
          A description of each violation.
        """
        runs = []
        for target in self._deployment.targets():
            entries = await self._deployment.target_journal(target["target_id"])
            runs += [history.Run(e["key"], e["time_s"]) for e in entries]
        violations = history.check_bookings(self.bookings, runs)
        for service, searches in self.searches.items():
            violations += history.check_searches(searches, shard_maps[service])
        return violations


async def _result_or_none(request: Any) -> Any:
    """Returns the result of a request, or None if it fails or times out."""
    with contextlib.suppress(
        TimeoutError, aiohttp.ClientError, ConnectionError, KeyError
    ):
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            return await request
    return None
