"""Tests of the start, the configuration updates and the stop of a gateway."""

import asyncio

import gateway_harness

from lycheerock._internal.discovery import instances as instances_lib
from lycheerock._internal.discovery import targets as targets_lib
from lycheerock._internal.gateway import shutdown
from lycheerock_bench import ports
from lycheerock_bench._internal import fake_platform

_DOWN = fake_platform.Faults(down=True)


async def add_one_target(harness: gateway_harness.GatewayHarness) -> None:
    await harness.add_target("a", "desk", b"rows")
    await harness.configure([gateway_harness.forward_route("desk", "safe")])


class TestStart:
    """An instance serves as soon as it has a configuration."""

    def test_request_before_the_first_configuration_gets_503(self) -> None:
        # Guards against a 404 for a route that the instance has not loaded yet,
        # because the store is down during its start.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            harness.platform.set_faults(_DOWN)
            await harness.start_gateway(wait=False)
            await asyncio.sleep(0.2)
            status, headers, _ = await harness.call("/safe/x", "r1")
            assert status == 503
            assert "Retry-After" in headers
            assert not harness.dump()["is_ready"]
            harness.platform.set_faults(fake_platform.Faults())
            await harness.wait_for(lambda: bool(harness.dump()["is_ready"]))
            status, _, _ = await harness.call("/safe/x", "r2")
            assert status == 200

        gateway_harness.run(test)


class TestConfiguration:
    """The newest configuration takes effect within seconds."""

    def test_routes_are_changed_and_removed(self) -> None:
        # Guards against requests that are routed by an outdated configuration.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            await harness.start_gateway()
            await harness.add_target("b", "other", b"new")
            await harness.configure(
                [gateway_harness.forward_route("other", "safe")]
            )
            await harness.wait_for(
                lambda: (
                    harness.dump()["configuration_version"] == harness.version
                )
            )
            _, _, body = await harness.call("/safe/x", "r1")
            assert body == b"new"
            await harness.configure([])
            await harness.wait_for(
                lambda: (
                    harness.dump()["configuration_version"] == harness.version
                )
            )
            status, _, _ = await harness.call("/safe/x", "r2")
            assert status == 404

        gateway_harness.run(test)

    def test_change_is_seen_after_the_history_is_lost(self) -> None:
        # Guards against a watch that keeps waiting for a change which the store
        # has dropped from its history.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            await harness.start_gateway()
            await harness.configure([])
            await harness.platform.compact_history()
            await harness.wait_for(
                lambda: (
                    harness.dump()["configuration_version"] == harness.version
                ),
                limit_s=3.0,
            )

        gateway_harness.run(test)

    def test_older_version_is_ignored(self) -> None:
        # Guards against a configuration that reverts to an older version.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            await harness.start_gateway()
            newest = harness.version
            harness.version = 0
            await harness.configure([])
            await asyncio.sleep(0.6)
            assert harness.dump()["configuration_version"] == newest

        gateway_harness.run(test)


class TestTargetList:
    """Targets are added and removed as the store lists them."""

    def test_draining_target_receives_no_new_request(self) -> None:
        # Guards against requests to a target that is shutting down.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            other = await harness.add_target("b", "desk", b"b")
            await harness.start_gateway()
            await harness.list_target(other, "desk", state="draining")
            await asyncio.sleep(0.6)
            before = len(other.arrivals)
            for number in range(5):
                await harness.call("/safe/x", f"r{number}")
            assert len(other.arrivals) == before

        gateway_harness.run(test)

    def test_invalid_entries_are_ignored(self) -> None:
        # Guards against an invalid entry that prevents the use of valid ones.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
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
                        "version": "v1",
                        "warmup_left_ms": 0,
                        "seq": 1,
                    },
                    {
                        "service": "desk",
                        "address": "127.0.0.1:x",
                        "zone": "z1",
                        "slots": 1,
                        "state": "asleep",
                        "version": "v1",
                        "warmup_left_ms": 0,
                        "seq": 1,
                    },
                )
            ):
                await harness.platform.store("servers", f"odd{number}", spec)
            await harness.start_gateway()
            assert [t["target"] for t in harness.dump()["targets"]] == ["a"]
            status, _, _ = await harness.call("/safe/x", "r1")
            assert status == 200

        gateway_harness.run(test)

    def test_entry_lost_during_an_outage_is_kept_temporarily(
        self,
    ) -> None:
        # Guards against an outage of the store that empties the list of
        # targets, and against keeping a target that is never listed again.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            await harness.add_target("b", "desk", b"b")
            await harness.start_gateway()
            harness.platform.set_faults(_DOWN)
            await harness.platform.remove("servers", "a")
            await harness.wait_for(
                lambda: not harness.dump()["store"]["servers"]["is_connected"]
            )
            assert len(harness.dump()["targets"]) == 2
            harness.platform.set_faults(fake_platform.Faults())
            await harness.wait_for(
                lambda: harness.dump()["store"]["servers"]["is_connected"]
            )
            assert len(harness.dump()["targets"]) == 2
            await harness.wait_for(
                lambda: len(harness.dump()["targets"]) == 1,
                limit_s=targets_lib.RECONNECT_GRACE_S + 1.0,
            )

        gateway_harness.run(test)

    def test_restarted_target_begins_with_new_state(self) -> None:
        # Guards against reusing the health data and connections of a target
        # that has restarted under the same id.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            await harness.start_gateway()
            await harness.call("/safe/x", "r1")
            target = harness.targets["a"]
            await harness.list_target(target, "desk", born=2)
            await asyncio.sleep(0.6)
            await harness.call("/safe/x", "r2")
            numbers = [a.connection_number for a in target.arrivals]
            assert numbers == [0, 1]

        gateway_harness.run(test)


