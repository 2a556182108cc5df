"""Tests of connections that are opened ahead of requests."""

import asyncio

import gateway_world

from lycheerock._internal.gateway import warming
from lycheerock._internal.targets import registry as registry_lib
from lycheerock._internal.upstream import connection as connection_lib
from lycheerock._internal.upstream import pool as pool_lib


class TestWarming:
    """A hedge finds an open connection."""

    def test_second_target_is_connected_before_it_is_asked(self) -> None:
        # Pattern: a paused first target. Guards against a hedge that first
        # waits for a connection to another region.
        async def test(world: gateway_world.World) -> None:
            first = await world.add_target("a", "s1", gateway_world.record(1))
            second = await world.add_target(
                "b", "s1", gateway_world.record(1), zone="z2"
            )
            await world.configure([gateway_world.search_route(["s1"])])
            await world.start_gateway()
            await world.call("/s/x", "r1")
            assert len(first.arrivals) == 1
            await world.wait_for(lambda: _connections(world, "b") == 1)
            assert not second.arrivals

        gateway_world.run(test)

    def test_services_of_a_new_configuration_are_connected(self) -> None:
        # Pattern: a search is moved to another set of shards. Guards against
        # a first search that opens a connection to each of them.
        async def test(world: gateway_world.World) -> None:
            await world.add_target("a", "s1", gateway_world.record(1))
            await world.add_target("n", "s2", gateway_world.record(1))
            await world.configure([gateway_world.search_route(["s1"])])
            await world.start_gateway()
            await world.call("/s/x", "r1")
            await asyncio.sleep(0.1)
            assert _connections(world, "n") == 0
            await world.configure([gateway_world.search_route(["s2"])])
            await world.wait_for(lambda: _connections(world, "n") == 1)

        gateway_world.run(test)

    def test_unused_services_are_not_connected(self) -> None:
        # Guards against connections to every target of a large deployment.
        async def test(world: gateway_world.World) -> None:
            await world.add_target("a", "s1", gateway_world.record(1))
            await world.configure([gateway_world.search_route(["s1"])])
            await world.start_gateway()
            await asyncio.sleep(warming.PERIOD_S + 0.3)
            assert _connections(world, "a") == 0

        gateway_world.run(test)


def _connections(world: gateway_world.World, target_id: str) -> int:
    found = [t for t in world.dump()["targets"] if t["target"] == target_id]
    return int(found[0]["connections"]) if found else 0


class TestColdPool:
    """When a pool has no connection that can be used."""

    def test_expired_connection_counts_as_none(self) -> None:
        # Guards against a hedge on a connection that the target is closing.
        async def test(world: gateway_world.World) -> None:
            target = await world.add_target("a", "s1")
            pool = pool_lib.Pool("127.0.0.1", target.port, "x-request-id")
            pool.limit = registry_lib.CONNECTIONS_MIN
            assert pool.is_cold
            await pool.warm()
            assert not pool.is_cold
            connection = await pool.acquire(proven=False)
            assert isinstance(connection, connection_lib.Connection)
            pool.release(connection)
            connection.idle_since_s -= pool_lib.IDLE_DEFAULT_S
            assert pool.is_cold

        gateway_world.run(test)
