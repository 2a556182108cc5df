"""Tests of the end of the grace period of a planned stop."""

import asyncio
import time

import gateway_harness
import ingress_client as raw

from lycheerock._internal.gateway import shutdown

GRACE_S = 4.0
BODY = b"visit"


async def start(harness: gateway_harness.GatewayHarness, kind: str) -> None:
    await harness.add_target("a", "desk", b"rows")
    route = gateway_harness.forward_route("desk", kind, timeout_ms=20_000)
    await harness.configure([route], header_timeout_ms=20_000)
    await harness.start_gateway(grace_limit_s=GRACE_S)


def post(request_id: str) -> bytes:
    return (
        f"POST /unsafe/x HTTP/1.1\r\nHost: {gateway_harness.HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 20000\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode()


class TestRunningRequest:
    """A request that runs until the end of the grace period."""

    def test_it_is_answered(self) -> None:
        # Guards against a connection that is closed without a response although
        # the request was read and passed on.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start(harness, "unsafe")
            harness.targets["a"].delay_s = 30.0
            client = await raw.Client.connect(harness)
            client.writer.write(post("r1") + BODY)
            await harness.wait_for(lambda: harness.targets["a"].running == 1)
            assert harness.daemon is not None
            assert harness.task is not None
            harness.daemon.request_stop()
            status, head, body = await client.read_response()
            # 504 promises nothing: the target may have run the request.
            assert (status, body) == (504, b"stopping\n")
            assert b"connection: close\r\n" in head.lower()
            assert await harness.task == 0
            client.close()

        gateway_harness.run(test)

    def test_request_that_waits_for_its_body_is_refused(self) -> None:
        # Guards against the same close for a request that no target has got:
        # its caller may send it again at once.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start(harness, "unsafe")
            client = await raw.Client.connect(harness)
            client.writer.write(post("r1"))
            await harness.wait_for(
                lambda: harness.dump()["callers"]["incomplete_requests"] == 1
            )
            assert harness.daemon is not None
            harness.daemon.request_stop()
            status, head, body = await client.read_response()
            assert (status, body) == (503, b"stopping\n")
            assert b"retry-after: " in head.lower()
            assert harness.targets["a"].arrivals == []
            client.close()

        gateway_harness.run(test)


class TestLateRequest:
    """A request that is complete only shortly before the end."""

    def test_it_is_refused_if_it_takes_longer(self) -> None:
        # Guards against an unsafe request that is passed on although it cannot
        # be answered in time, so that nobody knows whether it has run.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start(harness, "unsafe")
            target = harness.targets["a"]
            target.delay_s = 1.5
            usual = [
                harness.call(
                    "/unsafe/x", f"u{n}", method="POST", deadline_ms=9_000
                )
                for n in range(4)
            ]
            assert {
                status for status, _, _ in await asyncio.gather(*usual)
            } == {200}
            client = await raw.Client.connect(harness)
            client.writer.write(post("late"))
            await harness.wait_for(
                lambda: harness.dump()["callers"]["incomplete_requests"] == 1
            )
            assert harness.daemon is not None
            assert harness.task is not None
            stopped_s = time.monotonic()
            harness.daemon.request_stop()
            respond_by_s = shutdown.respond_by_s(stopped_s, GRACE_S)
            await asyncio.sleep(respond_by_s - 1.0 - time.monotonic())
            client.writer.write(BODY)
            status, _, body = await client.read_response()
            assert (status, body) == (503, b"stopping\n")
            assert time.monotonic() < respond_by_s
            assert "late" not in {run.request_id for run in target.runs}
            assert await harness.task == 0
            client.close()

        gateway_harness.run(test)

    def test_it_is_served_if_there_is_time(self) -> None:
        # Guards against a stop that refuses what it could still serve.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await start(harness, "unsafe")
            client = await raw.Client.connect(harness)
            client.writer.write(post("late"))
            await harness.wait_for(
                lambda: harness.dump()["callers"]["incomplete_requests"] == 1
            )
            assert harness.daemon is not None
            stopped_s = time.monotonic()
            harness.daemon.request_stop()
            respond_by_s = shutdown.respond_by_s(stopped_s, GRACE_S)
            await asyncio.sleep(respond_by_s - 1.0 - time.monotonic())
            client.writer.write(BODY)
            status, _, body = await client.read_response()
            assert (status, body) == (200, b"rows")
            client.close()

        gateway_harness.run(test)
