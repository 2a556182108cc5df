"""Tests of a gateway that starts, follows the store and stops."""

import asyncio

import gateway_world

from lycheerock._internal.discovery import instances as instances_lib
from lycheerock._internal.discovery import targets as targets_lib
from lycheerock._internal.gateway import stopping
from lycheerock_bench import ports
from lycheerock_bench._internal import fake_platform

_DOWN = fake_platform.Faults(down=True)


async def one_target(world: gateway_world.World) -> None:
    await world.add_target("a", "desk", b"rows")
    await world.configure([gateway_world.forward_route("desk", "safe")])


class TestStart:
    """An instance serves as soon as it knows how, and not before."""

    def test_without_a_store_it_refuses_and_is_not_ready(self) -> None:
        # Guards against a 404 for a route that the instance has not learned.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            world.platform.set_faults(_DOWN)
            await world.start_gateway(wait=False)
            await asyncio.sleep(0.2)
            status, headers, _ = await world.call("/safe/x", "r1")
            assert status == 503
            assert "Retry-After" in headers
            assert not world.dump()["is_ready"]
            world.platform.set_faults(fake_platform.Faults())
            await world.wait_for(lambda: bool(world.dump()["is_ready"]))
            status, _, _ = await world.call("/safe/x", "r2")
            assert status == 200

        gateway_world.run(test)


class TestConfiguration:
    """The newest configuration is in force within seconds."""

    def test_routes_move_appear_and_go(self) -> None:
        # Guards against requests that an older version alone allows.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            await world.start_gateway()
            await world.add_target("b", "other", b"new")
            await world.configure(
                [gateway_world.forward_route("other", "safe")]
            )
            await world.wait_for(
                lambda: world.dump()["configuration_version"] == world.version
            )
            _, _, body = await world.call("/safe/x", "r1")
            assert body == b"new"
            await world.configure([])
            await world.wait_for(
                lambda: world.dump()["configuration_version"] == world.version
            )
            status, _, _ = await world.call("/safe/x", "r2")
            assert status == 404

        gateway_world.run(test)

    def test_change_during_lost_history_is_seen(self) -> None:
        # Guards against a watch that waits on after the store has dropped the
        # change that it waits for.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            await world.start_gateway()
            await world.configure([])
            await world.platform.forget_history()
            await world.wait_for(
                lambda: world.dump()["configuration_version"] == world.version,
                limit_s=3.0,
            )

        gateway_world.run(test)

    def test_older_version_is_not_taken(self) -> None:
        # Guards against a configuration that goes back.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            await world.start_gateway()
            newest = world.version
            world.version = 0
            await world.configure([])
            await asyncio.sleep(0.6)
            assert world.dump()["configuration_version"] == newest

        gateway_world.run(test)


class TestTargetList:
    """Targets come and go as the store lists them."""

    def test_leaving_target_gets_no_new_request(self) -> None:
        # Guards against requests to a target that has announced its end.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            other = await world.add_target("b", "desk", b"b")
            await world.start_gateway()
            await world.list_target(other, "desk", state="draining")
            await asyncio.sleep(0.6)
            before = len(other.arrivals)
            for number in range(5):
                await world.call("/safe/x", f"r{number}")
            assert len(other.arrivals) == before

        gateway_world.run(test)

    def test_strange_entries_name_no_target(self) -> None:
        # Guards against an entry of another writer that stops the rest.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            for number, spec in enumerate(
                (
                    None,
                    "text",
                    {"service": "desk"},
                    {
                        "service": "desk",
                        "address": 5,
                        "zone": "z1",
                        "slots": 1,
                        "state": "ready",
                        "warmup_left_ms": 0,
                    },
                    {
                        "service": "desk",
                        "address": "127.0.0.1:x",
                        "zone": "z1",
                        "slots": 1,
                        "state": "asleep",
                        "warmup_left_ms": 0,
                    },
                )
            ):
                await world.platform.store("servers", f"odd{number}", spec)
            await world.start_gateway()
            assert [t["target"] for t in world.dump()["targets"]] == ["a"]
            status, _, _ = await world.call("/safe/x", "r1")
            assert status == 200

        gateway_world.run(test)

    def test_entry_that_lapsed_during_an_outage_is_kept_for_a_while(
        self,
    ) -> None:
        # Guards against an outage of the store that empties the list, and
        # against a target that is kept although it did not come back.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            await world.add_target("b", "desk", b"b")
            await world.start_gateway()
            world.platform.set_faults(_DOWN)
            await world.platform.remove("servers", "a")
            await world.wait_for(
                lambda: not world.dump()["store"]["servers"]["is_connected"]
            )
            assert len(world.dump()["targets"]) == 2
            world.platform.set_faults(fake_platform.Faults())
            await world.wait_for(
                lambda: world.dump()["store"]["servers"]["is_connected"]
            )
            assert len(world.dump()["targets"]) == 2
            await world.wait_for(
                lambda: len(world.dump()["targets"]) == 1,
                limit_s=targets_lib.RETURN_GRACE_S + 1.0,
            )

        gateway_world.run(test)

    def test_new_start_under_the_same_id_begins_anew(self) -> None:
        # Guards against evidence and connections of an earlier start.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            await world.start_gateway()
            await world.call("/safe/x", "r1")
            target = world.targets["a"]
            await world.list_target(target, "desk", born=2)
            await asyncio.sleep(0.6)
            await world.call("/safe/x", "r2")
            numbers = [a.connection_number for a in target.arrivals]
            assert numbers == [0, 1]

        gateway_world.run(test)


