"""Streams of searches and bookings that record their history."""

import asyncio
import contextlib
import random
import time
from typing import Any

import aiohttp

from lycheerock_bench import harness
from lycheerock_bench import history

# A caller gives up on an instance that does not answer, such as a frozen one.
CALLER_TIMEOUT_S = 3.0
SEARCH_DEADLINE_MS = 1_500
BOOKING_DEADLINE_MS = 800
ATTEMPTS_MAX = 3
PAUSE_S = 0.005


class Stream:
    """Callers that search and book through all instances at once.

    Attributes:
      number: Number of the newest search; queries carry it.
      searches: History of searches by service.
      bookings: History of bookings.
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

    async def progress(self, count: int) -> None:
        """Waits until `count` more requests were answered or given up."""
        wanted = self._request_count() + count
        while self._request_count() < wanted:
            for task in self._tasks:
                if task.done():
                    task.result()
            await asyncio.sleep(PAUSE_S)

    def _request_count(self) -> int:
        searches = sum(len(found) for found in self.searches.values())
        return searches + len(self.bookings)

    async def stop(self) -> None:
        """Ends the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _any_instance(self) -> str:
        instances: list[str] = sorted(self._deployment.settings)
        return self._random.choice(instances)

    async def _search_forever(self) -> None:
        while True:
            self.number += 1
            query = {"number": self.number}
            service = self._random.choice(self._services)
            answer = await _or_none(
                self._deployment.search(
                    self._any_instance(), service, query, SEARCH_DEADLINE_MS
                )
            )
            self.searches[service].append(history.Search(query, answer))
            await asyncio.sleep(PAUSE_S)

    async def _book_forever(self) -> None:
        while True:
            found = await _or_none(
                self._deployment.issue_keys(self._any_instance())
            )
            if found is not None:
                await self._book(found[0])
            await asyncio.sleep(PAUSE_S)

    async def _book(self, key: str) -> None:
        """Books, and repeats it through others even after it is done."""
        service = self._random.choice(self._services)
        shard_key = f"k{self._random.randrange(1_000)}"
        for _ in range(ATTEMPTS_MAX):
            start_s = time.monotonic()
            answer = None
            try:
                answer = await _or_none(
                    self._deployment.book(
                        self._any_instance(),
                        service,
                        key,
                        shard_key,
                        BOOKING_DEADLINE_MS,
                    )
                )
            finally:
                # An attempt that `stop` cancels may have run, too.
                self.bookings.append(history.Booking(key, start_s, answer))

    async def violations(
        self, shard_maps: dict[str, history.ShardMaps]
    ) -> list[str]:
        """Checks the history against the journals of the targets."""
        runs = []
        for target in self._deployment.targets():
            entries = await self._deployment.target_journal(target["target_id"])
            runs += [history.Run(e["key"], e["time_s"]) for e in entries]
        found = history.check_bookings(self.bookings, runs)
        for service, searches in self.searches.items():
            found += history.check_searches(searches, shard_maps[service])
        return found


async def _or_none(request: Any) -> Any:
    """Returns the result, or None if the connection broke or hangs."""
    with contextlib.suppress(
        TimeoutError, aiohttp.ClientError, ConnectionError, KeyError
    ):
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            return await request
    return None
