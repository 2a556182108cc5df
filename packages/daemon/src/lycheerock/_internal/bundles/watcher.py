"""Reads and watches the rollout object on the platform."""

import asyncio
import random

from returns import result
import structlog

from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import peer_set as peer_set_lib
from lycheerock._internal.bundles import records
from lycheerock._internal.bundles import updater as updater_lib
from lycheerock._internal.lifecycle import backoff as backoff_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

WATCHER_COUNT = 3
WATCH_RANK_KEY = "rollout-watch"
FALLBACK_READ_PERIOD_S = 60.0
FALLBACK_READ_JITTER_RATIO = 0.5
ROLE_CHECK_PERIOD_S = 2.0
FETCH_PEERS_MAX = 2


class RolloutReader:
    """Reads `rollout/current` and applies it to the local state."""

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        updater: updater_lib.BundleUpdater,
        peer_set: peer_set_lib.PeerSet,
    ):
        self._platform = platform
        self._updater = updater
        self._peer_set = peer_set

    async def read(self) -> bool:
        """Reads the object once and applies it.

        Returns:
          Whether the platform replied with a valid object.
        """
        started_s = self._updater.store.now_s()
        found = await self._platform.get(
            records.ROLLOUT_KIND, records.ROLLOUT_NAME
        )
        return await self._apply(found, started_s)

    async def watch(self) -> bool:
        """Waits for a change of the object and applies it.

        Returns:
          Whether the platform replied with a valid object.
        """
        started_s = self._updater.store.now_s()
        version = self._updater.store.state.version
        found = await self._platform.watch(
            records.ROLLOUT_KIND, records.ROLLOUT_NAME, version
        )
        return await self._apply(found, started_s)

    async def _apply(
        self, found: client_lib.ReadResult, started_s: float
    ) -> bool:
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
        await self._updater.apply_read(
            read.version,
            read.rollout,
            started_s,
            self._peer_set.sample(FETCH_PEERS_MAX),
        )
        return True


class Watcher:
    """Watches the rollout object, or reads it at long intervals.

    Only the instances whose rank is below WATCHER_COUNT watch the object. The
    others learn of changes from their peers; their reads find a change of which
    all notifications were lost.
    """

    def __init__(
        self, reader: RolloutReader, peer_set: peer_set_lib.PeerSet
    ) -> None:
        self._reader = reader
        self._peer_set = peer_set
        self._random = random.SystemRandom()
        self._backoff = backoff_lib.Backoff()

    async def run(self) -> None:
        """Applies changes until cancelled."""
        # At the start, no other members are known yet, so every instance would
        # become a watcher. PeriodicChecks reads the object meanwhile.
        await asyncio.sleep(ROLE_CHECK_PERIOD_S)
        while True:
            try:
                await self._run_once()
            except exceptions.LycheerockError as error:
                _LOG.warning("bundle_refresh_failed", error=str(error))
                await asyncio.sleep(self._backoff.next_delay_s())

    async def _run_once(self) -> None:
        if self._is_watcher():
            succeeded = await self._reader.watch()
        else:
            await self._wait_for_role()
            succeeded = self._is_watcher() or await self._reader.read()
        if succeeded:
            self._backoff.reset()
        else:
            await asyncio.sleep(self._backoff.next_delay_s())

    def _is_watcher(self) -> bool:
        return self._peer_set.rank(WATCH_RANK_KEY) < WATCHER_COUNT

    async def _wait_for_role(self) -> None:
        """Waits until this instance is a watcher or its next read is due."""
        jitter = self._random.uniform(
            1 - FALLBACK_READ_JITTER_RATIO, 1 + FALLBACK_READ_JITTER_RATIO
        )
        remaining_s = FALLBACK_READ_PERIOD_S * jitter
        while remaining_s > 0 and not self._is_watcher():
            await asyncio.sleep(ROLE_CHECK_PERIOD_S)
            remaining_s -= ROLE_CHECK_PERIOD_S
