"""Tests of searches through the gateway, over real sockets."""

import asyncio
import time

import gateway_world
import pytest
import structlog

from lycheerock_bench._internal import fake_http_target

Fault = fake_http_target.Fault
record = gateway_world.record


async def three_shards(world: gateway_world.World, **route: object) -> None:
    """Starts three shards with two targets each, with equal records."""
    for shard in range(3):
        body = record(10 * shard + 1) + record(10 * shard + 2) + b"rest"
        for copy in range(2):
            await world.add_target(f"t{shard}{copy}", f"s{shard}", body)
    routes = [gateway_world.search_route(["s0", "s1", "s2"], **route)]
    await world.configure(routes)
    await world.start_gateway()


class TestMerge:
    """The answer is the greatest records of the parts that it names."""

    def test_complete_answer(self) -> None:
        # Guards against parts that are lost, named twice or merged wrongly.
        async def test(world: gateway_world.World) -> None:
            await three_shards(world)
            status, headers, body = await world.call("/s/q?a=%2Fb", "r1")
            assert status == 200
            assert body == record(22) + record(21) + record(12)
            signatures = headers["X-Part-Stamps"].split(", ")
            assert len(set(signatures)) == 3
            assert headers["X-Missing-Parts"] == "0"
            paths = {
                arrival.path
                for target in world.targets.values()
                for arrival in target.arrivals
            }
            assert paths == {"/s/q?a=%2Fb"}

        gateway_world.run(test)

    def test_late_shard_is_left_out_at_the_objective(self) -> None:
        # Guards against an answer that waits for a straggler until it is late.
        async def test(world: gateway_world.World) -> None:
            await three_shards(world)
            for copy in range(2):
                world.targets[f"t1{copy}"].fault = Fault.SILENT
            with structlog.testing.capture_logs() as logs:
                status, headers, body = await world.call("/s/q", "r1")
            assert status == 200
            # The gateway's own time: the caller shares its process, and gets
            # the answer up to a turn of a busy loop later.
            (line,) = (x for x in logs if x["event"] == "request")
            assert line["elapsed_ms"] < 200.0
            assert headers["X-Missing-Parts"] == "1"
            assert body == record(22) + record(21) + record(2)

        gateway_world.run(test)

    def test_too_few_shards_are_no_success(self) -> None:
        # Guards against an answer below the share that the route demands.
        async def test(world: gateway_world.World) -> None:
            await three_shards(world, min_shard_share=0.9)
            for copy in range(2):
                world.targets[f"t1{copy}"].fault = Fault.ERROR
            status, _, _ = await world.call("/s/q", "r1")
            assert status == 502

        gateway_world.run(test)


class TestUntrustedReplies:
    """What is no whole reply to this request is never part of an answer."""

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
    def test_another_target_is_asked(self, fault: Fault) -> None:
        # Guards against a part made of a broken, foreign or failed reply, and
        # against a shard given up although its other target is sound.
        async def test(world: gateway_world.World) -> None:
            await three_shards(world)
            world.targets["t10"].fault = fault
            for number in range(6):
                status, headers, body = await world.call("/s/q", f"r{number}")
                assert status == 200
                assert headers["X-Missing-Parts"] == "0"
                assert body == record(22) + record(21) + record(12)
                for signature in headers["X-Part-Stamps"].split(", "):
                    assert signature.endswith(f".r{number}")

        gateway_world.run(test)

    @pytest.mark.parametrize("fault", [Fault.EXTRA, Fault.STALE_FIRST])
    def test_surplus_responses_are_ignored(self, fault: Fault) -> None:
        # Guards against a surplus response that is taken for the answer to the
        # next request on the connection.
        async def test(world: gateway_world.World) -> None:
            await three_shards(world)
            for target in world.targets.values():
                target.fault = fault
            for number in range(8):
                status, headers, _ = await world.call("/s/q", f"r{number}")
                assert status == 200
                for signature in headers["X-Part-Stamps"].split(", "):
                    assert signature.endswith(f".r{number}")

        gateway_world.run(test)

    def test_body_that_ends_with_its_connection_is_whole(self) -> None:
        # Guards against taking every reply without a length for a broken one.
        async def test(world: gateway_world.World) -> None:
            await three_shards(world)
            for target in world.targets.values():
                target.fault = Fault.UNFRAMED
            status, headers, body = await world.call("/s/q", "r1")
            assert (status, headers["X-Missing-Parts"]) == (200, "0")
            assert body == record(22) + record(21) + record(12)

        gateway_world.run(test)


class TestCallerLeaves:
    """A caller that leaves ends its requests at the targets."""

    def test_running_requests_are_dropped(self) -> None:
        # Guards against targets that work on for a caller who is gone.
        async def test(world: gateway_world.World) -> None:
            await three_shards(world)
            for target in world.targets.values():
                target.delay_s = 5.0
            call = asyncio.create_task(world.call("/s/q", "r1"))
            await world.wait_for(
                lambda: sum(t.running for t in world.targets.values()) >= 3
            )
            call.cancel()
            await world.wait_for(
                lambda: not any(t.running for t in world.targets.values()),
                limit_s=0.5,
            )

        gateway_world.run(test)


class TestPause:
    """Pattern: one target of a shard stops for a moment, now and then."""

    def test_second_target_answers_within_the_objective(self) -> None:
        # Guards against an answer that lacks a shard, or is late, because one
        # of its targets has stopped.
        async def test(world: gateway_world.World) -> None:
            await three_shards(world)
            for _ in range(3):
                await world.call("/s/q", "warm-up")
            world.targets["t00"].delay_s = 0.6
            start_s = time.monotonic()
            for number in range(4):
                _, headers, _ = await world.call("/s/q", f"r{number}")
                assert headers["X-Missing-Parts"] == "0"
            # One request meets the pause and is hedged; the next ones avoid
            # the target.
            assert time.monotonic() - start_s < 0.5
            assert len(world.targets["t00"].arrivals) <= 3 + 1 + 1

        gateway_world.run(test)
