"""Periodic checks of the admission gate, the lease and the coordinator."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import structlog

from lycheerock._internal.bundles import confirmation as confirmation_lib
from lycheerock._internal.bundles import gate as gate_lib
from lycheerock._internal.bundles import peer_set as peer_set_lib
from lycheerock._internal.bundles import updater as updater_lib
from lycheerock._internal.bundles import watcher as watcher_lib
from lycheerock._internal.lifecycle import backoff as backoff_lib
from lycheerock._internal.lifecycle import supervision

_LOG = structlog.get_logger()

LEASE_REFRESH_AGE_S = 1.5
CONFIRM_PERIOD_S = 0.3
TAKEOVER_RETRY_DELAY_S = 1.0
TAKEOVER_RANK_KEY = "rollout-takeover"

TakeOver = Callable[[], Awaitable[None]]


class PeriodicChecks:
    """Opens the admission gate, renews the lease and takes over rollouts.

    Each check has its own task, which starts again after an unexpected error
    and leaves the other checks running. While the gate is closed, the bundle is
    confirmed with peers and the platform. A rollout is taken over if its
    coordinator does not respond.
    """

    def __init__(
        self,
        updater: updater_lib.BundleUpdater,
        peer_set: peer_set_lib.PeerSet,
        reader: watcher_lib.RolloutReader,
        peer_confirmation: confirmation_lib.PeerConfirmation,
        take_over: TakeOver,
    ):
        self._store = updater.store
        self._peer_set = peer_set
        self._reader = reader
        self._peer_confirmation = peer_confirmation
        self._take_over = take_over

    async def run(self) -> None:
        """Runs all tasks until cancelled."""
        tasks: dict[str, Callable[[], Awaitable[None]]] = {
            "freeze detection": self._detect_freezes,
            "confirmation with peers": self._confirm_with_peers,
            "lease renewal": self._read_platform,
            "coordinator check": self._watch_coordinator,
        }
        async with asyncio.TaskGroup() as group:
            for name, run in tasks.items():
                group.create_task(supervision.keep_running(name, run))

    async def _detect_freezes(self) -> None:
        was_open = True
        while True:
            is_open = self._is_gate_open()
            if is_open != was_open:
                _LOG.info("admission_gate", open=is_open)
            was_open = is_open
            await asyncio.sleep(gate_lib.TICK_PERIOD_S)

    def _is_gate_open(self) -> bool:
        gate = self._store.gate
        return gate is None or gate.observe(self._store.now_s())

    async def _confirm_with_peers(self) -> None:
        while True:
            if not self._is_gate_open():
                await self._peer_confirmation.try_confirm()
            await asyncio.sleep(CONFIRM_PERIOD_S)

    async def _read_platform(self) -> None:
        backoff = backoff_lib.Backoff()
        while True:
            if not self._needs_platform():
                await asyncio.sleep(gate_lib.TICK_PERIOD_S)
            elif await self._reader.read():
                backoff.reset()
                await asyncio.sleep(LEASE_REFRESH_AGE_S)
            else:
                await asyncio.sleep(backoff.next_delay_s())

    def _needs_platform(self) -> bool:
        age_s = self._store.state.lease_age_s(self._store.now_s())
        return age_s > LEASE_REFRESH_AGE_S or not self._is_gate_open()

    async def _watch_coordinator(self) -> None:
        while True:
            rank = self._peer_set.rank(TAKEOVER_RANK_KEY)
            if self._store.state.takeover_due(self._store.now_s(), rank):
                await self._take_over()
                await asyncio.sleep(TAKEOVER_RETRY_DELAY_S)
            await asyncio.sleep(gate_lib.TICK_PERIOD_S)
