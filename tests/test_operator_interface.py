"""Tests of the operator interface over HTTP, with small stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
from typing import Any

import aiohttp
import aiohttp.test_utils
import aiohttp.web
import pytest

from lycheerock._internal.dispatch import target_states
from lycheerock._internal.operator import action_routes
from lycheerock._internal.operator import bodies
from lycheerock._internal.operator import drains
from lycheerock._internal.operator import health_routes
from lycheerock._internal.operator import metrics
from lycheerock._internal.operator import metrics_routes
from lycheerock._internal.operator import server
from lycheerock._internal.operator import state_routes

TOKEN = "operator-token-for-tests"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
PROTECTED = [
    ("GET", "/ops/state"),
    ("GET", "/ops/members"),
    ("GET", "/ops/targets"),
    ("GET", "/ops/requests/i0.1.1"),
    ("GET", "/ops/bundle-in-force"),
    ("GET", "/ops/stats"),
    ("GET", "/ops/log-level"),
    ("POST", "/ops/log-level"),
    ("POST", "/ops/drain"),
    ("POST", "/ops/targets/t0/drain"),
    ("GET", "/metrics"),
    ("GET", "/ops/unknown"),
]


class Records:
    """Stand-in of the request records; knows one request."""

    def find(self, request_id: str) -> Any:
        return {"request_id": request_id} if request_id == "known" else None


class Process:
    """Stand-in of the process behind the interface."""

    def __init__(self) -> None:
        self.stops = 0
        self.level = "info"
        self.ready = False
        self.states = target_states.TargetStates()

    def stop(self) -> None:
        self.stops += 1

    def set_level(self, level: str) -> None:
        self.level = level

    def build(self) -> aiohttp.web.Application:
        views = state_routes.Views(
            lambda: {"instance_id": "i0"}, self.fail, dict, dict, Records()
        )
        actions = action_routes.Actions(
            request_stop=self.stop,
            is_stopping=lambda: self.stops > 0,
            has_target=lambda target_id: target_id == "t0",
            target_states=self.states,
            log_level=lambda: self.level,
            set_log_level=self.set_level,
            now_ms=lambda: 5_000,
        )
        return server.build(
            TOKEN,
            [
                *health_routes.routes(lambda: self.ready),
                *state_routes.routes(views),
                *metrics_routes.routes("i0", metrics.RequestMetrics(), tuple),
                *action_routes.routes(actions),
            ],
        )

    def fail(self) -> Any:
        raise ValueError(f"secret {TOKEN}")


@dataclasses.dataclass(frozen=True)
class Reply:
    """A received HTTP reply."""

    status: int
    text: str

    @property
    def error(self) -> dict[str, Any]:
        error: dict[str, Any] = json.loads(self.text)["error"]
        return error


Call = Callable[..., Awaitable[Reply]]


def talk(process: Process, session: Callable[[Call], Awaitable[None]]) -> None:
    async def run() -> None:
        test_server = aiohttp.test_utils.TestServer(process.build())
        async with aiohttp.test_utils.TestClient(test_server) as client:

            async def call(
                method: str, path: str, headers: Any = HEADERS, data: Any = None
            ) -> Reply:
                reply = await client.request(
                    method, path, headers=headers, data=data
                )
                return Reply(reply.status, await reply.text())

            await session(call)

    asyncio.run(run())


class TestAccess:
    """Only operators get through; health checks need no token."""

    @pytest.mark.parametrize(("method", "path"), PROTECTED)
    @pytest.mark.parametrize(
        "headers",
        [
            {},
            {"Authorization": TOKEN},
            {"Authorization": "Bearer "},
            {"Authorization": f"Bearer {TOKEN}x"},
            {"Authorization": f"Bearer {TOKEN[:-1]}"},
            {"Authorization": f"Basic {TOKEN}"},
        ],
    )
    def test_without_the_token_nothing_is_shown_or_done(
        self, method: str, path: str, headers: dict[str, str]
    ) -> None:
        # Guards against a path that was added without the check.
        process = Process()

        async def session(call: Call) -> None:
            reply = await call(method, path, headers)
            assert reply.status == 401
            assert reply.error["kind"] == "unauthenticated"
            assert TOKEN not in reply.text

        talk(process, session)
        assert process.stops == 0
        assert process.states.reports() == ()

    def test_a_token_that_is_no_text_is_refused(self) -> None:
        # Guards against a fault of the server for bytes that are not UTF-8.
        async def run() -> bytes:
            app = Process().build()
            async with aiohttp.test_utils.TestServer(app) as test_server:
                reader, writer = await asyncio.open_connection(
                    test_server.host, test_server.port
                )
                writer.write(
                    b"GET /ops/state HTTP/1.1\r\nHost: h\r\n"
                    b"Connection: close\r\nAuthorization: Bearer \xff\r\n\r\n"
                )
                reply = await reader.read()
                writer.close()
                return reply

        assert asyncio.run(run()).startswith(b"HTTP/1.1 401 ")

    def test_health_needs_no_token(self) -> None:
        # Guards against a balancer that cannot ask for readiness.
        process = Process()

        async def session(call: Call) -> None:
            assert (await call("GET", "/healthz", {})).status == 200
            assert (await call("GET", "/readyz", {})).status == 503
            process.ready = True
            assert (await call("GET", "/readyz", {})).status == 200

        talk(process, session)


class TestErrors:
    """Errors are typed, name a remedy and hold no secrets."""

    def test_every_error_has_kind_and_remedy(self) -> None:
        # Guards against plain-text errors, which programs cannot read.
        async def session(call: Call) -> None:
            for method, path, status, kind in (
                ("GET", "/ops/unknown", 404, "not_found"),
                ("GET", "/ops/requests/gone", 404, "not_found"),
                ("POST", "/ops/targets/t9/drain", 404, "not_found"),
                ("GET", "/ops/drain", 400, "bad_request"),
                ("POST", "/ops/log-level", 400, "bad_request"),
                ("GET", "/ops/members", 500, "internal"),
            ):
                reply = await call(method, path)
                assert reply.error["kind"] == kind, path
                assert reply.error["remedy"], path
                assert reply.status == status, path
                assert TOKEN not in reply.text

        talk(Process(), session)

    @pytest.mark.parametrize("body", [b"{", b"[]", b"\xff", b'{"level":1}'])
    def test_unreadable_bodies_are_refused(self, body: bytes) -> None:
        # Guards against a fault of the server for a fault of the sender.
        async def session(call: Call) -> None:
            reply = await call("POST", "/ops/log-level", data=body)
            assert reply.status == 400
            assert reply.error["kind"] == "bad_request"

        talk(Process(), session)

    def test_a_body_over_the_limit_is_refused(self) -> None:
        # Guards against memory taken by a body of any size.
        async def session(call: Call) -> None:
            body = b" " * (bodies.BODY_SIZE_MAX_BYTES + 1)
            reply = await call("POST", "/ops/log-level", data=body)
            assert reply.status == 413
            assert reply.error["kind"] == "body_too_large"

        talk(Process(), session)


class TestActions:
    """Actions on one process."""

    def test_a_second_drain_is_no_second_signal(self) -> None:
        # Guards against aborted requests: a second signal ends the process.
        process = Process()

        async def session(call: Call) -> None:
            first = json.loads((await call("POST", "/ops/drain")).text)
            second = json.loads((await call("POST", "/ops/drain")).text)
            assert not first["already_draining"]
            assert second["already_draining"]

        talk(process, session)
        assert process.stops == 1

    def test_log_level_changes(self) -> None:
        # Guards against a level that is reported but not set.
        process = Process()

        async def session(call: Call) -> None:
            body = b'{"level": "debug"}'
            changed = await call("POST", "/ops/log-level", data=body)
            assert changed.status == 200
            reply = await call("GET", "/ops/log-level")
            assert json.loads(reply.text) == {"level": "debug"}

        talk(process, session)
        assert process.level == "debug"

    def test_target_drain_marks_the_target(self) -> None:
        # Guards against a drain that is answered but has no effect.
        process = Process()

        async def session(call: Call) -> None:
            reply = await call("POST", "/ops/targets/t0/drain")
            assert json.loads(reply.text)["changed"]

        talk(process, session)
        assert process.states.is_draining("t0")

    def test_known_request_is_shown(self) -> None:
        # Guards against records that operators cannot read.
        async def session(call: Call) -> None:
            reply = await call("GET", "/ops/requests/known")
            assert json.loads(reply.text)["request"]["request_id"] == "known"

        talk(Process(), session)


def report(
    epoch: int, sequence: int, state: target_states.ServingState
) -> target_states.TargetState:
    return target_states.TargetState("t0", epoch, sequence, state)


class TestOperatorMark:
    """An operator's mark holds until the target is started again."""

    @pytest.mark.parametrize("known_epoch", [None, 7, 90_000])
    def test_reports_of_the_running_process_do_not_end_the_mark(
        self, known_epoch: int | None
    ) -> None:
        # Guards against a target that serves on because it does not know of
        # the operator's decision.
        serving = target_states.ServingState.SERVING
        states = target_states.TargetStates()
        if known_epoch is not None:
            states.observe(report(known_epoch, 3, serving))
        drains.mark_leaving(states, "t0", now_ms=5_000)
        states.observe(report(known_epoch or 4_000, 4, serving))
        assert states.is_draining("t0")

    def test_a_restart_ends_the_mark(self) -> None:
        # Guards against a replaced target that never serves again.
        states = target_states.TargetStates()
        drains.mark_leaving(states, "t0", now_ms=5_000)
        states.observe(report(6_000, 0, target_states.ServingState.SERVING))
        assert not states.is_draining("t0")

    def test_a_second_mark_changes_nothing(self) -> None:
        # Guards against gossip of a new mark each time an operator repeats it.
        states = target_states.TargetStates()
        assert drains.mark_leaving(states, "t0", now_ms=5_000)
        assert not drains.mark_leaving(states, "t0", now_ms=6_000)
