"""Tests for lycheectl that need no deployment."""

import asyncio
import io
import json
import pathlib
from typing import Any

import aiohttp.test_utils
import aiohttp.web
import msgspec
import pytest

from lycheectl._internal import actions
from lycheectl._internal import bundles
from lycheectl._internal import client as client_lib
from lycheectl._internal import config as config_lib
from lycheectl._internal import diff
from lycheectl._internal import fleet
from lycheectl._internal import output
from lycheectl._internal import waiting
from lycheerock_bench._internal import deployments
from lycheerock_model import answers
from lycheerock_model import bundle_check
from lycheerock_model import exceptions

SHAPE = deployments.ServiceShape("portal", "latency", 3, 4, 2, 3, 30)
TOKEN = "operator-token-for-tests"


def make_config(**instances: str) -> config_lib.Config:
    return config_lib.Config(instances, TOKEN, "nadia")  # type: ignore[arg-type]


class TestConfig:
    """The configuration file and the environment."""

    def test_environment_takes_precedence(self, tmp_path: pathlib.Path) -> None:
        # Guards against a file that overrides environment variables.
        path = tmp_path / "c.json"
        document = {"instances": {"i0": "127.0.0.1:1"}, "token": "short"}
        path.write_text(json.dumps(document))
        loaded = config_lib.load(
            {
                "LYCHEECTL_CONFIG": str(path),
                "LYCHEECTL_INSTANCES": "i1=127.0.0.1:2, i2=127.0.0.1:3",
                "LYCHEECTL_TOKEN": TOKEN,
                "LYCHEECTL_OPERATOR": "nadia",
            }
        )
        assert loaded.instances == {"i1": "127.0.0.1:2", "i2": "127.0.0.1:3"}
        assert TOKEN not in repr(loaded)

    def test_all_faults_are_reported_without_the_token(self) -> None:
        # Guards against reporting only the first fault, and against faults
        # that contain the token.
        with pytest.raises(exceptions.DocumentError) as caught:
            config_lib.load(
                {
                    "LYCHEECTL_INSTANCES": "i0=localhost:1",
                    "LYCHEECTL_TOKEN": "too-short",
                }
            )
        paths = [fault.path for fault in caught.value.faults]
        assert paths == ["instances.i0", "token", "operator"]
        assert "too-short" not in str(caught.value)


class TestTable:
    """Aligned tables."""

    def test_columns_are_aligned_with_numbers_on_the_right(self) -> None:
        # Guards against misaligned columns.
        rows = [("i0", 5, None, True), ("instance-1", 12, 1.25, False)]
        assert output.table(("NAME", "COUNT", "MS", "READY"), rows) == [
            "NAME        COUNT   MS  READY",
            "i0              5    -  yes",
            "instance-1     12  1.2  no",
        ]


class TestDiff:
    """Differences between two bundles."""

    def test_reordering_is_ignored_and_changes_are_listed(self) -> None:
        # Guards against a diff by list index, which would report moved services
        # and every target that follows an added one.
        before = {
            "number": 1,
            "author": "a",
            "services": [
                {"name": "p", "targets": [{"target_id": "t0", "slots": 1}]},
                {"name": "q", "hedge_ratio": 0.05},
            ],
            "callers": [{"name": "c", "token_sha256": "1" * 64}],
        }
        after = {
            "number": 2,
            "author": "b",
            "services": [
                {"name": "q", "hedge_ratio": 0.1},
                {
                    "name": "p",
                    "targets": [
                        {"target_id": "t1", "slots": 1},
                        {"target_id": "t0", "slots": 1},
                    ],
                },
            ],
            "callers": [{"name": "c", "token_sha256": "2" * 64}],
        }
        lines = diff.lines(diff.compare(before, after))
        assert lines == [
            '~ callers.c.token_sha256: "11111111" -> "22222222"',
            '+ services.p.targets.t1: {"target_id":"t1","slots":1}',
            "~ services.q.hedge_ratio: 0.05 -> 0.1",
        ]

    def test_a_file_is_compared_with_the_bundle_in_force(
        self, tmp_path: pathlib.Path
    ) -> None:
        # Guards against reporting omitted defaults and equal lists as changes.
        bundle = deployments.build_bundle([SHAPE], [("r", "za")], 9_100, 5)
        checked, _ = bundle_check.check(bundle)
        in_force = json.loads(msgspec.json.encode(checked))
        caller = in_force["callers"][0]
        caller["token_sha256"] = caller["token_sha256"][:8]
        path = tmp_path / "b.json"
        path.write_text(json.dumps(bundle | {"instance_count_max": 4}))
        report = run_against_stub(
            {("GET", "/ops/bundle-in-force"): (200, in_force)},
            lambda c: bundles.diff(c, path),
        )
        assert list(report.lines) == [
            "1 change(s) against bundle 1",
            "~ instance_count_max: 5 -> 4",
        ]


def make_rollout(**changes: Any) -> dict[str, Any]:
    """Returns an open rollout of bundle 2 that replaces bundle 1."""
    report = {"acknowledged": True, "required": True, "reachable": True}
    return {
        "in_force": 1,
        "staging": 2,
        "coordinator": "i0",
        "blockers": [],
        "problem": "",
        "instances": [
            {"instance_id": "i0", "in_force": 1, **report},
            {"instance_id": "i1", "in_force": 1, **report},
        ],
    } | changes


