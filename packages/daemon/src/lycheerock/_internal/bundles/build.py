"""Connects the parts of the bundle life cycle on one instance."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

from lycheerock._internal.bundles import actions as actions_lib
from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import confirmation
from lycheerock._internal.bundles import coordination
from lycheerock._internal.bundles import coordinator as coordinator_lib
from lycheerock._internal.bundles import guard as guard_lib
from lycheerock._internal.bundles import handlers as handlers_lib
from lycheerock._internal.bundles import learner as learner_lib
from lycheerock._internal.bundles import network as network_lib
from lycheerock._internal.bundles import peer_calls
from lycheerock._internal.bundles import records
from lycheerock._internal.bundles import reports
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.bundles import watcher as watcher_lib
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.peers import channels as channels_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import settings as settings_lib
from lycheerock_protocol import peer_pb2

_LOG = structlog.get_logger()

# Each instance tells two others when it learns of an acceptance, so that the
# news spreads even if the coordinator is lost while it calls.
FORWARD_COUNT = 2


def build(
    settings: settings_lib.Settings,
    store: store_lib.BundleStore,
    directory: directory_lib.Directory,
    channels: channels_lib.Channels,
    platform: client_lib.PlatformClient,
) -> "BundleParts":
    """Builds the bundle life cycle of one process."""
    configured = (
        network_lib.PeerAddress(peer.instance_id, peer.peer_address)
        for peer in settings.peers
    )
    network = network_lib.Network(directory, configured)
    return BundleParts(store, network, channels, platform)


class BundleParts:
    """The bundle life cycle of one process."""

    def __init__(
        self,
        store: store_lib.BundleStore,
        network: network_lib.Network,
        channels: channels_lib.Channels,
        platform: client_lib.PlatformClient,
    ):
        self._store = store
        self._network = network
        self._calls = peer_calls.PeerCalls(channels)
        catalog = catalog_lib.Catalog(platform)
        self._learner = learner_lib.Learner(store, catalog, self._calls)
        self.handlers = handlers_lib.BundleHandlers(
            lambda: network.own, self._learner, self._forward
        )
        self.coordinator = coordinator_lib.Coordinator(
            coordination.Parts(
                platform,
                catalog,
                self._learner,
                network,
                self._calls,
                self.handlers,
            )
        )
        self.actions = self._build_actions(platform)
        reader = watcher_lib.RolloutReader(platform, self._learner, network)
        self._watcher = watcher_lib.Watcher(reader, network)
        self._guard = guard_lib.Guard(
            self._learner,
            network,
            reader,
            confirmation.PeerConfirmation(self._learner, network, self._calls),
            self.coordinator.take_over,
        )
        self._background: set[asyncio.Task[Any]] = set()
        # Gossip names a number again and again until it is fetched.
        self._wanted: set[int] = set()

    def _build_actions(
        self, platform: client_lib.PlatformClient
    ) -> actions_lib.Actions:
        reporter = reports.Reporter(
            platform, self._network, self._calls, self.handlers
        )
        return actions_lib.Actions(
            platform, self.coordinator, reporter.collect, self._local_rollout
        )

    async def run(self) -> None:
        """Runs all tasks until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._watcher.run())
                group.create_task(self._guard.run())
        except Exception:
            # Without ticks the gate closes, so no old bundle is served.
            _LOG.exception("bundle_tasks_failed")
            raise
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
            peer_address=self._network.own.peer_address,
        )
        for address in self._network.sample(FORWARD_COUNT):
            self._start(self._calls.activate(address, message))

    def _start(self, call: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(call)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def local_bundle(self) -> members_lib.BundleNumbers:
        """Returns the numbers that travel with gossip."""
        binding = self._store.state.binding
        if binding is None or not binding.acknowledged:
            return members_lib.BundleNumbers(self._store.number)
        return members_lib.BundleNumbers(
            self._store.number, binding.number, binding.epoch
        )

    def on_peer_bundle(
        self, member: members_lib.Member, numbers: members_lib.BundleNumbers
    ) -> None:
        """Fetches a bundle that a peer has in force."""
        number = numbers.in_force
        if number > self._store.number and number not in self._wanted:
            self._wanted.add(number)
            task = self._start(
                self._learner.activate(number, [member.peer_address])
            )
            task.add_done_callback(lambda _: self._wanted.discard(number))

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        state = self._store.state
        return {
            "in_force": self._store.number,
            "in_force_since_s": self._store.in_force_since_s,
            "problem": self._store.problem(),
            "epoch": state.epoch,
            "staging": state.staging,
            "binding": state.binding and state.binding.number,
            "coordinating": self.coordinator.state(),
        }
