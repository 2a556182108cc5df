"""Tests of the dispatcher with real connections to a fake target."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time
from typing import Any

import aiohttp.web
import msgspec
import pytest
import test_links

from lycheerock._internal.dispatch import dispatcher as dispatcher_lib
from lycheerock._internal.dispatch import ownership
from lycheerock._internal.dispatch import target_states
from lycheerock._internal.dispatch import work as work_lib
from lycheerock_bench._internal import deployments
from lycheerock_bench._internal import fake_target
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import bundle_check

SHAPE = deployments.ServiceShape("s", "latency", 2, 2, 1, 3, 30)
ZONES = [("r", "z")]


def make_bundle(addresses: Sequence[str], **changes: Any) -> bundle_lib.Bundle:
    document = deployments.build_bundle([SHAPE], ZONES, 1_000, 5)
    service = document["services"][0]
    for target, address in zip(service["targets"], addresses, strict=True):
        target["address"] = address
    document |= changes
    return bundle_check.load(msgspec.json.encode(document))


def make_work(
    number: int = 0, *, target: int = 0, idempotent: bool = True
) -> work_lib.Work:
    body = {
        "shard": "s0",
        "shard_map_version": 1,
        "index_version": 0,
        "attempt_id": f"a{number}",
        "request_key": f"k{number}",
        "query": "q",
    }
    return work_lib.Work(
        f"a{number}",
        "c",
        "s",
        f"s-t{target}",
        "/v1/shard" if idempotent else "/v1/run",
        msgspec.json.encode(body),
        time.monotonic() + 60.0,
        idempotent,
    )


class FakeLink:
    """A peer stream whose requests end when the test says so."""

    def __init__(self) -> None:
        self.is_ready = True
        self.futures: list[asyncio.Future[work_lib.Result]] = []

    def submit(self, work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
        self.futures.append(asyncio.get_running_loop().create_future())
        return self.futures[-1]


@dataclasses.dataclass
class Fixture:
    """Two fake targets and a dispatcher of instance i0."""

    dispatcher: dispatcher_lib.Dispatcher
    states: target_states.TargetStates
    addresses: list[str]
    session: aiohttp.ClientSession
    candidates: list[ownership.Candidate]
    links: dict[str, FakeLink]

    async def behave(self, index: int, **behaviour: Any) -> None:
        url = f"http://{self.addresses[index]}/control/behaviour"
        async with self.session.put(url, json=behaviour) as reply:
            assert reply.status == 200

    async def counts(self, index: int) -> Any:
        url = f"http://{self.addresses[index]}/control/counts"
        async with self.session.get(url) as reply:
            return await reply.json()


def run(test: Callable[[Fixture], Awaitable[None]]) -> None:
    async def run_it() -> None:
        runners, addresses = [], []
        for index in range(2):
            app = fake_target.FakeTarget(f"s-t{index}", 3, 1).build()
            runner = aiohttp.web.AppRunner(
                app, shutdown_timeout=0.1, handler_cancellation=True
            )
            await runner.setup()
            address = test_links.free_address()
            host, _, port = address.partition(":")
            await aiohttp.web.TCPSite(runner, host, int(port)).start()
            runners.append(runner)
            addresses.append(address)
        states = target_states.TargetStates()
        candidates = [ownership.Candidate("i0", "r", "z")]
        links: dict[str, FakeLink] = {}
        dispatcher = dispatcher_lib.Dispatcher(
            "i0", lambda: tuple(candidates), links, states
        )
        dispatcher.apply(make_bundle(addresses))
        async with aiohttp.ClientSession() as session:
            fixture = Fixture(
                dispatcher, states, addresses, session, candidates, links
            )
            await test(fixture)
        await dispatcher.close()
        for runner in runners:
            await runner.cleanup()

    asyncio.run(run_it())


class TestOwnConnections:
    """Slots, connections and futures of one target."""

    def test_burst_keeps_slots_and_share(self) -> None:
        # Guards against more requests in flight than slots, and against more
        # connections than the share while cancelled lanes close.
        async def check(f: Fixture) -> None:
            futures = [f.dispatcher.submit(make_work(n)) for n in range(60)]
            await asyncio.wait(futures[:20])
            for future in futures[20:40]:
                future.cancel()
                await asyncio.sleep(0.001)
            results = await asyncio.gather(*futures[:20], *futures[40:])
            assert {r.status for r in results} == {work_lib.Status.REPLIED}
            counts = (await f.counts(0))["counts"]
            assert counts["busy_max"] <= 3
            assert counts["connections_max"] <= 6

        run(check)

    def test_cancelled_booking_runs_to_its_end(self) -> None:
        # Guards against a booking whose connection is cut under it.
        async def check(f: Fixture) -> None:
            await f.behave(0, service_time_ms=100.0)
            booking = f.dispatcher.submit(make_work(7, idempotent=False))
            while not (await f.counts(0))["runs"]:
                await asyncio.sleep(0.01)
            booking.cancel()
            await asyncio.sleep(0)
            assert f.dispatcher.in_flight == 1
            while f.dispatcher.in_flight:
                await asyncio.sleep(0.01)
            assert f.dispatcher.state()["s-t0"]["connections"] == 1

        run(check)

    def test_unreachable_target_is_proven_not_run(self) -> None:
        # Guards against bookings reported as unknown for a target that is down.
        async def check(f: Fixture) -> None:
            gone = test_links.free_address()
            f.dispatcher.apply(make_bundle([gone, f.addresses[1]], number=2))
            results = await asyncio.gather(
                *(
                    f.dispatcher.submit(make_work(n, idempotent=n % 2 == 0))
                    for n in range(8)
                )
            )
            assert {r.status for r in results} == {work_lib.Status.NOT_SENT}

        run(check)


class TestLeavingTarget:
    """A leaving target gets no new work."""

    def test_report_in_a_reply_stops_waiting_work(self) -> None:
        # Guards against work sent after the target has said that it drains.
        async def check(f: Fixture) -> None:
            await f.dispatcher.submit(make_work())
            await f.behave(0, state="draining", state_sequence=1)
            futures = [f.dispatcher.submit(make_work(n)) for n in range(20)]
            results = await asyncio.gather(*futures)
            assert f.states.is_leaving("s-t0")
            sent = [r for r in results if r.status == work_lib.Status.REPLIED]
            assert len(sent) <= 3
            left = await f.dispatcher.submit(make_work())
            assert left.status == work_lib.Status.LEAVING
            counts = (await f.counts(0))["counts"]
            assert counts["shard_requests"] == 1 + len(sent)

        run(check)


class TestBundleChange:
    """Targets come, change and go without cutting requests."""

    @pytest.mark.parametrize("change", ["remove", "fewer", "direct", "swap"])
    def test_requests_in_flight_end_and_limits_hold(self, change: str) -> None:
        # Guards against a bundle change that cuts requests or doubles the
        # connections of a target.
        async def check(f: Fixture) -> None:
            await f.dispatcher.submit(make_work())
            await f.behave(0, service_time_ms=50.0)
            futures = [f.dispatcher.submit(make_work(n)) for n in range(9)]
            while (await f.counts(0))["counts"]["shard_requests"] < 3:
                await asyncio.sleep(0.01)
            started = f.dispatcher.in_flight
            addresses, other = list(f.addresses), test_links.free_address()
            changes: dict[str, Any] = {"number": 2}
            if change == "remove":
                addresses[0] = other
            elif change == "fewer":
                changes["instance_count_max"] = 30
            elif change == "direct":
                changes["dispatch_mode"] = "direct"
            else:
                addresses.reverse()
            f.dispatcher.apply(make_bundle(addresses, **changes))
            if change != "remove":
                late = [f.dispatcher.submit(make_work(n)) for n in range(9)]
                futures.extend(late)
            results = await asyncio.gather(*futures)
            ended = [r for r in results if r.status == work_lib.Status.REPLIED]
            assert len(ended) >= started
            counts = (await f.counts(0))["counts"]
            assert counts["connections_max"] <= 6
            assert "shed" not in counts
            if change == "remove":
                assert {r.status for r in results if r not in ended} == {
                    work_lib.Status.LEAVING
                }
            if change in ("fewer", "direct"):
                await f.dispatcher.submit(make_work())
                assert f.dispatcher.state()["s-t0"]["limit"] == 1

        run(check)


class TestOwner:
    """Requests go through the owner, or directly if it is unreachable."""

    def _add_owner(self, f: Fixture) -> FakeLink:
        f.candidates[:] = [
            ownership.Candidate("i0", "r", "far"),
            ownership.Candidate("i1", "r", "z"),
        ]
        f.links["i1"] = FakeLink()
        return f.links["i1"]

    def test_members_change_moves_the_target(self) -> None:
        # Guards against a cached ranking that outlives the members.
        async def check(f: Fixture) -> None:
            assert f.dispatcher.owners("s-t0")[0] == "i0"
            link = self._add_owner(f)
            assert f.dispatcher.owners("s-t0")[0] == "i1"
            f.dispatcher.submit(make_work())
            assert len(link.futures) == 1
            f.candidates[:] = f.candidates[:1]
            assert f.dispatcher.owners("s-t0") == ["i0"]

        run(check)

    @pytest.mark.parametrize("cause", ["no link", "not ready", "direct"])
    def test_unreachable_owner_leads_to_own_connections(
        self, cause: str
    ) -> None:
        # Guards against requests that depend on an unreachable instance.
        async def check(f: Fixture) -> None:
            link = self._add_owner(f)
            if cause == "no link":
                f.links.clear()
            elif cause == "not ready":
                link.is_ready = False
            else:
                f.dispatcher.apply(
                    make_bundle(f.addresses, dispatch_mode="direct")
                )
            result = await f.dispatcher.submit(make_work())
            assert result.status == work_lib.Status.REPLIED
            assert not link.futures

        run(check)

    @pytest.mark.parametrize(
        ("status", "idempotent", "is_sent_again"),
        [
            (work_lib.Status.LOST, True, True),
            (work_lib.Status.LOST, False, False),
            (work_lib.Status.NOT_SENT, False, True),
        ],
    )
    def test_lost_stream_sends_again_only_what_is_safe(
        self, status: work_lib.Status, idempotent: bool, is_sent_again: bool
    ) -> None:
        # Guards against searches that lose shards with the owner, and against
        # a booking that runs twice.
        async def check(f: Fixture) -> None:
            link = self._add_owner(f)
            future = f.dispatcher.submit(make_work(idempotent=idempotent))
            link.futures[0].set_result(
                work_lib.Result(status, is_stream_lost=True)
            )
            result = await future
            replied = result.status == work_lib.Status.REPLIED
            assert replied == is_sent_again

        run(check)


class TestRankCache:
    """A search over many shards ranks each target once."""

    def test_ranking_is_computed_once_per_target(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against hashing every instance for each shard.
        calls = []
        rank = ownership.rank

        def count(*arguments: Any) -> Sequence[str]:
            calls.append(arguments)
            return rank(*arguments)

        monkeypatch.setattr(ownership, "rank", count)
        candidates = (ownership.Candidate("i0", "r", "z"),)
        cache = ownership.RankCache(lambda: candidates)
        for number in range(980):
            cache.rank(f"t{number % 3}", "r", "z")
        assert len(calls) == 3
