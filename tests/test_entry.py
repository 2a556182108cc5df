"""Tests of the HTTP interface for callers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import time
from typing import Any

from aiohttp import test_utils
import pytest
import scripted
import structlog.testing

from lycheerock._internal.booking import keys
from lycheerock._internal.booking import runner as runner_lib
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.dispatch import target_states
from lycheerock._internal.entry import admission
from lycheerock._internal.entry import server
from lycheerock._internal.query import metrics as metrics_lib
from lycheerock._internal.query import records
from lycheerock._internal.query import search
from lycheerock._internal.query import sender
from lycheerock._internal.query import service_states
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

TOKEN = "a-token-of-some-length"
AUTH = {"Authorization": f"Bearer {TOKEN}"}
SEARCH = "/v1/services/svc/search"
RUN = "/v1/services/svc/run"
BODY = b'{"query": "q"}'


class RecordingMetrics:
    """Request metrics that record each call."""

    def __init__(self) -> None:
        self.calls: list[dict[str, Any]] = []

    def observe_request(self, summary: metrics_lib.RequestSummary) -> None:
        self.calls.append(dataclasses.asdict(summary))


class EntryHarness:
    """An entry server whose targets give scripted replies."""

    def __init__(self, mode: str = "ok", requests_max: int = 10):
        replica = scripted.Replica(mode=mode)
        self.targets = scripted.Targets({"a": replica, "b": replica})
        self.records = records.Records()
        self.metrics = RecordingMetrics()
        service = scripted.build_service({1: [["a", "b"], ["b", "a"]]})
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        caller = bundle_lib.Caller("c", digest, ("svc", "gone"))
        self.store = store_lib.BundleStore()
        self.store.put_in_force(
            bundle_lib.Bundle(1, "op", 5, (service,), (caller,))
        )
        context = sender.Context(
            self.targets,
            target_states.TargetStates(),
            service_states.ServiceStates(),
        )
        self.runner = runner_lib.BookingRunner(
            keys.KeyTable("i0", 7, time.monotonic()), context, _forward
        )
        self.searcher = search.Searcher(context)
        self.server = server.EntryServer(
            "i0.7",
            self.store,
            self.searcher,
            self.runner,
            records=self.records,
            metrics=self.metrics,
            admission=admission.AdmissionControl(requests_max),
        )

    def run_with_client(
        self,
        action: Callable[[test_utils.TestClient[Any, Any]], Awaitable[Any]],
    ) -> Any:
        async def run() -> Any:
            test_server = test_utils.TestServer(self.server.build())
            async with test_utils.TestClient(test_server) as client:
                return await action(client)

        return asyncio.run(run())

    def send(self, path: str = SEARCH, **request: Any) -> tuple[int, Any]:
        """Sends a request and returns the HTTP status and the answer."""
        method = request.pop("method", "POST")
        request = {"headers": AUTH, "data": BODY} | request

        async def action(
            client: test_utils.TestClient[Any, Any],
        ) -> tuple[int, Any]:
            async with client.request(method, path, **request) as reply:
                return reply.status, await reply.json()

        status, answer = self.run_with_client(action)
        return status, answer


async def _forward(
    key: keys.RequestKey, request: runner_lib.RunRequest
) -> answers.Answer:
    raise RuntimeError(f"cannot forward {key} of {request.request_id}")


async def _endless() -> AsyncIterator[bytes]:
    for _ in range(64):
        yield b" " * 65_536


DUPLICATE = [*AUTH.items(), ("X-Deadline-Ms", "1"), ("X-Deadline-Ms", "9")]
REFUSALS = {
    "no token": ({"headers": {}}, 401, "unauthenticated"),
    "wrong token": (
        {"headers": {"Authorization": "Bearer nothing"}},
        401,
        "unauthenticated",
    ),
    "unknown service": (
        {"path": "/v1/services/gone/search"},
        404,
        "unknown_service",
    ),
    "forbidden service": (
        {"path": "/v1/services/other/search"},
        403,
        "forbidden",
    ),
    "unknown path": ({"path": "/v1/nothing"}, 404, "bad_request"),
    "unknown method": ({"method": "GET"}, 405, "bad_request"),
    "broken JSON": ({"data": b'{"query": nul'}, 400, "bad_request"),
    "no query": ({"data": b"{}"}, 400, "bad_request"),
    "not an object": ({"data": b"[1]"}, 400, "bad_request"),
    "not UTF-8": ({"data": b'{"query": "\xff"}'}, 400, "bad_request"),
    "deep nesting": (
        {"data": b'{"query":' + b"[" * 50_000 + b"]" * 50_000 + b"}"},
        400,
        "bad_request",
    ),
    "large body": ({"data": b" " * 300_000}, 413, "body_too_large"),
    "endless body": ({"data": _endless}, 413, "body_too_large"),
    "zero deadline": (
        {"headers": AUTH | {"X-Deadline-Ms": "0"}},
        400,
        "bad_request",
    ),
    "excessive deadline": (
        {"headers": AUTH | {"X-Deadline-Ms": "9" * 5_000}},
        400,
        "bad_request",
    ),
    "duplicate header": ({"headers": DUPLICATE}, 400, "bad_request"),
    "no key": ({"path": RUN, "data": b'{"shard_key":"k"}'}, 400, "key"),
    "excessive key count": (
        {"path": "/v1/keys?count=" + "9" * 5_000},
        400,
        "bad_request",
    ),
}


class TestRefusals:
    """Refusals contain an error kind, an outcome and a remedy."""

    @pytest.mark.parametrize("name", REFUSALS)
    def test_refusal_has_kind_outcome_and_remedy(self, name: str) -> None:
        # Guards against plain-text errors, tracebacks and unbounded reads.
        request, http_status, kind = REFUSALS[name]
        if callable(request.get("data")):
            request = request | {"data": request["data"]()}
        entry = EntryHarness()
        status, answer = entry.send(**request)
        assert (status, answer["error"]["kind"]) == (http_status, kind)
        assert answer["outcome"] == "not_run"
        assert answer["error"]["remedy"]
        assert not entry.targets.sent

    def test_too_many_requests_are_refused(self) -> None:
        # Guards against unbounded memory use under overload.
        entry = EntryHarness("no_reply", requests_max=2)

        async def action(client: test_utils.TestClient[Any, Any]) -> Any:
            headers = AUTH | {"X-Deadline-Ms": "30000"}
            waiting = [
                asyncio.create_task(
                    client.post(SEARCH, headers=headers, data=BODY)
                )
                for _ in range(2)
            ]
            while len(entry.targets.sent) < 4:
                await asyncio.sleep(0)
            async with client.post(SEARCH, headers=AUTH, data=BODY) as reply:
                answer = await reply.json()
            for task in waiting:
                task.cancel()
            for future in entry.targets.futures:
                future.cancel()
            return answer

        answer = entry.run_with_client(action)
        assert answer["error"]["kind"] == "overloaded"
        assert answer["error"]["retry_after_ms"] > 0
        assert answer["outcome"] == "not_run"

    def test_stalled_body_is_refused_at_the_deadline(self) -> None:
        # Guards against slow senders that use up the request limit.
        entry = EntryHarness()

        async def stalled() -> AsyncIterator[bytes]:
            yield b'{"query":'
            await asyncio.sleep(30.0)

        headers = AUTH | {"X-Deadline-Ms": "50"}
        status, answer = entry.send(headers=headers, data=stalled())
        assert (status, answer["error"]["kind"]) == (408, "deadline")

    def test_unexpected_error_has_unknown_outcome_and_is_logged(self) -> None:
        # Guards against the outcome not_run, or a traceback in the answer,
        # after an internal error.
        entry = EntryHarness()
        key = "i1.1.1.1.0123456789abcdef"
        with structlog.testing.capture_logs() as logs:
            status, answer = entry.send(
                RUN,
                headers=AUTH | {"X-Request-Key": key},
                data=b'{"shard_key": "k"}',
            )
        assert (status, answer["error"]["kind"]) == (500, "internal")
        assert answer["outcome"] == "unknown"
        assert "Traceback" not in str(answer)
        assert [line["event"] for line in logs] == ["request_failed"]

    def test_refused_retry_of_a_booking_has_unknown_outcome(self) -> None:
        # Guards against the outcome not_run for a booking that has already run.
        entry = EntryHarness()
        key = entry.runner.table.issue(1, "c", time.monotonic())[0]
        headers = AUTH | {"X-Request-Key": key}
        request = {"headers": headers, "data": b'{"shard_key": "k"}'}
        _, first = entry.send(RUN, **request)
        _, second = entry.send(RUN, headers=headers, data=b"{")
        assert first["outcome"] == "done"
        assert second["outcome"] == "unknown"


class TestRecordsAndMetrics:
    """Records and metrics contain each request once."""

    def test_request_is_counted_once_despite_retries(self) -> None:
        # Guards against counting attempts as requests.
        entry = EntryHarness("lost")
        _, answer = entry.send()
        assert len(entry.metrics.calls) == 1
        call = entry.metrics.calls[0]
        assert call["first_attempt_count"] == 2
        assert call["extra_attempt_count"] == 2
        assert (call["covered_count"], call["lacking_count"]) == (0, 2)
        found = entry.records.find(answer["request_id"])
        assert found is not None
        assert found.error_kind == "coverage"

    def test_unauthenticated_request_is_not_recorded(self) -> None:
        # Guards against unauthenticated requests that evict other records.
        entry = EntryHarness()
        entry.send(headers={})
        assert len(entry.records) == 0
