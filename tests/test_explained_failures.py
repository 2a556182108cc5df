"""Tests that the log shows the cause of a failed request, given its id."""

from typing import Any

import gateway_harness
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
    """Log lines of the three failures that docs/OPERATIONS.md explains."""

    def test_log_shows_a_connection_lost_after_sending(self) -> None:
        # Guards against a 502 whose log line does not show that the connection
        # was lost, in which case the request may have run.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            target = await harness.add_target("a", "desk", b"rows")
            await harness.configure(
                [gateway_harness.forward_route("desk", "unsafe")]
            )
            await harness.start_gateway()
            target.fault = fake_http_target.Fault.RESET_AFTER_RUN
            with structlog.testing.capture_logs() as logs:
                status, _, _ = await harness.call("/unsafe/x", "q1")
            assert status == 502
            line = _line(logs, "q1")
            assert (line["outcome"], line["reason"]) == (
                "refused",
                "connection_lost",
            )
            (attempt,) = line["attempts"]
            assert attempt.startswith("desk: first a +")
            assert " lost " in attempt

        gateway_harness.run(test)

    def test_log_names_the_late_shard_of_a_partial_response(self) -> None:
        # Guards against a partial response whose log line does not show which
        # shard is missing and that it was late.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            late = await harness.add_target(
                "a", "s1", gateway_harness.record(1)
            )
            await harness.add_target("b", "s2", gateway_harness.record(2))
            await harness.configure(
                [gateway_harness.search_route(["s1", "s2"])]
            )
            await harness.start_gateway()
            late.fault = fake_http_target.Fault.SILENT
            with structlog.testing.capture_logs() as logs:
                status, _, _ = await harness.call("/s/x", "q1")
            assert status == 200
            line = _line(logs, "q1")
            assert (line["outcome"], line["missing"]) == ("partial", 1)
            (attempt,) = line["attempts"]
            assert attempt.startswith("s1: first a +")
            # The elapsed time of the attempt shows that the target was late.
            assert float(attempt.rpartition(" ")[2]) > 100.0

        gateway_harness.run(test)

    def test_log_shows_why_a_service_has_no_target(self) -> None:
        # Guards against a 503 whose cause, the removal of the only target, is
        # not in the log.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await harness.add_target("a", "desk", b"rows")
            await harness.configure(
                [gateway_harness.forward_route("desk", "safe")]
            )
            with structlog.testing.capture_logs() as logs:
                await harness.start_gateway()
                await harness.platform.remove("servers", "a")
                await harness.wait_for(lambda: not harness.dump()["targets"])
                status, headers, _ = await harness.call("/safe/x", "q1")
            assert status == 503
            assert "Retry-After" in headers
            assert _line(logs, "q1")["reason"] == "no_target"
            removed = [x for x in logs if x["event"] == "target_removed"]
            assert [(x["target"], x["reason"]) for x in removed] == [
                ("a", "not listed")
            ]

        gateway_harness.run(test)
