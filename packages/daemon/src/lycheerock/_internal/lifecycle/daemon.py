"""Builds and runs an instance of the query tier."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import random
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
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.dispatch import dispatcher as dispatcher_lib
from lycheerock._internal.dispatch import state_probes
from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.entry import server as entry_server
from lycheerock._internal.ingress import callers as callers_lib
from lycheerock._internal.lifecycle import callers
from lycheerock._internal.lifecycle import in_flight as in_flight_lib
from lycheerock._internal.lifecycle import listener as listener_lib
from lycheerock._internal.lifecycle import member_listeners
from lycheerock._internal.lifecycle import operator_wiring
from lycheerock._internal.lifecycle import phase as phase_lib
from lycheerock._internal.lifecycle import request_log
from lycheerock._internal.lifecycle import stopping
from lycheerock._internal.lifecycle import supervision
from lycheerock._internal.membership import build as membership_lib
from lycheerock._internal.membership import gossip as gossip_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import seed_discovery
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
from lycheerock._internal.routing import table as table_lib
from lycheerock_model import settings as settings_lib

_LOG = structlog.get_logger()

# Peers close their streams once they learn that this instance has left.
PEER_CALLS_GRACE_S = 2.0

# Limits on callers. The interface itself refuses bodies that are somewhat too
# large, so that its error names a remedy.
_CALLER_LIMITS = table_lib.CallerLimits(
    header_size_max_bytes=8_190,
    body_size_max_bytes=4 * entry_server.BODY_SIZE_MAX_BYTES,
)
# The settings do not state the memory of the machine.
_MEMORY_ASSUMED_MB = 300.0


async def run(settings: settings_lib.Settings) -> int:
    """Runs an instance until it is shut down and returns its exit code."""
    return await Daemon(settings).run()


class Daemon:
    """Creates, connects and runs the components of the process."""

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings
        self.incarnation = time.time_ns() // 1_000_000
        self._phase = phase_lib.PhaseState()
        self._in_flight = in_flight_lib.InFlight()
        self._signals = asyncio.Queue[int]()
        self._is_stopping = False
        self._store = store_lib.BundleStore(
            gate_lib.AdmissionGate(time.monotonic())
        )
        self._channels = channels_lib.Channels()
        self._target_states = target_states_lib.TargetStates()
        self._bundle_view = views.BundleView()
        self._store.subscribe(self._bundle_view.apply)
        self._metrics = metrics_lib.RequestMetrics()
        self._platform = client_lib.PlatformClient(
            settings.platform_address, settings.instance_id
        )
        self._ingress_gate = callers_lib.IngressGate(
            lambda: _CALLER_LIMITS,
            callers_lib.capacity_of(_MEMORY_ASSUMED_MB, 0),
        )
        self._build_membership()
        context = self._build_serving()
        self._build_bundles()
        self._build_booking(context)

    def _build_membership(self) -> None:
        settings = self._settings
        self._membership = membership_lib.build(
            settings, self.incarnation, self._target_states, random.Random()
        )
        self._directory = self._membership.directory
        self._links = link_table.LinkTable()
        self._directory.subscribe(
            member_listeners.create_link_updater(
                self._links, settings.instance_id
            )
        )
        self._directory.subscribe(self._update_incarnation)

    def _build_serving(self) -> sender_lib.Context:
        settings = self._settings
        candidates = member_listeners.OwnerCandidates(self._directory)
        self._dispatcher = dispatcher_lib.Dispatcher(
            settings.instance_id,
            candidates.current,
            self._links,
            self._target_states,
        )
        self._store.subscribe(self._dispatcher.apply)
        service_state_table = service_states.ServiceStates()
        self._store.subscribe(service_state_table.apply)
        context = sender_lib.Context(
            self._dispatcher, self._target_states, service_state_table
        )
        self._searcher = search_lib.Searcher(context)
        self._records = records_lib.Records()
        return context

    def _build_bundles(self) -> None:
        settings = self._settings
        self._bundles = bundles_build.build(
            settings,
            self._store,
            self._directory,
            self._channels,
            self._platform,
        )
        self._gossip = gossip_lib.Gossip(
            self._membership,
            self._channels,
            self._bundles.local_bundle,
            self._bundles.on_peer_bundle,
        )

    def _build_booking(self, context: sender_lib.Context) -> None:
        settings = self._settings
        table = keys.KeyTable(
            settings.instance_id, self.incarnation, time.monotonic()
        )
        self._forwarder = forwarding.Forwarder(self._directory, self._channels)
        self._runner = runner_lib.BookingRunner(
            table, context, self._forwarder.forward
        )

    def _update_incarnation(self, member: members_lib.Member) -> None:
        if member.instance_id == self._settings.instance_id:
            self.incarnation = member.incarnation
            self._runner.table.raise_incarnation(member.incarnation)

    async def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully.

        A second signal or reaching the grace limit ends the process
        immediately with exit code 1, without returning.

        Returns:
          Exit code.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                signal_number, self._on_signal, signal_number
            )
        async with contextlib.AsyncExitStack() as stack:
            steps = await self._start(stack)
            _LOG.info("started", incarnation=self.incarnation)
            await self._signals.get()
            _LOG.info("stopping", in_flight=len(self._in_flight))
            await self._stop(steps)
        return 0

    def _on_signal(self, signal_number: int) -> None:
        self._is_stopping = True
        self._signals.put_nowait(signal_number)

    async def _stop(self, steps: stopping.Steps) -> None:
        graceful_shutdown = asyncio.create_task(
            stopping.run(
                self._phase,
                self._in_flight,
                self._settings.balancer_notice_s,
                steps,
            )
        )
        second_signal = asyncio.create_task(self._signals.get())
        await asyncio.wait(
            (graceful_shutdown, second_signal),
            timeout=self._settings.grace_limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not graceful_shutdown.done():
            reason = "second signal" if second_signal.done() else "grace limit"
            stopping.abort(self._in_flight, reason)
        second_signal.cancel()
        graceful_shutdown.result()

    def _long_lived_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        return {
            "bundles": self._bundles.run,
            "gossip": self._gossip.run,
            "target state probes": functools.partial(
                state_probes.run,
                self._dispatcher,
                self._target_states,
                f"{self._settings.instance_id}.{self.incarnation:x}",
            ),
            "seed discovery": functools.partial(
                seed_discovery.run,
                self._platform,
                self._membership.seeds,
                random.Random(),
            ),
        }

    async def _start(self, stack: contextlib.AsyncExitStack) -> stopping.Steps:
        stack.push_async_callback(self._platform.close)
        stack.push_async_callback(self._channels.close)
        stack.push_async_callback(self._dispatcher.close)
        stack.push_async_callback(self._links.close)
        grpc_server = await self._start_peer_server()
        stack.push_async_callback(grpc_server.stop, None)
        for name, run in self._long_lived_tasks().items():
            supervised = supervision.keep_running(name, run)
            stack.callback(asyncio.create_task(supervised).cancel)
        entry = entry_server.EntryServer(
            f"{self._settings.instance_id}.{self.incarnation:x}",
            self._store,
            self._searcher,
            self._runner,
            records=self._records,
            metrics=self._metrics,
            on_request_end=request_log.create_observer(self._metrics),
        )
        app = entry.build()
        app.middlewares.append(callers.middleware(self._in_flight, self._phase))
        listener = await _serve(
            stack, app, self._settings.caller_address, self._ingress_gate
        )
        operator = operator_wiring.build(self._operator_components())
        await _serve(stack, operator, self._settings.operator_address)
        return stopping.Steps(
            self._gossip.announce_leaving,
            listener.stop,
            self._gossip.announce_left,
            lambda: grpc_server.stop(PEER_CALLS_GRACE_S),
        )

    def _operator_components(self) -> operator_wiring.Components:
        return operator_wiring.Components(
            settings=self._settings,
            dump=self.dump,
            is_ready=self._is_ready,
            is_stopping=lambda: self._is_stopping,
            directory=self._directory,
            bundle=self._bundle_view,
            bundle_actions=self._bundles.actions,
            dispatch_state=self._dispatcher.state,
            target_states=self._target_states,
            records=self._records,
            metrics=self._metrics,
            platform_calls=self._platform.call_counts,
        )

    def _is_ready(self) -> bool:
        is_serving = self._phase.phase == phase_lib.Phase.SERVING
        return is_serving and not self._store.problem()

    async def _start_peer_server(self) -> grpc.aio.Server:
        servicer = peer_server.PeerServicer(
            self._in_flight.tracked_submit(self._dispatcher.submit_direct),
            self._in_flight.tracked_run(
                forwarding.create_run_handler(self._runner, self._store)
            ),
            self._gossip.serve,
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
            "members": [
                dataclasses.asdict(member)
                for member in (
                    self._directory.local_member,
                    *self._directory.peers(),
                )
            ],
            "gossip": dataclasses.asdict(self._gossip.counters),
            "targets": self._dispatcher.state(),
            "phase": self._phase.phase.name.lower(),
            "in_flight": [
                dataclasses.asdict(request)
                for request in self._in_flight.requests()
            ],
            "caller_connections": self._ingress_gate.describe(),
            "keys_used": len(self._runner.table),
            "platform_calls": dict(self._platform.call_counts),
        }


async def _serve(
    stack: contextlib.AsyncExitStack,
    app: aiohttp.web.Application,
    address: str,
    gate: callers_lib.IngressGate | None = None,
) -> listener_lib.Listener:
    runner = aiohttp.web.AppRunner(app, access_log=None)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    listener = listener_lib.Listener(runner, address, gate)
    stack.callback(listener.close)
    await listener.start()
    return listener