class TestWaiting:
    """Progress of a rollout."""

    def test_progress_line_lists_the_blockers(self) -> None:
        # Guards against a progress line that omits the blocking instances.
        line = waiting.progress_line(make_rollout(blockers=["i1"]), 2)
        assert line == "in force on: none; blocked by: i1"

    def test_progress_line_lists_the_pending_instances(self) -> None:
        # Guards against showing a rollout as finished once the bundle is
        # accepted but not yet in force on every instance.
        state = make_rollout(in_force=2)
        state["instances"][0]["in_force"] = 2
        line = waiting.progress_line(state, 2)
        assert line == "in force on: i0; waiting for: i1"

    @pytest.mark.parametrize(
        ("state", "exit_code", "kind"),
        [
            (make_rollout(in_force=1, staging=3), 1, "conflict"),
            (make_rollout(blockers=["i1"]), 1, "waiting"),
            (make_rollout(in_force=2, instances=[]), 0, None),
        ],
    )
    def test_wait_ends_on_replacement_timeout_or_completion(
        self, state: dict[str, Any], exit_code: int, kind: str | None
    ) -> None:
        # Guards against an endless wait for a bundle that was replaced, and
        # against success after a timeout.
        report = run_against_stub(
            {("GET", "/ops/rollout"): (200, state)},
            lambda c: waiting.wait(c, 2, 0.0, lambda _: None),
        )
        assert report.exit_code == exit_code
        kinds = [error.kind for error in report.errors.values()]
        assert kinds == ([kind] if kind else [])


def run_against_stub(
    replies: dict[tuple[str, str], tuple[int, Any]], action: Any
) -> Any:
    """Runs an action against a stub of i0, while instance "gone" is down.

    Requests that `replies` does not list get the reply of a log level query.
    """

    async def handle(request: aiohttp.web.Request) -> aiohttp.web.Response:
        key = (request.method, request.path)
        status, value = replies.get(key, (200, {"level": "info"}))
        return aiohttp.web.json_response(value, status=status)

    async def run() -> Any:
        app = aiohttp.web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        async with aiohttp.test_utils.TestServer(app) as server:
            address = f"127.0.0.1:{server.port}"
            config = make_config(i0=address, gone="127.0.0.1:1")
            async with client_lib.Client(config) as client:
                return await action(client)

    return asyncio.run(run())


def error_reply(kind: str) -> tuple[int, Any]:
    """Returns an HTTP status and an error body of the given kind."""
    error = {"kind": kind, "message": "p", "remedy": "r"}
    return 409, {"error": error}


class TestErrors:
    """Errors reported to the operator."""

    def test_typed_errors_are_printed_with_their_remedy(self) -> None:
        # Guards against errors that show only a status code.
        error = answers.ErrorBody("conflict", "bundle 3 exists", "diff it", 200)
        out, err = io.StringIO(), io.StringIO()
        report = output.failed("propose", error)
        code = output.show(report, as_json=False, out=out, err=err)
        assert code == 1
        assert err.getvalue() == (
            "propose: conflict: bundle 3 exists; diff it (retry after 200 ms)\n"
        )

    def test_refused_command_fails(self) -> None:
        # Guards against exit code 0 after a refusal.
        report = run_against_stub(
            {("POST", "/ops/bundles/3/sign"): error_reply("forbidden")},
            lambda c: bundles.sign(c, 3),
        )
        assert report.exit_code == 1
        assert report.errors["sign"].kind == "forbidden"

    @pytest.mark.parametrize("value", ["text", {}, {"error": {}}, []])
    def test_reply_of_another_server_is_reported_as_bad_reply(
        self, value: Any
    ) -> None:
        # Guards against a traceback if the address belongs to another server.
        report = run_against_stub(
            {("POST", "/ops/bundles/3/sign"): (404, value)},
            lambda c: bundles.sign(c, 3),
        )
        assert report.errors["sign"].kind == "bad_reply"

    def test_unreachable_instance_does_not_hide_the_others(self) -> None:
        # Guards against losing the results of reachable instances when one is
        # down.
        report = run_against_stub(
            {},
            lambda c: actions.log_level(c, None, None),
        )
        assert report.value == {"i0": "info"}
        assert report.errors["gone"].kind == "unreachable"

    def test_unknown_instance_id_is_reported(self) -> None:
        # Guards against a traceback for an unknown instance id.
        report = run_against_stub({}, lambda c: fleet.dump(c, "i9"))
        assert report.exit_code == 1
        assert report.errors["i9"].kind == "not_found"

    def test_an_action_is_sent_only_once(self) -> None:
        # Guards against a duplicate proposal when the reply to the first one
        # is lost: the request must not be retried on another instance.
        calls: list[str] = []

        async def propose(client: client_lib.Client) -> Any:
            call = client.call

            async def count(name: str, method: str, *args: Any) -> Any:
                if method == "POST":
                    calls.append(name)
                    return await call("gone", method, *args)
                return await call(name, method, *args)

            client.call = count  # type: ignore[method-assign]
            return await client.call_any("POST", "/ops/bundles", {})

        reply = run_against_stub({}, propose)
        assert client_lib.has_no_reply(reply)
        assert calls == ["i0"]
