"""Connects two-stage searches with the rest of the process."""

import asyncio
import collections
from collections.abc import Callable
import itertools
import secrets
import time
from typing import Any

import structlog

from lycheerock._internal.gateway import delivery as delivery_lib
from lycheerock._internal.gateway import retry_budget
from lycheerock._internal.links import members as members_lib
from lycheerock._internal.links import mesh as mesh_lib
from lycheerock._internal.routing import table
from lycheerock._internal.scatter import groups as groups_lib
from lycheerock._internal.scatter import owners as owners_lib
from lycheerock._internal.scatter import shares
from lycheerock._internal.scatter import stage_one
from lycheerock._internal.scatter import stage_two
from lycheerock._internal.scatter import terms as terms_lib
from lycheerock_protocol import scatter

_LOG = structlog.get_logger()

# Key under which links to owners are kept.
_LINKS_KEY = "scatter"

# Interval at which the delay of the event loop is measured.
LAG_INTERVAL_S = 0.1

# Number of measurements without a query after which measuring ends. An instance
# that owns no group thus spends no processor time on it.
LAG_IDLE_COUNT = 20


class Coordinator:
    """Selects the owners of groups and runs both stages.

    Attributes:
      server: Runs the queries of other instances.
      owners: What was observed about the owners that were asked.
      sources: Number of shards by the instance that was chosen to query them.
    """

    def __init__(
        self,
        mesh: mesh_lib.Mesh,
        deliverer: delivery_lib.Deliverer,
        own: members_lib.Member,
        has_target: Callable[[str, frozenset[str]], bool],
        on_limits_changed: Callable[[], None],
    ) -> None:
        """Initializes the coordinator.

        Args:
          mesh: Links to other instances.
          deliverer: Sends requests to targets.
          own: This instance.
          has_target: Whether a target is known for a service and regions.
          on_limits_changed: Called when `connection_limit` may have changed.
        """
        self._mesh = mesh
        self._own = own
        self._has_target = has_target
        self._on_limits_changed = on_limits_changed
        self._running_max = stage_two.running_max(own.weight)
        self._routes: table.RouteTable | None = None
        self._places: dict[str, tuple[str, str, float]] = {}
        self._instance_count = 0
        self._two_stage: frozenset[str] = frozenset()
        self._groups: tuple[tuple[str, ...], ...] = ()
        self._group_numbers: dict[str, int] = {}
        self._orders: tuple[tuple[str, ...], ...] = ()
        self._holdings: tuple[shares.Holding, ...] = ()
        self.owners = owners_lib.Owners(mesh.own_address, mesh.is_up)
        self._queries: dict[int, stage_one.Query] = {}
        # A restarted process must not take parts of its previous queries.
        self._query_ids = itertools.count(secrets.randbits(48))
        self._lag_s = 0.0
        self.sources: collections.Counter[str] = collections.Counter()
        self.server = stage_two.QueryServer(
            deliverer, mesh.send, self._load, has_target, mesh.hello_delay_s
        )
        self._network = stage_one.Network(
            mesh.send,
            lambda: next(self._query_ids),
            self._choose,
            lambda owner, event, duration_s: self.owners.record(
                owner, event, duration_s, time.monotonic()
            ),
            self._queries.__setitem__,
            self._unregister,
            lambda shard, route_name, latency_s: deliverer.latency_window(
                shard, route_name
            ).observe(latency_s),
        )
        server = self.server
        mesh.on(scatter.QUERY, scatter.ScatterQuery, server.on_query)
        mesh.on(scatter.EXTEND, scatter.ScatterExtend, server.on_extend)
        mesh.on(scatter.CANCEL, scatter.ScatterCancel, server.on_cancel)
        mesh.on(scatter.ACCEPTED, scatter.ScatterAccepted, self._on_accepted)
        mesh.on(scatter.PARTS, scatter.ScatterParts, self._on_parts)
        mesh.on_lost(self._on_lost)
        mesh.on_members_changed(self._on_members_changed)

    # Decisions about groups

    def apply(self, routes: table.RouteTable) -> None:
        """Applies a new configuration."""
        self._routes = routes
        self._update()

    def set_instance_count(self, instance_count: int) -> None:
        """Sets the number of registered instances."""
        if instance_count != self._instance_count:
            self._instance_count = instance_count
            self._update()

    def _on_members_changed(self) -> None:
        # A new incarnation, which each new link may tell, moves no group.
        places = {
            address: (member.zone, member.region, member.weight)
            for address, member in self._mesh.members().items()
        }
        if places != self._places:
            self._places = places
            self._update()

    def _update(self) -> None:
        if self._routes is None:
            return
        limits = self._routes.connection_limits
        shard_sets = [
            tuple(
                shard
                for shard in shards
                if groups_lib.is_two_stage(
                    limits.get(shard, 0),
                    self._instance_count,
                    was_two_stage=shard in self._two_stage,
                )
            )
            for shards in groups_lib.eligible_shards(self._routes.routes)
        ]
        two_stage = frozenset(itertools.chain(*shard_sets))
        if not self._own.region:
            two_stage = frozenset()
        if not two_stage and not self._two_stage:
            return
        groups = groups_lib.divide(shard_sets) if two_stage else ()
        members = self._mesh.members()
        orders = groups_lib.assign(groups, members, self._own.region).orders
        self._log_changes(two_stage, groups, orders)
        self._two_stage, self._groups, self._orders = two_stage, groups, orders
        self._group_numbers = {
            shard: number
            for number, group in enumerate(groups)
            for shard in group
        }
        self._holdings = tuple(
            shares.holding(
                self._mesh.own_address, order, members, self._own.region
            )
            for order in orders
        )
        self._mesh.keep(_LINKS_KEY, itertools.chain(*(o[:2] for o in orders)))
        self.owners.retain(members)
        self._on_limits_changed()

    def _log_changes(
        self,
        two_stage: frozenset[str],
        groups: tuple[tuple[str, ...], ...],
        orders: tuple[tuple[str, ...], ...],
    ) -> None:
        if two_stage != self._two_stage:
            _LOG.info(
                "search_stages_chosen",
                two_stage=len(two_stage),
                instances=self._instance_count,
                groups=len(groups),
            )
        known = {
            g: o[:2] for g, o in zip(self._groups, self._orders, strict=True)
        }
        for group, order in zip(groups, orders, strict=True):
            if order[:2] != known.get(group):
                _LOG.info(
                    "search_group_moved",
                    first_shard=group[0],
                    shards=len(group),
                    holders=order[:2],
                    previous=known.get(group, ()),
                    members=len(self._mesh.members()),
                )

    def connection_limit(
        self, service: str, target_region: str | None
    ) -> int | None:
        """Returns the own share of a target's connections in two stages.

        It is None for a service that is searched in one stage.
        """
        number = self._group_numbers.get(service)
        if number is None or self._routes is None:
            return None
        return shares.limit(
            self._routes.connection_limits[service],
            self._holdings[number],
            target_region,
        )

    def token_capacity(
        self, service: str, allowance_count: float
    ) -> float | None:
        """Returns the own bucket capacity for retries in two stages.

        It is None for a service that is searched in one stage.
        """
        number = self._group_numbers.get(service)
        if number is None:
            return None
        return shares.token_capacity(
            allowance_count, self._holdings[number], retry_budget.TOKENS_MIN
        )

    def cold_sharers(self, service: str) -> float | None:
        """Returns by how many instances the rate of cold targets is divided.

        It is None if all instances share it equally.
        """
        number = self._group_numbers.get(service)
        if number is None:
            return None
        return shares.cold_sharers(self._holdings[number])

    def may_warm(self, service: str) -> bool:
        """Whether connections for a service are opened in advance."""
        number = self._group_numbers.get(service)
        return number is None or self._holdings[number].is_holder

    # First stage

    def remote_for(
        self, shards: tuple[str, ...]
    ) -> (
        Callable[[terms_lib.Terms, terms_lib.Sink], stage_one.RemoteSearch]
        | None
    ):
        """Returns the factory of two-stage searches over shards, or None."""
        if not self._two_stage or self._two_stage.isdisjoint(shards):
            return None
        return self._new_remote

    def _new_remote(
        self, terms: terms_lib.Terms, sink: terms_lib.Sink
    ) -> stage_one.RemoteSearch:
        return stage_one.RemoteSearch(terms, self._network, sink)

    def _unregister(self, query_id: int) -> None:
        self._queries.pop(query_id, None)

    def _choose(
        self, shard: str, objective_s: float, asked: frozenset[str]
    ) -> str | None:
        number = self._group_numbers.get(shard)
        if number is None:
            return None
        owner = self.owners.next(
            self._orders[number], objective_s, asked, time.monotonic()
        )
        if owner is None and not self._has_target(shard, frozenset()):
            # An instance that holds no connections can't do without an owner.
            owner = self.owners.least_avoided(self._orders[number], asked)
        if owner == self._mesh.own_address:
            self.sources["own_group"] += 1
            return None
        self.sources["targets" if owner is None else "owner"] += 1
        return owner

    def _on_accepted(
        self, address: str, message: scatter.ScatterAccepted
    ) -> None:
        query = self._queries.get(message.query_id)
        if query is not None and query.owner == address:
            query.on_accepted()

    def _on_parts(self, address: str, message: scatter.ScatterParts) -> None:
        query = self._queries.get(message.query_id)
        if query is None or query.owner != address:
            self.owners.counts["part_unexpected"] += len(message.parts)
            return
        query.on_parts(message)

    def _on_lost(self, address: str) -> None:
        self.server.on_lost(address)
        for query in list(self._queries.values()):
            if query.owner == address:
                query.on_lost()

    # Second stage

    def _load(self, running: int) -> stage_two.Load:
        return stage_two.Load(
            self._mesh.is_leaving, self._lag_s, running, self._running_max
        )

    async def run(self) -> None:
        """Measures the delay of the event loop while queries arrive."""
        while True:
            await self.server.wait_for_query()
            idle_count = 0
            while idle_count < LAG_IDLE_COUNT:
                start_s = time.monotonic()
                await asyncio.sleep(LAG_INTERVAL_S)
                self._lag_s = time.monotonic() - start_s - LAG_INTERVAL_S
                idle_count = 0 if self.server.query_count else idle_count + 1
            self._lag_s = 0.0

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON-compatible values."""
        now_s = time.monotonic()
        return {
            "two_stage_shards": len(self._two_stage),
            "groups": [
                {
                    "shards": group,
                    "owner": order[0] if order else None,
                    "standby": order[1] if len(order) > 1 else None,
                    "is_holder": held.is_holder,
                }
                for group, order, held in zip(
                    self._groups, self._orders, self._holdings, strict=True
                )
            ],
            "owners": self.owners.dump(now_s),
            "queries_sent": len(self._queries),
            "queries_run": self.server.query_count,
            "shards_run": self.server.running,
            "lag_ms": round(self._lag_s * 1000, 1),
        }