class TestGracefulShutdown:
    """A graceful shutdown interrupts no request."""

    def test_open_connections_are_served_and_then_closed(self) -> None:
        # Guards against an idle connection that stays open but is no longer
        # read, so that a request on it waits until its deadline.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            harness.targets["a"].delay_s = 0.05
            await harness.start_gateway()
            assert harness.daemon is not None
            assert harness.task is not None
            failures: list[object] = []
            stopped = asyncio.Event()

            async def calls(name: str, pause_s: float) -> None:
                number = 0
                while not stopped.is_set():
                    number += 1
                    try:
                        status, _, _ = await harness.call(
                            "/safe/x", f"{name}-{number}"
                        )
                        if status != 200:
                            failures.append(status)
                    except OSError:
                        # Refused, or closed before the request was read.
                        return
                    await asyncio.sleep(pause_s)

            callers = [
                asyncio.create_task(calls(f"c{n}", 0.01 + 0.15 * n))
                for n in range(8)
            ]
            # This connection stays idle during the shutdown.
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.caller_port
            )
            writer.write(
                b"GET /safe/x HTTP/1.1\r\nHost: search.example\r\n"
                b"X-Request-Id: idle\r\n\r\n"
            )
            assert b"200" in await reader.readuntil(b"rows")
            await asyncio.sleep(0.3)
            harness.daemon.request_stop()
            assert await harness.task == 0
            stopped.set()
            async with asyncio.timeout(1.0):
                assert await reader.read() == b""
            writer.close()
            await asyncio.gather(*callers)
            assert failures == []

        gateway_harness.run(test)


class TestIdleConnectionDuringShutdown:
    """An idle connection is closed while other requests are running."""

    def test_idle_connection_is_closed_during_a_slow_request(self) -> None:
        # Guards against an idle connection that stays open but is no longer
        # read while another request delays the shutdown, so that a request on
        # it waits until its deadline.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await harness.add_target("a", "desk", b"rows")
            await harness.configure(
                [gateway_harness.forward_route("desk", "safe", timeout_ms=5000)]
            )
            await harness.start_gateway()
            assert harness.daemon is not None
            assert harness.task is not None
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.caller_port
            )
            writer.write(
                b"GET /safe/x HTTP/1.1\r\nHost: search.example\r\n"
                b"X-Request-Id: idle\r\n\r\n"
            )
            await reader.readuntil(b"rows")
            harness.targets["a"].delay_s = 4.0
            slow = asyncio.create_task(
                harness.call("/safe/x", "slow", deadline_ms=5000)
            )
            await harness.wait_for(lambda: harness.targets["a"].running == 1)
            harness.daemon.request_stop()
            limit_s = (
                shutdown.LISTENER_CLOSE_DELAY_S + shutdown.FIRST_REQUEST_WAIT_S
            )
            async with asyncio.timeout(limit_s + 0.5):
                assert await reader.read() == b""
            writer.close()
            status, _, body = await slow
            assert (status, body) == (200, b"rows")
            assert await harness.task == 0

        gateway_harness.run(test)


class TestSharedLimits:
    """Limits are divided by the number of instances, with headroom."""

    def test_connection_limit_is_divided_by_instances(self) -> None:
        # Guards against instances that together exceed the connection limit of
        # a target.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            for number in range(3):
                await harness.platform.store("gateways", f"g{number + 1}", {})
            await harness.start_gateway()
            await harness.wait_for(
                lambda: harness.dump()["limits_shared_by"] == 6
            )
            (target,) = harness.dump()["targets"]
            assert target["connection_limit"] == 64 // 6

        gateway_harness.run(test)

    def test_restart_does_not_rewrite_the_entry(self) -> None:
        # Guards against three additional calls to the store by each instance
        # when all of them are restarted one after another.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await add_one_target(harness)
            address = f"127.0.0.1:{ports.free_port()}"
            await harness.platform.store(
                "gateways", "g0", {"renewed": "x", "feed_address": address}
            )
            await harness.start_gateway(feed_address=address)
            await harness.wait_for(
                lambda: harness.dump()["limits_shared_by"] == 2
            )
            await asyncio.sleep(0.1)
            assert "write" not in harness.platform.client_counts("g0")

        gateway_harness.run(test)

    def test_lost_instance_is_not_counted(self) -> None:
        # Guards against limits that become smaller whenever an instance is
        # replaced, because the old one is still counted.
        counter = instances_lib.InstanceCounter()
        assert counter.live_names({"a": 1, "b": 1}, 0.0) == {"a", "b"}
        late_s = instances_lib.EXPIRY_S + 1.0
        assert counter.live_names({"a": 2, "b": 1}, late_s) == {"a"}
        assert counter.live_names({"a": 2}, late_s) == {"a"}
