"""Tests of forwarded requests through the gateway, over real sockets."""

import asyncio
import time

import gateway_world
import pytest

from lycheerock_bench._internal import fake_http_target

Fault = fake_http_target.Fault


async def two_targets(
    world: gateway_world.World, kind: str, **route: object
) -> None:
    for name in ("a", "b"):
        await world.add_target(name, "desk", b"rows of " + name.encode())
    await world.configure([gateway_world.forward_route("desk", kind, **route)])
    await world.start_gateway()


def arrivals(world: gateway_world.World) -> list[fake_http_target.Arrival]:
    return [a for t in world.targets.values() for a in t.arrivals]


class TestPassThrough:
    """Requests and answers pass unchanged."""

    def test_request_and_answer(self) -> None:
        # Guards against changed paths, bodies or headers, and against headers
        # of one connection that are passed on.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "unsafe")
            status, headers, body = await world.call(
                "/unsafe/b%2Fc?x=1%20",
                "r1",
                method="POST",
                headers={"X-Own": "yes", "TE": "trailers"},
                data=b"book",
            )
            (arrival,) = arrivals(world)
            assert arrival.path == "/unsafe/b%2Fc?x=1%20"
            assert (arrival.method, arrival.body) == ("POST", b"book")
            assert arrival.headers["x-own"] == "yes"
            assert "te" not in arrival.headers
            assert 0 < int(arrival.headers["x-deadline-ms"]) <= 1000
            target = world.targets[arrival.headers["x-expect-instance"]]
            assert (status, body) == (200, target.body)
            assert headers["X-Server-Stamp"] == f"{target.target_id}.r1"

        gateway_world.run(test)

    def test_failure_of_a_target_keeps_its_signature(self) -> None:
        # Guards against a failure whose status differs from the signed one.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "unsafe")
            for target in world.targets.values():
                target.fault = Fault.ERROR
            status, headers, body = await world.call(
                "/unsafe/x", "r1", method="POST"
            )
            assert (status, body) == (500, b"boom")
            assert "X-Server-Stamp" in headers

        gateway_world.run(test)


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
    def test_lost_answer_is_not_repeated(
        self, fault: Fault, status: int
    ) -> None:
        # Guards against a second run, and against a status that promises that
        # the request was not run.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "unsafe", timeout_ms=400)
            for target in world.targets.values():
                target.fault = fault
            found, _, _ = await world.call("/unsafe/x", "r1", method="POST")
            assert found == status
            assert len(arrivals(world)) == 1

        gateway_world.run(test)

    @pytest.mark.parametrize("fault", [Fault.SHED, Fault.MISDIRECTED])
    def test_request_that_was_not_run_is_moved(self, fault: Fault) -> None:
        # Guards against a refusal although another target would have run it.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "unsafe")
            world.targets["a"].fault = fault
            for number in range(4):
                status, _, body = await world.call(
                    "/unsafe/x", f"r{number}", method="POST"
                )
                assert (status, body) == (200, world.targets["b"].body)

        gateway_world.run(test)

    def test_refusal_names_a_time_to_return(self) -> None:
        # Guards against a refusal that keeps the caller waiting, or that does
        # not tell it when to come back.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "unsafe")
            for target in world.targets.values():
                target.fault = Fault.SHED
            start_s = time.monotonic()
            status, headers, _ = await world.call(
                "/unsafe/x", "r1", method="POST"
            )
            assert status == 503
            assert 0 < float(headers["Retry-After"]) < 0.5
            assert time.monotonic() - start_s < 0.2

        gateway_world.run(test)

    def test_old_connection_is_not_used(self) -> None:
        # Guards against a booking that is lost on a connection which the target
        # has closed or forgotten meanwhile.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "unsafe")
            for target in world.targets.values():
                target.fault = Fault.FORGETS_IDLE
            for number in range(4):
                status, _, _ = await world.call(
                    "/unsafe/x", f"r{number}", method="POST"
                )
                assert status == 200
                await asyncio.sleep(0.6)

        gateway_world.run(test)


class TestSafeRetries:
    """Idempotent requests are sent once more, to another target."""

    @pytest.mark.parametrize(
        "fault", [Fault.RESET_AFTER_RUN, Fault.FORGETS_IDLE, Fault.ERROR]
    )
    def test_another_target_answers(self, fault: Fault) -> None:
        # Guards against a failure that a second target would have prevented.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "safe")
            world.targets["a"].fault = fault
            for number in range(5):
                status, _, _ = await world.call("/safe/x", f"r{number}")
                assert status == 200

        gateway_world.run(test)

    def test_attempts_are_bounded(self) -> None:
        # Guards against a request that is sent to more targets than its route
        # allows.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "safe")
            await world.add_target("c", "desk")
            for target in world.targets.values():
                target.fault = Fault.RESET_AFTER_RUN
            status, _, _ = await world.call("/safe/x", "r1")
            assert status == 502
            assert len(arrivals(world)) == 2

        gateway_world.run(test)


class TestDeadline:
    """A request ends when its time is over."""

    def test_route_timeout_ends_a_request(self) -> None:
        # Guards against a caller that is kept waiting beyond the route's time.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "safe", timeout_ms=300)
            for target in world.targets.values():
                target.fault = Fault.SILENT
            start_s = time.monotonic()
            status, _, _ = await world.call("/safe/x", "r1", deadline_ms=5000)
            assert status == 504
            assert 0.28 < time.monotonic() - start_s < 0.5
            await world.wait_for(
                lambda: not any(t.running for t in world.targets.values()),
                limit_s=0.5,
            )

        gateway_world.run(test)


class TestBadInput:
    """What is not proper is refused and reaches no target."""

    @pytest.mark.parametrize(
        ("path", "request_id", "size_bytes", "status"),
        [
            ("/unknown/x", "r1", 0, 404),
            ("/safe/x", "", 0, 400),
            ("/safe/x", "r1", 1001, 413),
        ],
    )
    def test_is_refused(
        self, path: str, request_id: str, size_bytes: int, status: int
    ) -> None:
        # Guards against passing on what the configuration does not allow.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "safe")
            found, _, _ = await world.call(
                path, request_id, method="POST", data=b"x" * size_bytes
            )
            assert found == status
            assert not arrivals(world)

        gateway_world.run(test)

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
    def test_unsure_framing_closes_the_connection(self, head: bytes) -> None:
        # Guards against a request that is smuggled inside another one.
        async def test(world: gateway_world.World) -> None:
            await two_targets(world, "safe")
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", world.caller_port
            )
            writer.write(head)
            async with asyncio.timeout(2.0):
                answer = await reader.read()
            writer.close()
            assert answer.startswith(b"HTTP/1.")
            assert answer.split()[1].startswith(b"4")
            assert not arrivals(world)

        gateway_world.run(test)
