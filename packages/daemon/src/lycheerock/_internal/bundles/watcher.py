"""Reads the rollout object from the platform."""

import asyncio
import random

from returns import result
import structlog

from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import learner as learner_lib
from lycheerock._internal.bundles import network as network_lib
from lycheerock._internal.bundles import records
from lycheerock._internal.lifecycle import backoff as backoff_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

WATCHER_COUNT = 3
WATCH_SUBJECT = "rollout-watch"
SAFETY_PERIOD_S = 60.0
SAFETY_JITTER_RATIO = 0.5
ROLE_CHECK_PERIOD_S = 2.0
HOLDERS_MAX = 2


class RolloutReader:
    """Reads `rollout/current` and applies what it shows."""

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        learner: learner_lib.Learner,
        network: network_lib.Network,
    ):
        self._platform = platform
        self._learner = learner
        self._network = network

    async def read(self) -> bool:
        """Reads once; returns whether the platform answered."""
        started_s = self._learner.store.now_s()
        found = await self._platform.get(records.ROLLOUT, records.CURRENT)
        return await self._apply(found, started_s)

    async def watch(self) -> bool:
        """Waits for a change; returns whether the platform answered."""
        started_s = self._learner.store.now_s()
        version = self._learner.store.state.version
        found = await self._platform.watch(
            records.ROLLOUT, records.CURRENT, version
        )
        return await self._apply(found, started_s)

    async def _apply(self, found: client_lib.Found, started_s: float) -> bool:
        if isinstance(found, result.Failure):
            _LOG.info("platform_unavailable", problem=str(found.failure()))
            return False
        stored = found.unwrap()
        if stored is None:
            stored = client_lib.Object(0, {})
        parsed = catalog_lib.parse_rollout(stored)
        if isinstance(parsed, result.Failure):
            _LOG.error("rollout_unreadable", problem=str(parsed.failure()))
            return False
        read = parsed.unwrap()
        await self._learner.apply_read(
            read.version,
            read.rollout,
            started_s,
            self._network.sample(HOLDERS_MAX),
        )
        return True


class Watcher:
    """Waits on a platform watch if chosen, otherwise reads rarely.

    Every instance reads now and then, in case all news of a change was lost.
    """

    def __init__(
        self, reader: RolloutReader, network: network_lib.Network
    ) -> None:
        self._reader = reader
        self._network = network
        self._random = random.SystemRandom()
        self._backoff = backoff_lib.Backoff()

    async def run(self) -> None:
        """Learns of changes until cancelled."""
        # The guard reads once at the start; members are known a little later,
        # and until then every instance would choose itself.
        await asyncio.sleep(ROLE_CHECK_PERIOD_S)
        while True:
            try:
                await self._run_once()
            except exceptions.LycheerockError as error:
                _LOG.warning("bundle_refresh_failed", error=str(error))
                await asyncio.sleep(self._backoff.next_s())

    async def _run_once(self) -> None:
        if self._is_chosen():
            answered = await self._reader.watch()
        else:
            await self._wait_for_role()
            answered = self._is_chosen() or await self._reader.read()
        if answered:
            self._backoff.reset()
        else:
            await asyncio.sleep(self._backoff.next_s())

    def _is_chosen(self) -> bool:
        return self._network.rank(WATCH_SUBJECT) < WATCHER_COUNT

    async def _wait_for_role(self) -> None:
        jitter = self._random.uniform(
            1 - SAFETY_JITTER_RATIO, 1 + SAFETY_JITTER_RATIO
        )
        left_s = SAFETY_PERIOD_S * jitter
        while left_s > 0 and not self._is_chosen():
            await asyncio.sleep(ROLE_CHECK_PERIOD_S)
            left_s -= ROLE_CHECK_PERIOD_S
