"""Tests of searches through the gateway over real sockets."""

import asyncio
import time

import gateway_harness
import pytest
import structlog

from lycheerock_bench._internal import fake_http_target

Fault = fake_http_target.Fault
record = gateway_harness.record


async def start_with_three_shards(
    harness: gateway_harness.GatewayHarness, **route: object
) -> None:
    """Starts a gateway and three shards of two targets with equal records."""
    for shard in range(3):
        body = record(10 * shard + 1) + record(10 * shard + 2) + b"rest"
        for copy in range(2):
            await harness.add_target(f"t{shard}{copy}", f"s{shard}", body)
    routes = [gateway_harness.search_route(["s0", "s1", "s2"], **route)]
    await harness.configure(routes)
    await harness.start_gateway()


class TestMerge:
    """A search merges the replies of the shards and lists their signatures."""

    def test_complete_response_covers_each_shard_once(self) -> None:
        # Guards against a reply of a shard that is lost, listed twice or merged
        # in the wrong order.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_three_shards(harness)
            status, headers, body = await harness.call("/s/q?a=%2Fb", "r1")
            assert status == 200
            assert body == record(22) + record(21) + record(12)
            signatures = headers["X-Part-Stamps"].split(", ")
            assert len(set(signatures)) == 3
            assert headers["X-Missing-Parts"] == "0"
            paths = {
                arrival.path
                for target in harness.targets.values()
                for arrival in target.arrivals
            }
            assert paths == {"/s/q?a=%2Fb"}

        gateway_harness.run(test)

    def test_late_shard_is_omitted_at_the_objective(self) -> None:
        # Guards against a response that misses the objective because it waits
        # for a slow shard.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_three_shards(harness)
            for copy in range(2):
                harness.targets[f"t1{copy}"].fault = Fault.SILENT
            with structlog.testing.capture_logs() as logs:
                status, headers, body = await harness.call("/s/q", "r1")
            assert status == 200
            # Measured by the gateway: the caller runs in the same process and
            # may receive the response one iteration of the event loop later.
            (line,) = (x for x in logs if x["event"] == "request")
            assert line["elapsed_ms"] < 200.0
            assert headers["X-Missing-Parts"] == "1"
            assert body == record(22) + record(21) + record(2)

        gateway_harness.run(test)

    def test_too_few_shards_are_an_error(self) -> None:
        # Guards against a response with fewer shards than the route requires.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_three_shards(harness, min_shard_share=0.9)
            for copy in range(2):
                harness.targets[f"t1{copy}"].fault = Fault.ERROR
            status, _, _ = await harness.call("/s/q", "r1")
            assert status == 502

        gateway_harness.run(test)


class TestUntrustedReplies:
    """Only complete replies to the same request are used in a response."""

    @pytest.mark.parametrize(
        "fault",
        [
            Fault.RESET_AFTER_RUN,
            Fault.SHED,
            Fault.MISDIRECTED,
            Fault.UNFRAMED_RESET,
            Fault.GARBAGE,
            Fault.PLAIN_503,
            Fault.ERROR,
            Fault.ENCODED,
        ],
    )
    def test_request_is_retried_on_another_target(self, fault: Fault) -> None:
        # Guards against using a broken, misdirected or failed reply, and
        # against omitting a shard although its other target is healthy.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_three_shards(harness)
            harness.targets["t10"].fault = fault
            for number in range(6):
                status, headers, body = await harness.call("/s/q", f"r{number}")
                assert status == 200
                assert headers["X-Missing-Parts"] == "0"
                assert body == record(22) + record(21) + record(12)
                for signature in headers["X-Part-Stamps"].split(", "):
                    assert signature.endswith(f".r{number}")

        gateway_harness.run(test)

    @pytest.mark.parametrize("fault", [Fault.EXTRA, Fault.STALE_FIRST])
    def test_surplus_responses_are_ignored(self, fault: Fault) -> None:
        # Guards against a surplus response that is mistaken for the reply to
        # the next request on the connection.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_three_shards(harness)
            for target in harness.targets.values():
                target.fault = fault
            for number in range(8):
                status, headers, _ = await harness.call("/s/q", f"r{number}")
                assert status == 200
                for signature in headers["X-Part-Stamps"].split(", "):
                    assert signature.endswith(f".r{number}")

        gateway_harness.run(test)

    def test_body_that_ends_with_the_connection_is_complete(self) -> None:
        # Guards against treating every reply without a length as broken.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_three_shards(harness)
            for target in harness.targets.values():
                target.fault = Fault.UNFRAMED
            status, headers, body = await harness.call("/s/q", "r1")
            assert (status, headers["X-Missing-Parts"]) == (200, "0")
            assert body == record(22) + record(21) + record(12)

        gateway_harness.run(test)


class TestCallerDisconnects:
    """When a caller disconnects, its requests to targets are aborted."""

    def test_running_requests_are_aborted(self) -> None:
        # Guards against targets that keep working for a disconnected caller.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_three_shards(harness)
            for target in harness.targets.values():
                target.delay_s = 5.0
            call = asyncio.create_task(harness.call("/s/q", "r1"))
            await harness.wait_for(
                lambda: sum(t.running for t in harness.targets.values()) >= 3
            )
            call.cancel()
            await harness.wait_for(
                lambda: not any(t.running for t in harness.targets.values()),
                limit_s=0.5,
            )

        gateway_harness.run(test)


class TestPausedTarget:
    """One target of a shard has paused."""

    def test_hedge_replies_within_the_objective(self) -> None:
        # Guards against a late or partial response although the shard has
        # another target that could reply in time.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_three_shards(harness)
            for _ in range(3):
                await harness.call("/s/q", "warm-up")
            harness.targets["t00"].delay_s = 0.6
            start_s = time.monotonic()
            for number in range(4):
                _, headers, _ = await harness.call("/s/q", f"r{number}")
                assert headers["X-Missing-Parts"] == "0"
            # One request is sent to the paused target and hedged; the next
            # ones avoid the target.
            assert time.monotonic() - start_s < 0.5
            assert len(harness.targets["t00"].arrivals) <= 3 + 1 + 1

        gateway_harness.run(test)
