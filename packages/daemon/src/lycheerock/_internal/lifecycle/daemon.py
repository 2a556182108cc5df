"""Builds and runs one daemon process."""

import asyncio
import contextlib
import signal
import time

import aiohttp.web
import grpc
import structlog

from lycheerock._internal.booking import forwarding
from lycheerock._internal.booking import keys
from lycheerock._internal.booking import runner as runner_lib
from lycheerock._internal.bundles import build as bundles_build
from lycheerock._internal.bundles import gate as gate_lib
from lycheerock._internal.bundles import network as network_lib
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.dispatch import dispatcher as dispatcher_lib
from lycheerock._internal.dispatch import ownership
from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.entry import server as entry_server
from lycheerock._internal.lifecycle import operator_wiring
from lycheerock._internal.lifecycle import request_ends
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.operator import metrics as metrics_lib
from lycheerock._internal.operator import views
from lycheerock._internal.peers import channels as channels_lib
from lycheerock._internal.peers import link_table
from lycheerock._internal.peers import server as peer_server
from lycheerock._internal.platform import client as client_lib
from lycheerock._internal.query import records as records_lib
from lycheerock._internal.query import search as search_lib
from lycheerock._internal.query import sender as sender_lib
from lycheerock._internal.query import service_states
from lycheerock_model import settings as settings_lib

_LOG = structlog.get_logger()


class Daemon:
    """All parts of one process."""

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings
        self.incarnation = time.time_ns() // 1_000_000
        self._store = store_lib.BundleStore(
            gate_lib.AdmissionGate(time.monotonic())
        )
        self._directory = directory_lib.from_settings(
            settings, self.incarnation
        )
        self._channels = channels_lib.Channels()
        self._candidates = tuple(
            ownership.Candidate(member.instance_id, member.region, member.zone)
            for member in (self._directory.own, *self._directory.peers())
        )
        self._target_states = target_states_lib.TargetStates()
        self._bundle_view = views.BundleView()
        self._store.subscribe(self._bundle_view.apply)
        self._metrics = metrics_lib.RequestMetrics()
        self._stop = asyncio.Event()
        self._links = link_table.LinkTable()
        self._dispatcher = dispatcher_lib.Dispatcher(
            settings.instance_id,
            lambda: self._candidates,
            self._links,
            self._target_states,
        )
        self._store.subscribe(self._dispatcher.apply)
        states = service_states.ServiceStates()
        self._store.subscribe(states.apply)
        context = sender_lib.Context(
            self._dispatcher, self._target_states, states
        )
        self._searcher = search_lib.Searcher(context)
        self._records = records_lib.Records()
        self._platform = client_lib.PlatformClient(
            settings.platform_address, settings.instance_id
        )
        configured = (
            network_lib.PeerAddress(peer.instance_id, peer.peer_address)
            for peer in settings.peers
        )
        self._bundles = bundles_build.BundleParts(
            self._store,
            network_lib.Network(self._directory, configured),
            self._channels,
            self._platform,
        )
        table = keys.KeyTable(
            settings.instance_id, self.incarnation, time.monotonic()
        )
        self._forwarder = forwarding.Forwarder(self._directory, self._channels)
        self._runner = runner_lib.Runner(
            table, context, self._forwarder.forward
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            _LOG.info("started", incarnation=self.incarnation)
            await self._stop.wait()
            _LOG.info("stopping")

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        stack.push_async_callback(self._platform.close)
        stack.push_async_callback(self._channels.close)
        stack.push_async_callback(self._dispatcher.close)
        tasks = [asyncio.create_task(self._bundles.run())]
        stack.push_async_callback(self._links.close)
        for peer in self._directory.peers():
            self._links.add(peer.instance_id, peer.peer_address)
        for task in tasks:
            stack.callback(task.cancel)
        server = await self._start_peer_server()
        stack.push_async_callback(server.stop, None)
        entry = entry_server.EntryServer(
            f"{self._settings.instance_id}.{self.incarnation:x}",
            self._store,
            self._searcher,
            self._runner,
            records=self._records,
            metrics=self._metrics,
            observe_end=request_ends.observer(self._metrics),
        )
        await _serve(stack, entry.build(), self._settings.caller_address)
        operator = operator_wiring.build(self._operator_parts())
        await _serve(stack, operator, self._settings.operator_address)

    def _operator_parts(self) -> operator_wiring.Parts:
        return operator_wiring.Parts(
            settings=self._settings,
            dump=self.dump,
            is_ready=lambda: not self._store.problem(),
            is_stopping=self._stop.is_set,
            directory=self._directory,
            bundle=self._bundle_view,
            bundle_actions=self._bundles.actions,
            dispatch_state=self._dispatcher.state,
            target_states=self._target_states,
            records=self._records,
            metrics=self._metrics,
            platform_calls=self._platform.call_counts,
        )

    async def _start_peer_server(self) -> grpc.aio.Server:
        servicer = peer_server.PeerServicer(
            self._dispatcher.submit_here,
            forwarding.serve(self._runner, self._store),
        )
        servicer.bundle_handlers = self._bundles.handlers
        return await peer_server.start(self._settings.peer_address, servicer)

    def dump(self) -> dict[str, object]:
        """Returns the state of the process as JSON values."""
        return {
            "instance_id": self._settings.instance_id,
            "incarnation": self.incarnation,
            "bundle_number": self._store.number,
            "bundles": self._bundles.dump(),
            "peers": {
                name: {"address": link.address, "ready": link.is_ready}
                for name, link in self._links.items()
            },
            "targets": self._dispatcher.state(),
            "keys_used": len(self._runner.table),
            "platform_calls": dict(self._platform.call_counts),
        }


async def _serve(
    stack: contextlib.AsyncExitStack,
    app: aiohttp.web.Application,
    address: str,
) -> None:
    runner = aiohttp.web.AppRunner(app, access_log=None)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    host, _, port = address.rpartition(":")
    site = aiohttp.web.TCPSite(runner, host, int(port))
    await site.start()
