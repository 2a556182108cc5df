"""Tests of the operator interface over HTTP, with a fake process."""

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
PROTECTED_ROUTES = [
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


class FakeRecords:
    """Fake of the request records that holds only the request "known"."""

    def find(self, request_id: str) -> Any:
        return {"request_id": request_id} if request_id == "known" else None


class FakeProcess:
    """Fake of the process that the interface inspects and controls."""

    def __init__(self) -> None:
        self.stop_count = 0
        self.level = "info"
        self.ready = False
        self.states = target_states.TargetStates()

    def stop(self) -> None:
        self.stop_count += 1

    def set_level(self, level: str) -> None:
        self.level = level

    def build_application(self) -> aiohttp.web.Application:
        views = state_routes.Views(
            lambda: {"instance_id": "i0"},
            self.raise_internal_error,
            dict,
            dict,
            FakeRecords(),
        )
        actions = action_routes.Actions(
            request_stop=self.stop,
            is_stopping=lambda: self.stop_count > 0,
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

    def raise_internal_error(self) -> Any:
        raise ValueError(f"secret {TOKEN}")


@dataclasses.dataclass(frozen=True)
class Response:
    """Status and body of an HTTP response."""

    status: int
    text: str

    @property
    def error(self) -> dict[str, Any]:
        error: dict[str, Any] = json.loads(self.text)["error"]
        return error


SendRequest = Callable[..., Awaitable[Response]]


def run_scenario(
    process: FakeProcess, scenario: Callable[[SendRequest], Awaitable[None]]
) -> None:
    """Runs a scenario against the operator interface of a fake process."""

    async def run() -> None:
        test_server = aiohttp.test_utils.TestServer(process.build_application())
        async with aiohttp.test_utils.TestClient(test_server) as client:

            async def send_request(
                method: str, path: str, headers: Any = HEADERS, data: Any = None
            ) -> Response:
                response = await client.request(
                    method, path, headers=headers, data=data
                )
                return Response(response.status, await response.text())

            await scenario(send_request)

    asyncio.run(run())


class TestAccess:
    """All paths except the health checks require the operator token."""

    @pytest.mark.parametrize(("method", "path"), PROTECTED_ROUTES)
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
    def test_requests_without_a_valid_token_are_rejected(
        self, method: str, path: str, headers: dict[str, str]
    ) -> None:
        # Guards against routes that do not check the token.
        process = FakeProcess()

        async def scenario(send_request: SendRequest) -> None:
            response = await send_request(method, path, headers)
            assert response.status == 401
            assert response.error["kind"] == "unauthenticated"
            assert TOKEN not in response.text

        run_scenario(process, scenario)
        assert process.stop_count == 0
        assert process.states.reports() == ()

    def test_a_token_that_is_not_utf_8_is_rejected(self) -> None:
        # Guards against an internal error if the token is not valid UTF-8.
        async def run() -> bytes:
            app = FakeProcess().build_application()
            async with aiohttp.test_utils.TestServer(app) as test_server:
                reader, writer = await asyncio.open_connection(
                    test_server.host, test_server.port
                )
                writer.write(
                    b"GET /ops/state HTTP/1.1\r\nHost: h\r\n"
                    b"Connection: close\r\nAuthorization: Bearer \xff\r\n\r\n"
                )
                response = await reader.read()
                writer.close()
                return response

        assert asyncio.run(run()).startswith(b"HTTP/1.1 401 ")

    def test_health_checks_need_no_token(self) -> None:
        # Guards against rejecting the health checks of load balancers, which
        # send no token.
        process = FakeProcess()

        async def scenario(send_request: SendRequest) -> None:
            assert (await send_request("GET", "/healthz", {})).status == 200
            assert (await send_request("GET", "/readyz", {})).status == 503
            process.ready = True
            assert (await send_request("GET", "/readyz", {})).status == 200

        run_scenario(process, scenario)


class TestErrors:
    """Errors have a kind and a remedy and contain no secrets."""

    def test_every_error_has_kind_and_remedy(self) -> None:
        # Guards against plain-text errors, which programs cannot parse.
        async def scenario(send_request: SendRequest) -> None:
            for method, path, status, kind in (
                ("GET", "/ops/unknown", 404, "not_found"),
                ("GET", "/ops/requests/gone", 404, "not_found"),
                ("POST", "/ops/targets/t9/drain", 404, "not_found"),
                ("GET", "/ops/drain", 400, "bad_request"),
                ("POST", "/ops/log-level", 400, "bad_request"),
                ("GET", "/ops/members", 500, "internal"),
            ):
                response = await send_request(method, path)
                assert response.error["kind"] == kind, path
                assert response.error["remedy"], path
                assert response.status == status, path
                assert TOKEN not in response.text

        run_scenario(FakeProcess(), scenario)

    @pytest.mark.parametrize("body", [b"{", b"[]", b"\xff", b'{"level":1}'])
    def test_malformed_bodies_are_rejected(self, body: bytes) -> None:
        # Guards against an internal error for an invalid body.
        async def scenario(send_request: SendRequest) -> None:
            response = await send_request("POST", "/ops/log-level", data=body)
            assert response.status == 400
            assert response.error["kind"] == "bad_request"

        run_scenario(FakeProcess(), scenario)

    def test_a_body_over_the_size_limit_is_rejected(self) -> None:
        # Guards against unbounded memory use by large bodies.
        async def scenario(send_request: SendRequest) -> None:
            body = b" " * (bodies.BODY_SIZE_MAX_BYTES + 1)
            response = await send_request("POST", "/ops/log-level", data=body)
            assert response.status == 413
            assert response.error["kind"] == "body_too_large"

        run_scenario(FakeProcess(), scenario)


class TestActions:
    """Operator actions on one instance, and its request records."""

    def test_a_second_drain_does_not_request_another_stop(self) -> None:
        # Guards against aborted requests: a second stop signal ends the process
        # immediately.
        process = FakeProcess()

        async def scenario(send_request: SendRequest) -> None:
            first = json.loads((await send_request("POST", "/ops/drain")).text)
            second = json.loads((await send_request("POST", "/ops/drain")).text)
            assert not first["already_draining"]
            assert second["already_draining"]

        run_scenario(process, scenario)
        assert process.stop_count == 1

    def test_changed_log_level_takes_effect(self) -> None:
        # Guards against a log level that is reported but not set.
        process = FakeProcess()

        async def scenario(send_request: SendRequest) -> None:
            body = b'{"level": "debug"}'
            changed = await send_request("POST", "/ops/log-level", data=body)
            assert changed.status == 200
            response = await send_request("GET", "/ops/log-level")
            assert json.loads(response.text) == {"level": "debug"}

        run_scenario(process, scenario)
        assert process.level == "debug"

    def test_target_drain_marks_the_target_as_draining(self) -> None:
        # Guards against a drain that is acknowledged but has no effect.
        process = FakeProcess()

        async def scenario(send_request: SendRequest) -> None:
            response = await send_request("POST", "/ops/targets/t0/drain")
            assert json.loads(response.text)["changed"]

        run_scenario(process, scenario)
        assert process.states.is_draining("t0")

    def test_request_record_is_returned(self) -> None:
        # Guards against request records that operators cannot retrieve.
        async def scenario(send_request: SendRequest) -> None:
            response = await send_request("GET", "/ops/requests/known")
            assert json.loads(response.text)["request"]["request_id"] == "known"

        run_scenario(FakeProcess(), scenario)


def make_report(
    epoch: int, sequence: int, state: target_states.ServingState
) -> target_states.TargetState:
    return target_states.TargetState("t0", epoch, sequence, state)


class TestOperatorDrainMark:
    """A target marked by an operator stays draining until it restarts."""

    @pytest.mark.parametrize("known_epoch", [None, 7, 90_000])
    def test_reports_of_the_running_process_do_not_override_the_mark(
        self, known_epoch: int | None
    ) -> None:
        # Guards against sending requests to a marked target, which is unaware
        # of the operator's request and still reports that it is serving.
        serving = target_states.ServingState.SERVING
        states = target_states.TargetStates()
        if known_epoch is not None:
            states.observe(make_report(known_epoch, 3, serving))
        drains.mark_draining(states, "t0", now_ms=5_000)
        states.observe(make_report(known_epoch or 4_000, 4, serving))
        assert states.is_draining("t0")

    def test_a_report_after_a_restart_overrides_the_mark(self) -> None:
        # Guards against a restarted target that never gets requests again.
        states = target_states.TargetStates()
        drains.mark_draining(states, "t0", now_ms=5_000)
        states.observe(
            make_report(6_000, 0, target_states.ServingState.SERVING)
        )
        assert not states.is_draining("t0")

    def test_a_repeated_mark_changes_nothing(self) -> None:
        # Guards against gossiping a new mark whenever an operator repeats the
        # request.
        states = target_states.TargetStates()
        assert drains.mark_draining(states, "t0", now_ms=5_000)
        assert not drains.mark_draining(states, "t0", now_ms=6_000)
