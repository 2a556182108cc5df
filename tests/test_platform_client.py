"""Tests of the platform client against the fake platform."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import aiohttp.test_utils
import aiohttp.web
import pytest
from returns import result

from lycheerock._internal.bundles import idempotent_writes
from lycheerock._internal.lifecycle import backoff
from lycheerock._internal.platform import client as client_lib
from lycheerock_bench._internal import fake_platform
from lycheerock_model import exceptions

PlatformTest = Callable[[client_lib.PlatformClient], Awaitable[None]]


def run_with_platform(faults: fake_platform.Faults, test: PlatformTest) -> None:
    async def run() -> None:
        platform = fake_platform.FakePlatform(seed=1)
        platform.set_faults(faults)
        server = aiohttp.test_utils.TestServer(platform.build())
        await server.start_server()
        client = client_lib.PlatformClient(f"127.0.0.1:{server.port}", "i0")
        try:
            await test(client)
        finally:
            await client.close()
            await server.close()

    asyncio.run(run())


def _writes(
    client: client_lib.PlatformClient,
) -> idempotent_writes.IdempotentWrites:
    return idempotent_writes.IdempotentWrites(client)


class TestWrites:
    """A write reports its outcome or that the outcome is unknown."""

    @pytest.mark.parametrize("reply_lost_ratio", [0.0, 1.0])
    def test_second_writer_gets_a_conflict(
        self, reply_lost_ratio: float
    ) -> None:
        # Guards against two errors after a lost reply: the first writer gets a
        # conflict with its own write, or the second writer, whose value is the
        # same, takes the stored object for its own write.
        async def test(client: client_lib.PlatformClient) -> None:
            first = await _writes(client).create("bundles", "2", {"by": "ana"})
            second = await _writes(client).create("bundles", "2", {"by": "ana"})
            assert first.unwrap().version == 1
            assert isinstance(second.failure(), exceptions.ConflictError)
            updated = await _writes(client).update(
                "bundles", "2", {"by": "luc"}, 1
            )
            assert updated.unwrap().version == 2

        run_with_platform(
            fake_platform.Faults(reply_lost_ratio=reply_lost_ratio), test
        )

    def test_outage_after_a_write_leaves_the_outcome_unknown(self) -> None:
        # Guards against reporting a failure for a write that took effect.
        async def test(client: client_lib.PlatformClient) -> None:
            written = await _writes(client).create("bundles", "2", {})
            assert isinstance(written, result.Failure)
            error = written.failure()
            assert isinstance(error, exceptions.OutcomeUnknownError)
            assert error.remedy

        run_with_platform(fake_platform.Faults(down_after_write=True), test)

    def test_refused_connection_is_a_failure(self) -> None:
        # Guards against an unknown outcome for a write that was never sent,
        # which would stop admission on all instances.
        async def test() -> None:
            client = client_lib.PlatformClient("127.0.0.1:9", "i0")
            written = await _writes(client).create("bundles", "2", {})
            error = written.failure()
            assert isinstance(error, exceptions.PlatformError)
            assert not isinstance(error, exceptions.OutcomeUnknownError)
            await client.close()

        asyncio.run(test())


class TestListing:
    """A listing is complete or fails."""

    def test_page_of_unreadable_objects_does_not_end_the_list(self) -> None:
        # Guards against a listing that ends at a page of unreadable entries, so
        # that the targets on later pages are missing.
        pages = {
            "": _page([{"meta": {"name": "a", "revision": "x"}}], more=True),
            "a": _page([{"meta": {"name": "b", "revision": 3}}], more=False),
        }
        found = _list(pages)
        assert set(found.unwrap().values) == {"b"}

    def test_list_that_cannot_continue_fails(self) -> None:
        # Guards against treating a partial listing as complete, which would
        # remove all targets after it.
        found = _list({"": _page([None], more=True)})
        assert isinstance(found.failure(), exceptions.PlatformError)


class TestInstances:
    """The list of instances holds the readable entries."""

    def test_unreadable_entries_do_not_hide_the_others(self) -> None:
        # Guards against an instance that finds no seeds, and reports on none,
        # because of one entry of another writer.
        good = {
            "instance_id": "i1",
            "state": "live",
            "peer_address": "127.0.0.1:7000",
            "region": "r1",
            "zone": "z1",
        }

        async def test() -> None:
            platform = fake_platform.FakePlatform(seed=1)
            server = aiohttp.test_utils.TestServer(platform.build())
            await server.start_server()
            client = client_lib.PlatformClient(f"127.0.0.1:{server.port}", "i0")
            try:
                await platform.store("instances", "i1", good)
                for name, spec in (
                    ("deep", b"[" * 5_000 + b"]" * 5_000),
                    ("huge", b"1" + b"0" * 400),
                    ("short", b'{"instance_id": "i2"}'),
                ):
                    await platform.store_raw("instances", name, spec)
                listing = (await client.list_instances()).unwrap()
                assert listing.instances == (client_lib.ListedInstance(**good),)
                assert set(listing.unreadable_names) == {
                    "deep",
                    "huge",
                    "short",
                }
            finally:
                await client.close()
                await server.close()

        asyncio.run(test())


def _page(items: list[object], *, more: bool) -> dict[str, object]:
    return {"items": items, "more": more, "at_rev": 9}


def _list(
    pages: dict[str, dict[str, object]],
) -> result.Result[client_lib.Listing, exceptions.PlatformError]:
    """Lists a kind from a store whose pages are selected by `after`."""

    async def serve(request: aiohttp.web.Request) -> aiohttp.web.Response:
        return aiohttp.web.json_response(pages[request.query.get("after", "")])

    async def run() -> result.Result[
        client_lib.Listing, exceptions.PlatformError
    ]:
        app = aiohttp.web.Application()
        app.router.add_get("/objects/servers", serve)
        server = aiohttp.test_utils.TestServer(app)
        await server.start_server()
        client = client_lib.PlatformClient(f"127.0.0.1:{server.port}", "i0")
        try:
            return await client.list_objects("servers")
        finally:
            await client.close()
            await server.close()

    return asyncio.run(run())


class TestCallCounts:
    """The client counts its calls by kind of call."""

    def test_each_call_is_counted_once_by_its_kind(self) -> None:
        # Guards against calls that the client does not count, although they use
        # up the budget of calls to the platform.
        async def test(client: client_lib.PlatformClient) -> None:
            await _writes(client).create("rollout", "current", {})
            await client.get("rollout", "current")
            await client.watch("rollout", "current", 0)
            await client.list_instances()
            assert client.call_counts == {
                "create": 1,
                "get": 1,
                "watch": 1,
                "list": 1,
            }

        run_with_platform(fake_platform.Faults(), test)


class TestBackoff:
    """Instances that fail together stay within the platform's rate limits."""

    def test_420_instances_stay_below_the_read_rate(self) -> None:
        # Guards against instances that together send more than 2,000 reads per
        # second at the start of an outage, or that still send 200 per second
        # after half a minute, because the backoff is too short or has too
        # little jitter.
        uniform = random.Random(20261204).uniform
        calls_by_second = [0] * 120
        for _ in range(420):
            delays = backoff.Backoff(uniform)
            time_s = 0.0
            while time_s < len(calls_by_second):
                calls_by_second[int(time_s)] += 1
                time_s += delays.next_delay_s()
        assert max(calls_by_second) < 2_000
        assert max(calls_by_second[30:]) < 200
