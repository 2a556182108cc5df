"""Compares answers of real instance processes with golden files.

Run `GOLDEN_UPDATE=1 pytest tests/test_golden.py` to update the files.
"""

import asyncio
import json
import os
import pathlib
import re
from typing import Any

import pytest

from lycheerock_bench import harness

GOLDEN = pathlib.Path(__file__).parent / "golden"
SHAPES = [
    harness.ServiceShape("guest-portal", "latency", 3, 4, 2, 3, 30),
    harness.ServiceShape("ronda-app", "coverage", 3, 4, 2, 2, 25),
]
SEARCH = "/v1/services/guest-portal/search"
RUN = "/v1/services/guest-portal/run"
BOOKING = {"shard_key": "k", "payload": {"seats": 2}}

# Instance, path, extra headers and body of a POST request. In headers, "KEY" is
# replaced by the last request key that was issued in the session.
Step = tuple[str, str, dict[str, str], Any]
SESSIONS: dict[str, list[Step]] = {
    "searches": [
        ("i0", SEARCH, {}, {"query": "first"}),
        ("i0", SEARCH, {}, {"query": {"words": ["second", "é"]}}),
        ("i1", "/v1/services/ronda-app/search", {}, {"query": None}),
    ],
    "bookings": [
        ("i0", "/v1/keys?count=1", {}, None),
        ("i1", RUN, {"X-Request-Key": "KEY"}, BOOKING),
        ("i0", RUN, {"X-Request-Key": "KEY"}, BOOKING),
        ("i0", RUN, {"X-Request-Key": "KEY"}, BOOKING | {"shard_key": "x"}),
        ("i1", RUN, {"X-Request-Key": "i1.1.1.1.0123456789abcdef"}, BOOKING),
        ("i1", RUN, {"X-Request-Key": "i9.1.1.1.0123456789abcdef"}, BOOKING),
    ],
    "refusals": [
        ("i0", SEARCH, {"Authorization": "Bearer nobody"}, {"query": 1}),
        ("i0", SEARCH, {"X-Deadline-Ms": "-5"}, {"query": 1}),
        ("i0", SEARCH, {}, ["query"]),
        ("i0", "/v1/services/unknown/search", {}, {"query": 1}),
        ("i0", "/v2/keys", {}, None),
        ("i0", "/v1/keys?count=1001", {}, None),
        ("i0", RUN, {"X-Request-Key": "rubbish"}, BOOKING),
    ],
}

_REQUEST_ID = re.compile(r"(i\d)\.[0-9a-f]+\.[0-9a-f]+")
_RUN_BY = re.compile(r'"run_by": "[^"]+"')


async def _run_session(
    deployment: harness.Deployment, steps: list[Step]
) -> list[dict[str, Any]]:
    key = ""
    exchanges = []
    for instance, path, headers, body in steps:
        extra = {n: v.replace("KEY", key) for n, v in headers.items()}
        all_headers = harness.caller_headers() | extra
        url = deployment.caller_url(instance, path)
        async with deployment.session.post(
            url, headers=all_headers, json=body
        ) as reply:
            answer = await reply.json()
            status = reply.status
        key = answer.get("keys", [key])[0]
        exchanges.append(
            {
                "request": [instance, path, headers, body],
                "status": status,
                "answer": _normalize(answer, key),
            }
        )
    return exchanges


def _normalize(answer: Any, key: str) -> Any:
    """Replaces values that differ between runs by placeholders."""
    text = json.dumps(answer, ensure_ascii=False)
    if key:
        text = text.replace(key, "<key>")
    text = _REQUEST_ID.sub(r"\1.<incarnation>.<number>", text)
    return json.loads(_RUN_BY.sub('"run_by": "<target>"', text))


@pytest.fixture(scope="module")
def sessions(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """Runs all sessions against one deployment of two instances."""

    async def run() -> dict[str, Any]:
        directory = tmp_path_factory.mktemp("golden")
        deployment = harness.Deployment(directory, SHAPES, 2)
        try:
            await deployment.start()
            return {
                name: await _run_session(deployment, steps)
                for name, steps in SESSIONS.items()
            }
        finally:
            await deployment.stop()

    return asyncio.run(run())


class TestSessions:
    """Answers match the golden files."""

    @pytest.mark.parametrize("name", SESSIONS)
    def test_session_matches_golden_file(
        self, name: str, sessions: Any
    ) -> None:
        # Guards against unintended changes of the answers that callers receive.
        path = GOLDEN / f"{name}.json"
        text = json.dumps(sessions[name], indent=2, ensure_ascii=False) + "\n"
        if os.environ.get("GOLDEN_UPDATE") == "1":
            path.write_text(text, encoding="utf-8")
        assert path.read_text(encoding="utf-8") == text
