"""Keeps connections open to the targets that are most likely to be used."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import time

import structlog

from lycheerock._internal.routing import table
from lycheerock._internal.targets import registry as registry_lib
from lycheerock._internal.targets import selection
from lycheerock._internal.upstream import pool as pool_lib

_LOG = structlog.get_logger()

# Interval between two checks of all connections. It is a fraction of the time
# for which targets keep idle connections, so that few requests find their
# connection closed.
CHECK_INTERVAL_S = 1.0

# Number of targets of each service that are kept connected: the first choice
# and the next one, for a hedge. Opening the connection only for the hedge would
# delay it by the round trip to another region.
WARM_TARGETS_PER_SERVICE = 2

# Maximum number of connections that are opened concurrently, so that a start or
# a new configuration does not delay requests.
CONCURRENT_OPENS_MAX = 16

# Time after a new configuration for which all services of a route in use count
# as in use, even if they have not received a request yet. Their first requests
# are expected within this time.
NEW_SERVICE_IN_USE_S = 4.0

Rank = Callable[[list[selection.Candidate], float, int], list[str]]


class ConnectionWarmer:
    """Opens connections to targets of services that are in use."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        services_in_use: Callable[[], Iterable[str]],
        may_warm: Callable[[str], bool] = lambda _service: True,
        rank: Rank = selection.rank,
    ) -> None:
        """Creates a warmer.

        Args:
          registry: The listed targets.
          services_in_use: Returns the services that got requests recently.
          may_warm: Returns whether connections for a service are opened.
          rank: Returns the ids of the targets that are likely to be selected.
        """
        self._rank = rank
        self._registry = registry
        self._services_in_use = services_in_use
        self._may_warm = may_warm
        self._routes: tuple[table.Route, ...] = ()
        self._new_until_s: dict[str, float] = {}
        self._routes_changed = asyncio.Event()
        self.opened_count = 0

    def apply(self, routes: table.RouteTable) -> None:
        """Starts warming the services that routes in use have from now on.

        A route is in use if one of its previous services is in use.

        Args:
          routes: The new route table.
        """
        used_services = set(self._services_in_use())
        active_route_names = {
            route.name
            for route in self._routes
            if used_services.intersection(route.service_names)
        }
        until_s = time.monotonic() + NEW_SERVICE_IN_USE_S
        for route in routes.routes:
            if route.name in active_route_names:
                self._new_until_s.update(
                    dict.fromkeys(route.service_names, until_s)
                )
        self._routes = routes.routes
        self._routes_changed.set()

    async def run(self) -> None:
        """Opens connections until cancelled."""
        while True:
            cold_pools = self._cold_pools()
            semaphore = asyncio.Semaphore(CONCURRENT_OPENS_MAX)
            await asyncio.gather(
                *(self._warm(pool, semaphore) for pool in cold_pools)
            )
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._routes_changed.wait()
            except TimeoutError:
                # The normal case: the route table has not changed.
                continue
            self._routes_changed.clear()

    def _cold_pools(self) -> list[pool_lib.Pool]:
        now_s = time.monotonic()
        pools = []
        for service in self._services_to_warm(now_s):
            candidates = self._registry.candidates(
                service, now_s, self._regions_for(service)
            )
            for target_id in self._rank(
                candidates, now_s, WARM_TARGETS_PER_SERVICE
            ):
                target = self._registry.get(target_id)
                if target is not None and target.pool.is_cold:
                    pools.append(target.pool)
        return pools

    def _regions_for(self, service: str) -> frozenset[str]:
        """Returns the regions that any route allows; empty if all may be."""
        allowed = [
            route.allowed_regions
            for route in self._routes
            if service in route.service_names
        ]
        return frozenset().union(*allowed) if all(allowed) else frozenset()

    def _services_to_warm(self, now_s: float) -> set[str]:
        for service, until_s in list(self._new_until_s.items()):
            if until_s < now_s:
                del self._new_until_s[service]
        services = {*self._services_in_use(), *self._new_until_s}
        return {service for service in services if self._may_warm(service)}

    async def _warm(
        self, pool: pool_lib.Pool, semaphore: asyncio.Semaphore
    ) -> None:
        async with semaphore:
            try:
                await pool.warm()
            except pool_lib.ConnectError as error:
                # This has no effect on the health of the target, which is
                # judged by requests only.
                _LOG.debug("warming_failed", error=str(error))
                return
            self.opened_count += 1