class TestPlannedStop:
    """A planned stop cuts off no request."""

    def test_kept_connections_are_served_and_then_closed(self) -> None:
        # Guards against an idle connection that stays open but is not read any
        # more, on which a request waits until its deadline.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            world.targets["a"].delay_s = 0.05
            await world.start_gateway()
            assert world.daemon is not None
            assert world.task is not None
            failures: list[object] = []
            stopped = asyncio.Event()

            async def calls(name: str, pause_s: float) -> None:
                number = 0
                while not stopped.is_set():
                    number += 1
                    try:
                        status, _, _ = await world.call(
                            "/safe/x", f"{name}-{number}"
                        )
                        if status != 200:
                            failures.append(status)
                    except OSError:
                        # Refused or closed before it was read.
                        return
                    await asyncio.sleep(pause_s)

            callers = [
                asyncio.create_task(calls(f"c{n}", 0.01 + 0.15 * n))
                for n in range(8)
            ]
            # A connection that is kept idle over the stop.
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", world.caller_port
            )
            writer.write(
                b"GET /safe/x HTTP/1.1\r\nHost: search.example\r\n"
                b"X-Request-Id: idle\r\n\r\n"
            )
            assert b"200" in await reader.readuntil(b"rows")
            await asyncio.sleep(0.3)
            world.daemon.request_stop()
            assert await world.task == 0
            stopped.set()
            async with asyncio.timeout(1.0):
                assert await reader.read() == b""
            writer.close()
            await asyncio.gather(*callers)
            assert failures == []

        gateway_world.run(test)


class TestIdleConnectionAtAStop:
    """A kept connection does not outlive the end of reading."""

    def test_is_closed_while_a_slow_request_is_served(self) -> None:
        # Guards against an idle connection that stays open but is not read any
        # more while another request holds up the stop: a request on it waits
        # until its deadline.
        async def test(world: gateway_world.World) -> None:
            await world.add_target("a", "desk", b"rows")
            await world.configure(
                [gateway_world.forward_route("desk", "safe", timeout_ms=5000)]
            )
            await world.start_gateway()
            assert world.daemon is not None
            assert world.task is not None
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", world.caller_port
            )
            writer.write(
                b"GET /safe/x HTTP/1.1\r\nHost: search.example\r\n"
                b"X-Request-Id: idle\r\n\r\n"
            )
            await reader.readuntil(b"rows")
            world.targets["a"].delay_s = 4.0
            slow = asyncio.create_task(
                world.call("/safe/x", "slow", deadline_ms=5000)
            )
            await world.wait_for(lambda: world.targets["a"].running == 1)
            world.daemon.request_stop()
            limit_s = stopping.BALANCER_NOTICE_S + stopping.FIRST_REQUEST_S
            async with asyncio.timeout(limit_s + 0.5):
                assert await reader.read() == b""
            writer.close()
            status, _, body = await slow
            assert (status, body) == (200, b"rows")
            assert await world.task == 0

        gateway_world.run(test)


class TestSharedLimits:
    """Instances divide limits by their number."""

    def test_joining_instances_are_counted(self) -> None:
        # Guards against instances that together open more connections than a
        # target accepts.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            for number in range(3):
                await world.platform.store("gateways", f"g{number + 1}", {})
            await world.start_gateway()
            await world.wait_for(lambda: world.dump()["limits_shared_by"] == 6)
            (target,) = world.dump()["targets"]
            assert target["connection_limit"] == 64 // 6

        gateway_world.run(test)

    def test_restart_does_not_write_its_entry_again(self) -> None:
        # Pattern: a rolling restart of all instances. Guards against three
        # calls to the store by each of them.
        async def test(world: gateway_world.World) -> None:
            await one_target(world)
            address = f"127.0.0.1:{ports.free_port()}"
            await world.platform.store(
                "gateways", "g0", {"renewed": "x", "feed_address": address}
            )
            await world.start_gateway(feed_address=address)
            await world.wait_for(lambda: world.dump()["limits_shared_by"] == 2)
            await asyncio.sleep(0.1)
            assert "write" not in world.platform.client_counts("g0")

        gateway_world.run(test)

    def test_lost_instance_drops_out(self) -> None:
        # Guards against limits that shrink with each instance ever replaced.
        counter = instances_lib.InstanceCounter()
        assert counter.fresh_names({"a": 1, "b": 1}, 0.0) == {"a", "b"}
        late_s = instances_lib.ABSENT_S + 1.0
        assert counter.fresh_names({"a": 2, "b": 1}, late_s) == {"a"}
        assert counter.fresh_names({"a": 2}, late_s) == {"a"}
