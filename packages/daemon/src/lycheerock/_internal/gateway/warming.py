"""Keeps a connection open to the targets that are likely to be asked next."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import time

import structlog

from lycheerock._internal.routing import table
from lycheerock._internal.targets import choice
from lycheerock._internal.targets import registry as registry_lib
from lycheerock._internal.upstream import pool as pool_lib

_LOG = structlog.get_logger()

# Time between two looks at all connections: a fraction of the time for which
# targets keep idle ones, so that few requests meet a closed one.
PERIOD_S = 1.0

# Targets of a service that are kept reachable: the first choice and the one for
# a hedge, which would otherwise wait two more round trips between regions.
TARGETS_PER_SERVICE = 2

# Connections that are opened at the same time, so that a start or a new
# configuration does not delay requests.
OPENING_MAX = 16


# Time for which services that a new configuration names count as used: the
# first requests come within it.
NEW_SERVICE_S = 4.0


class Warmer:
    """Opens connections to targets of the services that are in use."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        services_in_use: Callable[[], Iterable[str]],
    ) -> None:
        self._registry = registry
        self._services_in_use = services_in_use
        self._routes: tuple[table.Route, ...] = ()
        self._new_until_s: dict[str, float] = {}
        self._due = asyncio.Event()
        self.opened_count = 0

    def apply(self, routes: table.RouteTable) -> None:
        """Warms services that routes in use have been moved to.

        Args:
          routes: The new route table.
        """
        used = set(self._services_in_use())
        in_use = {
            route.name
            for route in self._routes
            if used.intersection(route.service_names)
        }
        until_s = time.monotonic() + NEW_SERVICE_S
        for route in routes.routes:
            if route.name in in_use:
                self._new_until_s.update(
                    dict.fromkeys(route.service_names, until_s)
                )
        self._routes = routes.routes
        self._due.set()

    async def run(self) -> None:
        """Opens connections until cancelled."""
        while True:
            cold = self._cold_pools()
            room = asyncio.Semaphore(OPENING_MAX)
            await asyncio.gather(*(self._warm(pool, room) for pool in cold))
            try:
                async with asyncio.timeout(PERIOD_S):
                    await self._due.wait()
            except TimeoutError:
                # The usual case: nothing has changed.
                continue
            self._due.clear()

    def _cold_pools(self) -> list[pool_lib.Pool]:
        now_s = time.monotonic()
        found = []
        for service in self._services(now_s):
            candidates = self._registry.candidates(service, now_s)
            for name in choice.best(candidates, now_s, TARGETS_PER_SERVICE):
                target = self._registry.get(name)
                if target is not None and target.pool.is_cold:
                    found.append(target.pool)
        return found

    def _services(self, now_s: float) -> set[str]:
        for service, until_s in list(self._new_until_s.items()):
            if until_s < now_s:
                del self._new_until_s[service]
        return {*self._services_in_use(), *self._new_until_s}

    async def _warm(self, pool: pool_lib.Pool, room: asyncio.Semaphore) -> None:
        async with room:
            try:
                await pool.warm()
            except pool_lib.ConnectError as error:
                # Whether the target works is decided by requests alone.
                _LOG.debug("warming_failed", error=str(error))
                return
            self.opened_count += 1
