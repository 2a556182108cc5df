"""Tests of what one unexpected error or malformed object may cause."""

import asyncio
import contextlib

import aiohttp
import aiohttp.test_utils
import aiohttp.web
import gateway_harness
import pytest
from returns import result

from lycheerock._internal.bundles import gate as gate_lib
from lycheerock._internal.bundles import periodic_checks
from lycheerock._internal.gateway import daemon as daemon_lib
from lycheerock._internal.lifecycle import supervision
from lycheerock._internal.platform import client as client_lib
from lycheerock._internal.platform import target_entries
from lycheerock_model import exceptions


class FailingTask:
    """Fails on each of its first starts and then runs on."""

    def __init__(self, failures: list[Exception | None]) -> None:
        self._failures = failures
        self.starts = 0
        self.pauses_s: list[float] = []
        self.is_running = asyncio.Event()

    async def run(self) -> None:
        self.starts += 1
        if self._failures:
            failure = self._failures.pop(0)
            if failure is None:
                return
            raise failure
        self.is_running.set()
        await asyncio.Event().wait()

    async def sleep(self, delay_s: float) -> None:
        self.pauses_s.append(delay_s)


async def run_until_running(task: FailingTask) -> None:
    supervised = asyncio.create_task(
        supervision.keep_running("task", task.run, task.sleep)
    )
    await asyncio.wait_for(task.is_running.wait(), 5.0)
    supervised.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await supervised
    assert supervised.cancelled()


class TestKeepRunning:
    """A long-lived task starts again after an error."""

    def test_failed_task_is_started_again_with_growing_pauses(self) -> None:
        # Guards against a task that ends without a trace, after which routes,
        # targets or connections are never updated again.
        async def test() -> None:
            failures = [KeyError("a"), RecursionError(), AssertionError()]
            task = FailingTask([*failures, *[ValueError()] * 7])
            await run_until_running(task)
            assert task.starts == 11
            assert task.pauses_s[:3] == [0.1, 0.2, 0.4]
            assert max(task.pauses_s) == supervision.RESTART_MAX_S

        asyncio.run(test())

    def test_task_that_returns_is_started_again(self) -> None:
        # Guards against a task that is never meant to end and does so quietly.
        async def test() -> None:
            task = FailingTask([None])
            await run_until_running(task)
            assert task.starts == 2

        asyncio.run(test())


class _StoreStub:
    """A bundle store whose lease is always due for renewal.

    Attributes:
      gate: The admission gate.
      state: The store itself, which also stands in for its state.
      takeover_count: Number of checks of the coordinator.
    """

    def __init__(self) -> None:
        self.gate = _GateStub()
        self.state = self
        self.takeover_count = 0

    def now_s(self) -> float:
        return 0.0

    def lease_age_s(self, _now_s: float) -> float:
        return periodic_checks.LEASE_REFRESH_AGE_S + 1.0

    def takeover_due(self, _now_s: float, _rank: int) -> bool:
        self.takeover_count += 1
        return False


class _GateStub:
    """An open admission gate that counts its observations."""

    def __init__(self) -> None:
        self.count = 0

    def observe(self, _now_s: float) -> bool:
        self.count += 1
        return True


class _UpdaterStub:
    """Holds the store."""

    def __init__(self) -> None:
        self.store = _StoreStub()


class _ReaderStub:
    """Raises an unexpected error on the first read."""

    def __init__(self) -> None:
        self.count = 0

    async def read(self) -> bool:
        self.count += 1
        if self.count == 1:
            raise RecursionError("nested too deeply")
        return True


class _PeerSetStub:
    """A set of peers in which this instance is the first."""

    def rank(self, _key: str) -> int:
        return 0


class TestBundleChecks:
    """The checks of the JSON interface survive an unexpected error."""

    def test_error_of_one_check_ends_none_for_good(self) -> None:
        # Guards against an instance that no longer notices a freeze or renews
        # its lease, and so stops admitting requests or serves an old bundle,
        # because one rollout object could not be decoded.
        async def run() -> None:
            updater, reader = _UpdaterStub(), _ReaderStub()
            checks = periodic_checks.PeriodicChecks(
                updater,  # type: ignore[arg-type]
                _PeerSetStub(),  # type: ignore[arg-type]
                reader,  # type: ignore[arg-type]
                None,  # type: ignore[arg-type]
                None,  # type: ignore[arg-type]
            )
            running = asyncio.create_task(checks.run())
            await asyncio.sleep(supervision.RESTART_FIRST_S / 2)
            assert reader.count == 1
            store = updater.store
            before = store.gate.count, store.takeover_count
            await asyncio.sleep(
                2 * supervision.RESTART_FIRST_S + 2 * gate_lib.TICK_PERIOD_S
            )
            assert reader.count == 2
            assert store.gate.count > before[0]
            assert store.takeover_count > before[1]
            assert not running.done()
            running.cancel()

        asyncio.run(run())


