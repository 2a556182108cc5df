"""Tests of request forwarding by the gateway over real sockets."""

import asyncio
import time

import gateway_harness
import pytest

from lycheerock_bench._internal import fake_http_target

Fault = fake_http_target.Fault


async def start_with_two_targets(
    harness: gateway_harness.GatewayHarness, kind: str, **route: object
) -> None:
    for name in ("a", "b"):
        await harness.add_target(name, "desk", b"rows of " + name.encode())
    await harness.configure(
        [gateway_harness.forward_route("desk", kind, **route)]
    )
    await harness.start_gateway()


def arrivals(
    harness: gateway_harness.GatewayHarness,
) -> list[fake_http_target.Arrival]:
    return [a for t in harness.targets.values() for a in t.arrivals]


class TestPassThrough:
    """Requests and responses are passed on unchanged."""

    def test_request_and_response_are_not_modified(self) -> None:
        # Guards against modified paths, bodies or headers, and against
        # forwarded hop-by-hop headers.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "unsafe")
            status, headers, body = await harness.call(
                "/unsafe/b%2Fc?x=1%20",
                "r1",
                method="POST",
                headers={"X-Own": "yes", "TE": "trailers"},
                data=b"book",
            )
            (arrival,) = arrivals(harness)
            assert arrival.path == "/unsafe/b%2Fc?x=1%20"
            assert (arrival.method, arrival.body) == ("POST", b"book")
            assert arrival.headers["x-own"] == "yes"
            assert "te" not in arrival.headers
            assert 0 < int(arrival.headers["x-deadline-ms"]) <= 1000
            target = harness.targets[arrival.headers["x-expect-instance"]]
            assert (status, body) == (200, target.body)
            assert headers["X-Server-Stamp"] == f"{target.target_id}.r1"

        gateway_harness.run(test)

    def test_error_of_a_target_keeps_its_signature(self) -> None:
        # Guards against an error response of a target that reaches the caller
        # with another status or body or without its signature.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "unsafe")
            for target in harness.targets.values():
                target.fault = Fault.ERROR
            status, headers, body = await harness.call(
                "/unsafe/x", "r1", method="POST"
            )
            assert (status, body) == (500, b"boom")
            assert "X-Server-Stamp" in headers

        gateway_harness.run(test)


class TestAtMostOnce:
    """A request that is not idempotent runs at most once."""

    @pytest.mark.parametrize(
        ("fault", "status"),
        [
            (Fault.RESET_AFTER_RUN, 502),
            (Fault.GARBAGE, 502),
            (Fault.UNFRAMED_RESET, 502),
            (Fault.PLAIN_503, 502),
            (Fault.ENCODED, 502),
            (Fault.SILENT, 504),
        ],
    )
    def test_request_with_lost_reply_is_not_retried(
        self, fault: Fault, status: int
    ) -> None:
        # Guards against running the request twice, and against a status that
        # tells the caller that it was not run.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "unsafe", timeout_ms=400)
            for target in harness.targets.values():
                target.fault = fault
            actual_status, _, _ = await harness.call(
                "/unsafe/x", "r1", method="POST"
            )
            assert actual_status == status
            assert len(arrivals(harness)) == 1

        gateway_harness.run(test)

    @pytest.mark.parametrize("fault", [Fault.SHED, Fault.MISDIRECTED])
    def test_request_that_was_not_run_is_retried(self, fault: Fault) -> None:
        # Guards against refusing a request that another target would have run.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "unsafe")
            harness.targets["a"].fault = fault
            for number in range(4):
                status, _, body = await harness.call(
                    "/unsafe/x", f"r{number}", method="POST"
                )
                assert (status, body) == (200, harness.targets["b"].body)

        gateway_harness.run(test)

    def test_refusal_has_a_retry_after_header(self) -> None:
        # Guards against a refusal that is delayed or that lacks a Retry-After
        # header.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "unsafe")
            for target in harness.targets.values():
                target.fault = Fault.SHED
            start_s = time.monotonic()
            status, headers, _ = await harness.call(
                "/unsafe/x", "r1", method="POST"
            )
            assert status == 503
            assert 0 < float(headers["Retry-After"]) < 0.5
            assert time.monotonic() - start_s < 0.2

        gateway_harness.run(test)

    def test_stale_connection_is_not_reused(self) -> None:
        # Guards against a request that is lost because the target has closed or
        # silently dropped the idle connection.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "unsafe")
            for target in harness.targets.values():
                target.fault = Fault.FORGETS_IDLE
            for number in range(4):
                status, _, _ = await harness.call(
                    "/unsafe/x", f"r{number}", method="POST"
                )
                assert status == 200
                await asyncio.sleep(0.6)

        gateway_harness.run(test)


