"""Notices freezes, lost contact and silent coordinators."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import structlog

from lycheerock._internal.bundles import confirmation as confirmation_lib
from lycheerock._internal.bundles import gate as gate_lib
from lycheerock._internal.bundles import learner as learner_lib
from lycheerock._internal.bundles import network as network_lib
from lycheerock._internal.bundles import watcher as watcher_lib
from lycheerock._internal.lifecycle import backoff as backoff_lib

_LOG = structlog.get_logger()

CONTACT_WANTED_S = 1.5
PEERS_PERIOD_S = 0.3
TAKEOVER_PAUSE_S = 1.0
TAKEOVER_SUBJECT = "rollout-takeover"

TakeOver = Callable[[], Awaitable[None]]


class Guard:
    """Runs one task per duty; each waits until its duty arises."""

    def __init__(
        self,
        learner: learner_lib.Learner,
        network: network_lib.Network,
        reader: watcher_lib.RolloutReader,
        peers: confirmation_lib.PeerConfirmation,
        take_over: TakeOver,
    ):
        self._store = learner.store
        self._network = network
        self._reader = reader
        self._peers = peers
        self._take_over = take_over

    async def run(self) -> None:
        """Runs all duties until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_ticks())
            group.create_task(self._confirm_by_peers())
            group.create_task(self._read_platform())
            group.create_task(self._watch_coordinator())

    async def _run_ticks(self) -> None:
        was_open = True
        while True:
            is_open = self._is_open()
            if is_open != was_open:
                _LOG.info("admission_gate", open=is_open)
            was_open = is_open
            await asyncio.sleep(gate_lib.TICK_PERIOD_S)

    def _is_open(self) -> bool:
        gate = self._store.gate
        return gate is None or gate.observe(self._store.now_s())

    async def _confirm_by_peers(self) -> None:
        while True:
            if not self._is_open():
                await self._peers.ask()
            await asyncio.sleep(PEERS_PERIOD_S)

    async def _read_platform(self) -> None:
        backoff = backoff_lib.Backoff()
        while True:
            if not self._needs_platform():
                await asyncio.sleep(gate_lib.TICK_PERIOD_S)
            elif await self._reader.read():
                backoff.reset()
                await asyncio.sleep(CONTACT_WANTED_S)
            else:
                await asyncio.sleep(backoff.next_s())

    def _needs_platform(self) -> bool:
        age_s = self._store.state.contact_age_s(self._store.now_s())
        return age_s > CONTACT_WANTED_S or not self._is_open()

    async def _watch_coordinator(self) -> None:
        while True:
            rank = self._network.rank(TAKEOVER_SUBJECT)
            if self._store.state.takeover_due(self._store.now_s(), rank):
                await self._take_over()
                await asyncio.sleep(TAKEOVER_PAUSE_S)
            await asyncio.sleep(gate_lib.TICK_PERIOD_S)