class TestGatewayTasks:
    """Every long-lived task of a gateway survives an unexpected error."""

    def test_gateway_serves_after_each_task_has_failed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a gateway that stops following the store, registering,
        # subscribing, warming, opening links or enforcing caps after one error.
        starts: dict[str, int] = {}
        original = daemon_lib.GatewayDaemon._long_lived_tasks

        def failing_once(
            daemon: daemon_lib.GatewayDaemon,
        ) -> dict[str, object]:
            def wrap(name: str, run: object) -> object:
                async def start() -> None:
                    starts[name] = starts.get(name, 0) + 1
                    if starts[name] == 1:
                        raise RuntimeError("injected")
                    await run()  # type: ignore[operator]

                return start

            return {n: wrap(n, run) for n, run in original(daemon).items()}

        monkeypatch.setattr(
            daemon_lib.GatewayDaemon, "_long_lived_tasks", failing_once
        )

        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await harness.add_target("a", "desk", b"rows")
            await harness.configure(
                [gateway_harness.forward_route("desk", "safe")]
            )
            await harness.start_gateway()
            status, _, body = await harness.call("/safe/x", "r1")
            assert (status, body) == (200, b"rows")
            assert sorted(starts.values()) == [2] * 8

        gateway_harness.run(test)

    def test_error_of_one_attempt_fails_that_attempt_only(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a search that fails as a whole because the reply of one
        # shard raises an unexpected error.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            for shard in ("s1", "s2"):
                await harness.add_target(
                    f"{shard}-a", shard, gateway_harness.record(7)
                )
            await harness.configure(
                [gateway_harness.search_route(["s1", "s2"])]
            )
            await harness.start_gateway()
            assert harness.daemon is not None
            target = harness.daemon._registry.get("s1-a")
            assert target is not None

            async def fail(*, fresh_only: bool) -> None:
                raise ZeroDivisionError(fresh_only)

            monkeypatch.setattr(target.pool, "acquire", fail)
            status, headers, _ = await harness.call("/s/x", "r1")
            assert (status, headers["X-Missing-Parts"]) == (200, "1")

        gateway_harness.run(test)

    def test_error_while_handling_a_request_rules_nothing_out(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a status that says that the request was not run, after
        # an error at an unknown point.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await harness.configure(
                [gateway_harness.forward_route("desk", "unsafe")]
            )
            await harness.start_gateway()
            assert harness.daemon is not None

            def fail(_spec: object) -> None:
                raise ZeroDivisionError

            monkeypatch.setattr(
                harness.daemon._handler._deliverer, "new_delivery", fail
            )
            status, headers, _ = await harness.call(
                "/unsafe/x", "r1", method="POST"
            )
            assert status == 502
            assert "Retry-After" not in headers

        gateway_harness.run(test)


ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:8000",
    "zone": "z1",
    "slots": 4,
    "state": "ready",
    "version": "v1",
    "warmup_left_ms": 0,
    "seq": 1,
}


class TestMalformedEntries:
    """Entries of the store that other writers have made."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": "127.0.0.1:99999"},
            {"address": "127.0.0.1:0"},
            {"address": "127.0.0.1:-1"},
            {"address": "127.0.0.1:"},
            {"address": "..:8000"},
            {"address": "a host:8000"},
            {"address": "\0:8000"},
            {"address": "8000"},
            {"address": ""},
            {"address": ["127.0.0.1", 8000]},
            {"slots": 0},
            {"slots": 2.5},
            {"state": "gone"},
            {"service": None},
            {"warmup_left_ms": "soon"},
            {"version": 1},
            {"version": None},
            {"seq": "1"},
            {"seq": 1.5},
            {"seq": None},
        ],
    )
    def test_malformed_entry_names_no_target(
        self, changes: dict[str, object]
    ) -> None:
        # Guards against an address that no connection can be opened to: the
        # error it causes is not one that a lost target causes.
        assert isinstance(target_entries.decode("a", ENTRY | changes), str)

    @pytest.mark.parametrize("field", sorted(ENTRY))
    def test_entry_without_a_field_names_no_target(self, field: str) -> None:
        # Guards against the server of another system that gets requests, since
        # an entry of another writer gives its address but lacks fields that
        # each target writes.
        entry = {k: v for k, v in ENTRY.items() if k != field}
        assert isinstance(target_entries.decode("a", entry), str)

    @pytest.mark.parametrize(
        "name",
        ["", "a b", "a\r\nX-Request-Id: x", "a\n", "a\0", "é", "a" * 254],
    )
    def test_name_that_no_header_can_carry_names_no_target(
        self, name: str
    ) -> None:
        # Guards against an entry of another writer whose name ends the head of
        # a request, so that a target at its address runs what follows.
        assert isinstance(target_entries.decode(name, ENTRY), str)

    def test_valid_entry_is_decoded(self) -> None:
        # Guards against checks that reject an entry of a usable target.
        entry = target_entries.decode("a", ENTRY)
        assert not isinstance(entry, str)
        assert (entry.host, entry.port) == ("127.0.0.1", 8000)


class TestStoreReplies:
    """Replies of the store that are no answer."""

    @pytest.mark.parametrize("call", ["list", "watch"])
    @pytest.mark.parametrize("reply", ["endless", "nested"])
    def test_unusable_reply_is_a_failed_call(
        self, call: str, reply: str
    ) -> None:
        # Guards against a reply without end that fills the memory, and against
        # deeply nested JSON, which raises an error of its own kind.
        sent_bytes = 0

        async def serve(
            request: aiohttp.web.Request,
        ) -> aiohttp.web.StreamResponse:
            nonlocal sent_bytes
            response = aiohttp.web.StreamResponse()
            await response.prepare(request)
            if reply == "nested":
                await response.write(b'{"items":' + b"[" * 100_000)
                return response
            with contextlib.suppress(ConnectionError):
                while sent_bytes < 256 * 1_048_576:
                    await response.write(b"[" * 65_536)
                    sent_bytes += 65_536
            return response

        async def test() -> None:
            app = aiohttp.web.Application()
            app.add_routes([aiohttp.web.get("/{path:.*}", serve)])
            server = aiohttp.test_utils.TestServer(app)
            await server.start_server()
            client = client_lib.PlatformClient(f"127.0.0.1:{server.port}")
            found: result.Result[object, exceptions.PlatformError] = (
                await client.list_objects("servers")
                if call == "list"
                else await client.watch_kind("servers", 1, 1.0)
            )
            await client.close()
            await server.close()
            assert isinstance(found, result.Failure)
            assert sent_bytes < 64 * 1_048_576

        asyncio.run(test())