class TestSafeRetries:
    """Idempotent requests are retried once on another target."""

    @pytest.mark.parametrize(
        "fault", [Fault.RESET_AFTER_RUN, Fault.FORGETS_IDLE, Fault.ERROR]
    )
    def test_request_is_retried_on_another_target(self, fault: Fault) -> None:
        # Guards against an error response although another target is healthy.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "safe")
            harness.targets["a"].fault = fault
            for number in range(5):
                status, _, _ = await harness.call("/safe/x", f"r{number}")
                assert status == 200

        gateway_harness.run(test)

    def test_attempts_are_limited_by_the_route(self) -> None:
        # Guards against a request that is sent to more targets than its route
        # allows.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "safe")
            await harness.add_target("c", "desk")
            for target in harness.targets.values():
                target.fault = Fault.RESET_AFTER_RUN
            status, _, _ = await harness.call("/safe/x", "r1")
            assert status == 502
            assert len(arrivals(harness)) == 2

        gateway_harness.run(test)


class TestDeadline:
    """A request ends at its deadline."""

    def test_route_timeout_ends_a_request(self) -> None:
        # Guards against a caller that has to wait longer than the route's
        # timeout.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "safe", timeout_ms=300)
            for target in harness.targets.values():
                target.fault = Fault.SILENT
            start_s = time.monotonic()
            status, _, _ = await harness.call("/safe/x", "r1", deadline_ms=5000)
            assert status == 504
            assert 0.28 < time.monotonic() - start_s < 0.5
            await harness.wait_for(
                lambda: not any(t.running for t in harness.targets.values()),
                limit_s=0.5,
            )

        gateway_harness.run(test)


class TestBadInput:
    """Invalid requests are refused and not forwarded."""

    @pytest.mark.parametrize(
        ("path", "request_id", "size_bytes", "status"),
        [
            ("/unknown/x", "r1", 0, 404),
            ("/safe/x", "", 0, 400),
            ("/safe/x", "r1", 1001, 413),
        ],
    )
    def test_invalid_request_is_refused(
        self, path: str, request_id: str, size_bytes: int, status: int
    ) -> None:
        # Guards against forwarding a request that has no route or no id, or
        # whose body is larger than the configuration allows.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "safe")
            actual_status, _, _ = await harness.call(
                path, request_id, method="POST", data=b"x" * size_bytes
            )
            assert actual_status == status
            assert not arrivals(harness)

        gateway_harness.run(test)

    @pytest.mark.parametrize(
        "head",
        [
            b"this is no request\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: search.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 3\r\nContent-Length: 4\r\n"
            b"\r\nabcd",
            b"POST /safe/x HTTP/1.1\r\nHost: search.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ],
    )
    def test_invalid_framing_closes_the_connection(self, head: bytes) -> None:
        # Guards against request smuggling, in which the gateway and a target
        # disagree on where a request ends.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start_with_two_targets(harness, "safe")
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.caller_port
            )
            writer.write(head)
            async with asyncio.timeout(2.0):
                response = await reader.read()
            writer.close()
            assert response.startswith(b"HTTP/1.")
            assert response.split()[1].startswith(b"4")
            assert not arrivals(harness)

        gateway_harness.run(test)
