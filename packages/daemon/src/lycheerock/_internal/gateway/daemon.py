"""Builds and runs one gateway process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import itertools
import pathlib
import signal
import socket
import time
from typing import Any

import aiohttp.web
import structlog

from lycheerock._internal.discovery import evacuations as evacuations_lib
from lycheerock._internal.discovery import follower as follower_lib
from lycheerock._internal.discovery import instances as instances_lib
from lycheerock._internal.discovery import probing
from lycheerock._internal.discovery import routes as routes_lib
from lycheerock._internal.discovery import targets as targets_lib
from lycheerock._internal.feed import publisher as publisher_lib
from lycheerock._internal.feed import subscription as subscription_lib
from lycheerock._internal.gateway import delivery as delivery_lib
from lycheerock._internal.gateway import early_listener
from lycheerock._internal.gateway import handler as handler_lib
from lycheerock._internal.gateway import operations
from lycheerock._internal.gateway import request_log
from lycheerock._internal.gateway import retry_budget
from lycheerock._internal.gateway import running as running_lib
from lycheerock._internal.gateway import server as server_lib
from lycheerock._internal.gateway import shutdown
from lycheerock._internal.gateway import warming
from lycheerock._internal.ingress import callers as callers_lib
from lycheerock._internal.lifecycle import log_stream
from lycheerock._internal.lifecycle import logs
from lycheerock._internal.lifecycle import supervision
from lycheerock._internal.links import members as members_lib
from lycheerock._internal.links import mesh as mesh_lib
from lycheerock._internal.operator import exposition
from lycheerock._internal.operator import health_routes
from lycheerock._internal.platform import client as client_lib
from lycheerock._internal.platform import configuration
from lycheerock._internal.platform import evacuations
from lycheerock._internal.platform import forwarding
from lycheerock._internal.platform import target_entries
from lycheerock._internal.routing import table
from lycheerock._internal.scatter import coordinator as coordinator_lib
from lycheerock._internal.scatter import metrics as scatter_metrics
from lycheerock._internal.targets import capacity_table
from lycheerock._internal.targets import registry as registry_lib
from lycheerock._internal.targets import selection
from lycheerock._internal.upstream import pool as pool_lib
from lycheerock._internal.upstream import receive_budget
from lycheerock._internal.workspaces import bounds
from lycheerock._internal.workspaces import limiter as limiter_lib
from lycheerock_model import exceptions
from lycheerock_model import gateway_settings

_LOG = structlog.get_logger()

# Maximum wait of a watch, as a fraction of the stable window, which is the time
# after a fault within which all bounds must hold again.
WATCH_WAIT_RATIO = 0.6

# Time that remains of the stable window after a watch on a connection that has
# gone silent has timed out, for the backoff and a list on a new connection.
SILENCE_RESERVE_S = 1.5

# Time for which the end of the process waits for requests to each of its
# internal servers. The callers' connections are closed by then, and a feed
# whose subscriber is frozen would never end by itself.
INTERNAL_SHUTDOWN_TIMEOUT_S = 0.1


def make_distance_function(
    zone: str, region_by_zone: Mapping[str, str]
) -> Callable[[str], selection.Distance]:
    """Returns a function that maps a zone to its distance.

    Args:
      zone: Zone of this instance, from which distances are measured.
      region_by_zone: Region of each zone; a zone without a region counts as
        being in another region.
    """
    region = region_by_zone.get(zone)

    def distance_to(other: str) -> selection.Distance:
        if other == zone:
            return selection.Distance.SAME_ZONE
        if region is not None and region_by_zone.get(other) == region:
            return selection.Distance.SAME_REGION
        return selection.Distance.OTHER_REGION

    return distance_to


def watch_wait_s(stable_window_s: float) -> float:
    """Returns the maximum wait of a watch.

    Args:
      stable_window_s: Time after a fault within which all bounds must hold.
    """
    reserved_s = client_lib.WATCH_MARGIN_S + SILENCE_RESERVE_S
    return min(
        WATCH_WAIT_RATIO * stable_window_s,
        max(1.0, stable_window_s - reserved_s),
    )


class GatewayDaemon:
    """Owns the components of one gateway process."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        settings_path: pathlib.Path,
        stream: log_stream.NonBlockingStream,
        *,
        listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._settings_path = settings_path
        self._stream = stream
        self._started_s = time.monotonic()
        self._platform = client_lib.PlatformClient(
            settings.platform_address, settings.instance_id
        )
        memory = receive_budget.ReceiveBudget()
        self._registry = registry_lib.Registry(
            make_distance_function(settings.zone, settings.region_by_zone),
            lambda host, port: pool_lib.Pool(
                host, port, forwarding.REQUEST_ID.lower(), memory
            ),
            settings.region_by_zone,
            settings.drain_ms / 1000,
        )
        self._capacities = capacity_table.CapacityTable(
            settings.instance_id,
            settings.pinned_capacity,
            is_set=settings.learn_target_capacity,
        )
        self._registry.capacity_of = self._capacities.capacity
        self._budgets = retry_budget.RetryBudgets(
            retry_budget.RetryLimit(
                settings.retry_ratio, settings.retry_allowance_count
            )
        )
        self._budgets.set_instance_count(settings.instance_count_assumed)
        self._log = request_log.RequestLog()
        self._routes = routes_lib.RouteSource(self._platform.unreadable)
        self._is_draining = False
        self._stop_requested = asyncio.Event()
        deliverer = delivery_lib.Deliverer(
            self._registry,
            self._budgets,
            forwarding.encode_request,
            forwarding.decode_reply,
            self._capacities,
        )
        incarnation = time.time_ns() // 1_000_000
        weight = settings.cpu_share * settings.cores
        self._mesh = mesh_lib.Mesh(
            settings.feed_address, incarnation, settings.region_by_zone
        )
        self._scatter = coordinator_lib.Coordinator(
            self._mesh,
            deliverer,
            members_lib.Member(
                settings.instance_id,
                settings.zone,
                settings.region_by_zone.get(settings.zone, ""),
                weight,
                incarnation,
            ),
            lambda service, regions: bool(
                self._registry.candidates(service, time.monotonic(), regions)
            ),
            self._apply_target_limits,
        )
        self._registry.set_share_plan(
            self._scatter.connection_limit, self._scatter.cold_sharers
        )
        self._budgets.set_capacity_plan(self._scatter.token_capacity)
        self._warmer = warming.ConnectionWarmer(
            self._registry,
            deliverer.services_in_use,
            self._scatter.may_warm,
            self._capacities.rank,
        )
        self._target_list = targets_lib.TargetSynchronizer(
            self._registry,
            asyncio.get_running_loop().call_later,
            self._platform.unreadable,
        )
        self._evacuations = evacuations_lib.EvacuationSource(
            self._registry.set_evacuated_zones
        )
        self._limiter = limiter_lib.Limiter(
            self._mesh,
            bounds.Bound(
                settings.quota_window_s or bounds.WINDOW_DEFAULT_S,
                settings.quota_overshoot_ratio,
                settings.quota_slack_count,
            ),
            self._renewed_age_s,
        )
        self._running = running_lib.RunningRequests()
        self._handler = handler_lib.Handler(
            self._wait_for_routes,
            deliverer,
            self._log,
            handler_lib.Admission(
                lambda: self._is_draining,
                self._is_configuration_confirmed,
                self._limiter,
                self._running,
            ),
            self._scatter.remote_for,
        )
        self._routes.subscribe(self._limiter.apply)
        self._routes.subscribe(self._handler.apply)
        self._routes.subscribe(self._scatter.apply)
        self._routes.subscribe(self._warmer.apply)
        self._routes.subscribe(lambda _routes: self._apply_target_limits())
        self._gate = callers_lib.IngressGate(
            self._caller_limits,
            callers_lib.capacity_of(settings.memory_mb, settings.fds_max),
        )
        self._instance_count = settings.instance_count_assumed
        self._followers = self._build_followers()
        self._publisher = publisher_lib.Publisher(
            self._followers, self._watch_wait_s
        )
        self._subscription = subscription_lib.Subscription(
            self._followers,
            settings.feed_address,
            settings.seed_addresses,
            lambda: self._publisher.subscriber_count > 0,
            lambda message: configuration.lists_workspaces(
                message.kind, message.snapshot
            ),
        )
        self._registration = instances_lib.Registration(
            self._platform,
            settings.instance_id,
            instances_lib.entry(
                settings.feed_address,
                settings.zone,
                weight,
                incarnation,
            ),
            self._apply_instance_count,
            self._apply_entries,
        )

    def _build_followers(self) -> dict[str, follower_lib.Follower]:
        sources: dict[
            str,
            routes_lib.RouteSource
            | targets_lib.TargetSynchronizer
            | evacuations_lib.EvacuationSource,
        ] = {
            configuration.OBJECT_KIND: self._routes,
            target_entries.OBJECT_KIND: self._target_list,
        }
        if self._settings.zones_may_be_evacuated:
            sources[evacuations.OBJECT_KIND] = self._evacuations
        probe = probing.StoreProbe()
        return {
            kind: follower_lib.Follower(
                self._platform,
                kind,
                self._watch_wait_s,
                follower_lib.Handlers(
                    source.on_listing,
                    source.on_changes,
                    may_be_empty=kind == evacuations.OBJECT_KIND,
                    entry_size_max_bytes=(
                        client_lib.ENTRY_SIZE_MAX_BYTES
                        if kind == configuration.OBJECT_KIND
                        else target_entries.ENTRY_SIZE_MAX_BYTES
                    ),
                    # A list that is a few seconds old may have a withdrawn key.
                    may_read_stale=kind != configuration.OBJECT_KIND
                    or self._settings.quota_window_s is None,
                ),
                probe,
            )
            for kind, source in sources.items()
        }

    @property
    def _watch_wait_s(self) -> float:
        return watch_wait_s(self._settings.stable_window_ms / 1000)

    def _is_configuration_confirmed(self) -> bool:
        return self._followers[configuration.OBJECT_KIND].is_connected

    def _renewed_age_s(self) -> float:
        return self._registration.renewed_age_s()

    def _apply_target_limits(self) -> None:
        self._budgets.resize()
        routes = self._routes.current
        if routes is None:
            return
        self._registry.set_limits(
            routes.connection_limits,
            routes.cold_rates_per_s,
            self._instance_count,
        )
        self._capacities.configure(
            routes.connection_limits,
            round(self._instance_count / instances_lib.HEADROOM_RATIO),
            has_workspaces=not routes.workspaces.is_empty,
        )

    def _apply_instance_count(self, instance_count: int) -> None:
        self._instance_count = instance_count
        self._budgets.set_instance_count(instance_count)
        self._apply_target_limits()

    def _apply_entries(self, entries: Mapping[str, Any]) -> None:
        self._subscription.set_instances(instances_lib.feed_addresses(entries))
        self._mesh.set_entries(entries)
        self._scatter.set_instance_count(len(entries))

    async def _wait_for_routes(self, limit_s: float) -> table.RouteTable | None:
        """Waits for the first route table, targets and evacuations.

        Without the targets, a request that a starting instance could serve some
        milliseconds later would be refused.
        """
        end_s = time.monotonic() + limit_s
        routes = await self._routes.wait_for_table(limit_s)
        if routes is not None:
            await self._target_list.wait_until_known(end_s - time.monotonic())
            if self._settings.zones_may_be_evacuated:
                await self._evacuations.wait_until_known(
                    end_s - time.monotonic()
                )
        return routes

    def _is_ready(self) -> bool:
        return (
            not self._is_draining
            and self._routes.current is not None
            and self._target_list.is_known
        )

    def _caller_limits(self) -> table.CallerLimits:
        routes = self._routes.current
        return table.CallerLimits() if routes is None else routes.limits

    async def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully.

        Returns:
          Exit code.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # The settings are read again, because a SIGHUP that arrived after they
        # were read and before the handler was installed was ignored.
        self._reload()
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._platform.close)
            server = server_lib.GatewayServer(
                self._handler,
                self._gate,
                self._listener
                or early_listener.open_listener(self._settings.caller_address),
            )
            stack.push_async_callback(server.close)
            for name, run in self._long_lived_tasks().items():
                supervised = supervision.keep_running(name, run)
                stack.callback(asyncio.create_task(supervised).cancel)
            await self._start_internal_servers(stack)
            stack.push_async_callback(self._mesh.close)
            await server.start()
            _LOG.info(
                "started",
                settings=str(self._settings_path),
                listened_early=self._listener is not None,
                cpu_ms=round(time.process_time() * 1000),
            )
            await self._stop_requested.wait()
            self._is_draining = True
            self._publisher.close()
            self._mesh.leave()
            await shutdown.run(
                server, self._running, self._settings.grace_limit_s
            )
        return 0

    def _long_lived_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        tasks: dict[str, Callable[[], Awaitable[None]]] = {
            f"follower of {kind}": follower.run
            for kind, follower in self._followers.items()
        }
        return tasks | {
            "registration": self._registration.run,
            "subscription": self._subscription.run,
            "connection warmer": self._warmer.run,
            "links": self._mesh.run,
            "two-stage searches": self._scatter.run,
            "caps": self._limiter.run,
        }

    def request_stop(self) -> None:
        """Starts the graceful shutdown; `run` returns when it is complete."""
        _LOG.info("stopping", grace_limit_s=self._settings.grace_limit_s)
        self._stop_requested.set()

    async def _start_internal_servers(
        self, stack: contextlib.AsyncExitStack
    ) -> None:
        health = aiohttp.web.Application()
        health.add_routes(health_routes.routes(self._is_ready))
        operations_app = operations.build(self._metrics_text, self.dump)
        feeds = aiohttp.web.Application()
        feeds.add_routes(self._publisher.routes() + self._mesh.routes())
        for app, address in (
            (health, self._settings.readiness_address),
            (operations_app, self._settings.operator_address),
            (feeds, self._settings.feed_address),
        ):
            runner = aiohttp.web.AppRunner(
                app,
                access_log=None,
                shutdown_timeout=INTERNAL_SHUTDOWN_TIMEOUT_S,
            )
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            host, _, port = address.rpartition(":")
            await aiohttp.web.TCPSite(runner, host, int(port)).start()

    def _reload(self) -> None:
        """Reloads the settings; only the log level is applied at run time."""
        try:
            loaded = gateway_settings.load(self._settings_path.read_bytes())
        except (OSError, exceptions.DocumentError) as error:
            _LOG.error("reload_failed", error=str(error))
            return
        logs.set_level(loaded.log_level)
        needs_restart = [
            key
            for key, value in vars(loaded).items()
            if key != "log_level" and value != getattr(self._settings, key)
        ]
        _LOG.info("reloaded", needs_restart=needs_restart)

    def _metrics_text(self) -> str:
        families = operations.metric_families(
            self._log,
            self._registry,
            self._stream.dropped_count,
            self._gate,
        )
        return exposition.render_families(
            itertools.chain(
                families,
                operations.store_families(
                    self._platform.call_counts, self._platform.unreadable.counts
                ),
                operations.capacity_families(self._registry, self._capacities),
                operations.workspace_families(self._limiter.counts()),
                scatter_metrics.families(self._mesh, self._scatter),
            )
        ) + exposition.render_latencies(
            "lycheerock_gateway_request_duration_seconds",
            "route",
            self._log.latencies,
            self._log.latency_sums_s,
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state of the process as JSON-compatible values."""
        now_s = time.monotonic()
        routes = self._routes.current
        return {
            "instance_id": self._settings.instance_id,
            "uptime_s": round(now_s - self._started_s, 1),
            "is_ready": self._is_ready(),
            "is_leaving": self._is_draining,
            "configuration_version": routes.version if routes else None,
            "store": {
                kind: {
                    "is_connected": follower.is_connected,
                    "era": follower.era,
                    "revision": follower.revision,
                    "confirmed_age_ms": round(
                        (now_s - follower.confirmed_s) * 1000
                    ),
                }
                for kind, follower in self._followers.items()
            },
            "feed": {
                "publisher": self._subscription.publisher,
                "subscribers": self._publisher.subscriber_count,
            },
            "links": self._mesh.dump(),
            "two_stage_searches": self._scatter.dump(),
            "workspaces": self._limiter.dump(),
            "limits_shared_by": self._instance_count,
            "callers": self._gate.describe(),
            "targets": operations.describe_targets(
                self._registry, self._capacities
            ),
            "platform_calls": dict(self._platform.call_counts),
            "unreadable_entries": self._platform.unreadable.snapshot(),
        }
