"""Tests of responses of targets whose status is none of HTTP.

RFC 9110, section 15, calls values outside 100 to 599 invalid.
"""

import gateway_harness
import pytest
import test_target_responses

from lycheerock._internal.upstream import connection as connection_lib
from lycheerock_bench._internal import fake_http_target

INVALID = [b"000", b"001", b"099", b"600", b"700", b"999"]
FIELDS = b"X-Request-Id: r1\r\nX-Server-Stamp: s\r\nContent-Length: 4\r\n\r\n"


class TestConnection:
    """One connection to a target."""

    @pytest.mark.parametrize("status", INVALID)
    def test_response_is_broken_at_once(self, status: bytes) -> None:
        # Guards against an invalid status below 100 that counts as an interim
        # response, so that the request waits, and what follows is its response.
        async def test() -> None:
            exchange = test_target_responses.Exchange()
            task = await exchange.start()
            exchange.feed(
                b"HTTP/1.1 " + status + b" Any\r\n" + FIELDS + b"body",
                b"HTTP/1.1 200 OK\r\n" + FIELDS + b"body",
            )
            assert exchange.transport.is_aborted
            with pytest.raises(
                connection_lib.ConnectionBrokenError,
                match=str(int(status)),
            ):
                await task

        test_target_responses.run(test)

    @pytest.mark.parametrize("status", [200, 404, 500, 599])
    def test_valid_status_is_passed_on(self, status: int) -> None:
        # Guards against a check that refuses a status of the range.
        async def test() -> None:
            exchange = test_target_responses.Exchange()
            task = await exchange.start()
            exchange.feed(b"HTTP/1.1 %d Any\r\n" % status + FIELDS + b"body")
            assert (await task).status == status

        test_target_responses.run(test)


class TestCallers:
    """What callers get when the only target sends an invalid status."""

    @pytest.mark.parametrize("status", [0, 99, 600, 999])
    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    def test_request_fails_without_the_status(
        self, status: int, kind: str
    ) -> None:
        # Guards against an invalid status that reaches a caller as a response,
        # against a request that waits for its deadline after it, and against an
        # unsafe request that is sent again although it may have run.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            targets = [
                await harness.add_target(name, "desk", b"rows")
                for name in ("a", "b")
            ]
            for target in targets:
                target.fault = fake_http_target.Fault.INVALID_STATUS
                target.invalid_status = status
            route = gateway_harness.forward_route(
                "desk", kind, timeout_ms=20_000
            )
            await harness.configure([route])
            await harness.start_gateway()
            method = "GET" if kind == "safe" else "POST"
            found, headers, _ = await harness.call(
                f"/{kind}/x", "r1", method=method, deadline_ms=20_000
            )
            assert (found, "X-Server-Stamp" in headers) == (502, False)
            run_count = sum(len(target.runs) for target in targets)
            assert run_count == (2 if kind == "safe" else 1)

        gateway_harness.run(test)
