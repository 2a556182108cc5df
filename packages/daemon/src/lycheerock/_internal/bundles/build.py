"""Wires up the components of the bundle life cycle on one instance."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from lycheerock._internal.bundles import actions as actions_lib
from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import confirmation
from lycheerock._internal.bundles import coordinator as coordinator_lib
from lycheerock._internal.bundles import handlers as handlers_lib
from lycheerock._internal.bundles import peer_client as peer_client_lib
from lycheerock._internal.bundles import peer_set as peer_set_lib
from lycheerock._internal.bundles import periodic_checks
from lycheerock._internal.bundles import records
from lycheerock._internal.bundles import reports
from lycheerock._internal.bundles import rollout_runner as runner_lib
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.bundles import updater as updater_lib
from lycheerock._internal.bundles import watcher as watcher_lib
from lycheerock._internal.lifecycle import supervision
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.peers import channels as channels_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import settings as settings_lib
from lycheerock_protocol import peer_pb2

# Each instance forwards a new activation to this many random peers, so that it
# spreads even if the coordinator fails while it makes its calls.
FORWARD_COUNT = 2


def build(
    settings: settings_lib.Settings,
    store: store_lib.BundleStore,
    directory: directory_lib.Directory,
    channels: channels_lib.Channels,
    platform: client_lib.PlatformClient,
) -> "BundleLifecycle":
    """Builds the bundle components of one process."""
    configured = (
        peer_set_lib.PeerAddress(peer.instance_id, peer.peer_address)
        for peer in settings.peers
    )
    peer_set = peer_set_lib.PeerSet(directory, configured)
    return BundleLifecycle(store, peer_set, channels, platform)


class BundleLifecycle:
    """Owns the bundle components and background tasks of one process."""

    def __init__(
        self,
        store: store_lib.BundleStore,
        peer_set: peer_set_lib.PeerSet,
        channels: channels_lib.Channels,
        platform: client_lib.PlatformClient,
    ):
        self._store = store
        self._peer_set = peer_set
        self._peer_client = peer_client_lib.PeerClient(channels)
        catalog = catalog_lib.Catalog(platform)
        self._updater = updater_lib.BundleUpdater(
            store, catalog, self._peer_client
        )
        self.handlers = handlers_lib.BundleHandlers(
            lambda: peer_set.own, self._updater, self._forward
        )
        self.coordinator = coordinator_lib.Coordinator(
            runner_lib.Dependencies(
                platform,
                catalog,
                self._updater,
                peer_set,
                self._peer_client,
                self.handlers,
            )
        )
        self.actions = self._build_actions(platform)
        reader = watcher_lib.RolloutReader(platform, self._updater, peer_set)
        self._watcher = watcher_lib.Watcher(reader, peer_set)
        self._periodic_checks = periodic_checks.PeriodicChecks(
            self._updater,
            peer_set,
            reader,
            confirmation.PeerConfirmation(
                self._updater, peer_set, self._peer_client
            ),
            self.coordinator.take_over,
        )
        self._background_tasks: set[asyncio.Task[Any]] = set()
        # Gossip repeats a number until it is in force here; this set prevents
        # fetching the same bundle twice at once.
        self._fetching_numbers: set[int] = set()

    def _build_actions(
        self, platform: client_lib.PlatformClient
    ) -> actions_lib.Actions:
        reporter = reports.Reporter(
            platform, self._peer_set, self._peer_client, self.handlers
        )
        return actions_lib.Actions(
            platform, self.coordinator, reporter.collect, self._local_rollout
        )

    async def run(self) -> None:
        """Runs the background tasks until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    supervision.keep_running(
                        "bundle watcher", self._watcher.run
                    )
                )
                group.create_task(self._periodic_checks.run())
        finally:
            await self.coordinator.close()

    def _local_rollout(self) -> records.Rollout:
        state = self._store.state
        return records.Rollout(
            in_force=state.in_force, staging=state.staging, epoch=state.epoch
        )

    async def _forward(self, request: peer_pb2.ActivateRequest) -> None:
        message = peer_pb2.ActivateRequest(
            number=request.number,
            epoch=request.epoch,
            peer_address=self._peer_set.own.peer_address,
        )
        for address in self._peer_set.sample(FORWARD_COUNT):
            self._run_in_background(
                self._peer_client.activate(address, message)
            )

    def _run_in_background(
        self, call: Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        task = asyncio.create_task(call)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    def local_bundle(self) -> members_lib.BundleNumbers:
        """Returns the bundle numbers to send with gossip messages."""
        pending = self._store.state.pending_rollout
        if pending is None or not pending.acknowledged:
            return members_lib.BundleNumbers(self._store.number)
        return members_lib.BundleNumbers(
            self._store.number, pending.number, pending.epoch
        )

    def on_peer_bundle(
        self, member: members_lib.Member, numbers: members_lib.BundleNumbers
    ) -> None:
        """Fetches and activates a newer bundle that a peer has in force."""
        number = numbers.in_force
        if number > self._store.number and number not in self._fetching_numbers:
            self._fetching_numbers.add(number)
            task = self._run_in_background(
                self._updater.activate(number, [member.peer_address])
            )
            task.add_done_callback(
                lambda _: self._fetching_numbers.discard(number)
            )

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values, for the state dump."""
        state = self._store.state
        return {
            "in_force": self._store.number,
            "in_force_since_s": self._store.in_force_since_s,
            "problem": self._store.problem(),
            "epoch": state.epoch,
            "staging": state.staging,
            "binding": state.pending_rollout and state.pending_rollout.number,
            "coordinating": self.coordinator.state(),
        }
