"""Tests that the log leads from a request id to the cause of its failure."""

from typing import Any

import gateway_world
import structlog

from lycheerock_bench._internal import fake_http_target


def _line(logs: list[Any], request_id: str) -> Any:
    (found,) = (
        line
        for line in logs
        if line["event"] == "request" and line["id"] == request_id
    )
    return found


class TestExplainedFailures:
    """The three failed requests of docs/OPERATIONS.md."""

    def test_booking_whose_connection_was_lost(self) -> None:
        # Guards against a 502 of which nobody can tell whether it ran.
        async def test(world: gateway_world.World) -> None:
            target = await world.add_target("a", "desk", b"rows")
            await world.configure(
                [gateway_world.forward_route("desk", "unsafe")]
            )
            await world.start_gateway()
            target.fault = fake_http_target.Fault.RESET_AFTER_RUN
            with structlog.testing.capture_logs() as logs:
                status, _, _ = await world.call("/unsafe/x", "q1")
            assert status == 502
            line = _line(logs, "q1")
            assert (line["outcome"], line["reason"]) == (
                "refused",
                "connection_lost",
            )
            (attempt,) = line["attempts"]
            assert attempt.startswith("desk: first a +")
            assert " lost " in attempt

        gateway_world.run(test)

    def test_search_that_lacks_a_shard(self) -> None:
        # Guards against a partial answer that does not name what was late.
        async def test(world: gateway_world.World) -> None:
            late = await world.add_target("a", "s1", gateway_world.record(1))
            await world.add_target("b", "s2", gateway_world.record(2))
            await world.configure([gateway_world.search_route(["s1", "s2"])])
            await world.start_gateway()
            late.fault = fake_http_target.Fault.SILENT
            with structlog.testing.capture_logs() as logs:
                status, _, _ = await world.call("/s/x", "q1")
            assert status == 200
            line = _line(logs, "q1")
            assert (line["outcome"], line["missing"]) == ("partial", 1)
            (attempt,) = line["attempts"]
            assert attempt.startswith("s1: first a +")
            # The time that it has been running tells that the target was late.
            assert float(attempt.rpartition(" ")[2]) > 100.0

        gateway_world.run(test)

    def test_request_without_any_target(self) -> None:
        # Guards against a 503 without the reason why no target is known.
        async def test(world: gateway_world.World) -> None:
            await world.add_target("a", "desk", b"rows")
            await world.configure([gateway_world.forward_route("desk", "safe")])
            with structlog.testing.capture_logs() as logs:
                await world.start_gateway()
                await world.platform.remove("servers", "a")
                await world.wait_for(lambda: not world.dump()["targets"])
                status, headers, _ = await world.call("/safe/x", "q1")
            assert status == 503
            assert "Retry-After" in headers
            assert _line(logs, "q1")["reason"] == "no_target"
            removed = [x for x in logs if x["event"] == "target_removed"]
            assert [(x["target"], x["reason"]) for x in removed] == [
                ("a", "not listed")
            ]

        gateway_world.run(test)
