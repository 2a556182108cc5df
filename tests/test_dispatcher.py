"""Tests the dispatcher with real connections to fake targets."""

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
) -> work_lib.TargetRequest:
    body = {
        "shard": "s0",
        "shard_map_version": 1,
        "index_version": 0,
        "attempt_id": f"a{number}",
        "request_key": f"k{number}",
        "query": "q",
    }
    return work_lib.TargetRequest(
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
    """Fake peer link; the test resolves the future of each request."""

    def __init__(self) -> None:
        self.is_ready = True
        self.futures: list[asyncio.Future[work_lib.TargetResult]] = []

    def submit(
        self, work: work_lib.TargetRequest
    ) -> asyncio.Future[work_lib.TargetResult]:
        self.futures.append(asyncio.get_running_loop().create_future())
        return self.futures[-1]


@dataclasses.dataclass
class DispatcherHarness:
    """A dispatcher of instance i0 and two fake targets."""

    dispatcher: dispatcher_lib.Dispatcher
    states: target_states.TargetStates
    addresses: list[str]
    session: aiohttp.ClientSession
    candidates: list[ownership.Candidate]
    links: dict[str, FakeLink]

    async def set_behaviour(self, index: int, **behaviour: Any) -> None:
        url = f"http://{self.addresses[index]}/control/behaviour"
        async with self.session.put(url, json=behaviour) as reply:
            assert reply.status == 200

    async def counts(self, index: int) -> Any:
        url = f"http://{self.addresses[index]}/control/counts"
        async with self.session.get(url) as reply:
            return await reply.json()


def run(test: Callable[[DispatcherHarness], Awaitable[None]]) -> None:
    async def run_test() -> None:
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
            harness = DispatcherHarness(
                dispatcher, states, addresses, session, candidates, links
            )
            await test(harness)
        await dispatcher.close()
        for runner in runners:
            await runner.cleanup()

    asyncio.run(run_test())


class TestDirectSend:
    """Requests sent directly stay within the limits of their target."""

    def test_burst_stays_within_slots_and_connection_share(self) -> None:
        # Guards against exceeding the connection share after cancellations: the
        # connection of a cancelled request counts until it is closed.
        async def check(harness: DispatcherHarness) -> None:
            futures = [
                harness.dispatcher.submit(make_work(n)) for n in range(60)
            ]
            await asyncio.wait(futures[:20])
            for future in futures[20:40]:
                future.cancel()
                await asyncio.sleep(0.001)
            results = await asyncio.gather(*futures[:20], *futures[40:])
            assert {r.status for r in results} == {work_lib.Status.REPLIED}
            counts = (await harness.counts(0))["counts"]
            assert counts["busy_max"] <= 3
            assert counts["connections_max"] <= 6

        run(check)

    def test_cancelled_booking_completes(self) -> None:
        # Guards against closing the connection of a booking that the target is
        # running because its future is cancelled.
        async def check(harness: DispatcherHarness) -> None:
            await harness.set_behaviour(0, service_time_ms=100.0)
            booking = harness.dispatcher.submit(make_work(7, idempotent=False))
            while not (await harness.counts(0))["runs"]:
                await asyncio.sleep(0.01)
            booking.cancel()
            await asyncio.sleep(0)
            assert harness.dispatcher.in_flight == 1
            while harness.dispatcher.in_flight:
                await asyncio.sleep(0.01)
            assert harness.dispatcher.state()["s-t0"]["connections"] == 1

        run(check)

    def test_unreachable_target_is_reported_not_sent(self) -> None:
        # Guards against reporting that a booking may have run although its
        # target could not be reached.
        async def check(harness: DispatcherHarness) -> None:
            unused_address = test_links.free_address()
            harness.dispatcher.apply(
                make_bundle([unused_address, harness.addresses[1]], number=2)
            )
            results = await asyncio.gather(
                *(
                    harness.dispatcher.submit(
                        make_work(n, idempotent=n % 2 == 0)
                    )
                    for n in range(8)
                )
            )
            assert {r.status for r in results} == {work_lib.Status.NOT_SENT}

        run(check)


class TestDrainingTarget:
    """A draining target gets no new requests."""

    def test_draining_report_in_reply_stops_queued_requests(self) -> None:
        # Guards against sending queued requests after a reply has reported the
        # target as draining.
        async def check(harness: DispatcherHarness) -> None:
            await harness.dispatcher.submit(make_work())
            await harness.set_behaviour(0, state="draining", state_sequence=1)
            futures = [
                harness.dispatcher.submit(make_work(n)) for n in range(20)
            ]
            results = await asyncio.gather(*futures)
            assert harness.states.is_draining("s-t0")
            sent = [r for r in results if r.status == work_lib.Status.REPLIED]
            assert len(sent) <= 3
            refused = await harness.dispatcher.submit(make_work())
            assert refused.status == work_lib.Status.LEAVING
            counts = (await harness.counts(0))["counts"]
            assert counts["shard_requests"] == 1 + len(sent)

        run(check)


class TestBundleChange:
    """Bundle changes do not abort requests in flight."""

    @pytest.mark.parametrize("change", ["remove", "fewer", "direct", "swap"])
    def test_requests_in_flight_complete_within_limits(
        self, change: str
    ) -> None:
        # Guards against a bundle change that aborts requests in flight, or that
        # creates a second pool and so doubles the connections to the target.
        async def check(harness: DispatcherHarness) -> None:
            await harness.dispatcher.submit(make_work())
            await harness.set_behaviour(0, service_time_ms=50.0)
            futures = [
                harness.dispatcher.submit(make_work(n)) for n in range(9)
            ]
            while (await harness.counts(0))["counts"]["shard_requests"] < 3:
                await asyncio.sleep(0.01)
            started = harness.dispatcher.in_flight
            addresses, other = (
                list(harness.addresses),
                test_links.free_address(),
            )
            changes: dict[str, Any] = {"number": 2}
            if change == "remove":
                addresses[0] = other
            elif change == "fewer":
                changes["instance_count_max"] = 30
            elif change == "direct":
                changes["dispatch_mode"] = "direct"
            else:
                addresses.reverse()
            harness.dispatcher.apply(make_bundle(addresses, **changes))
            if change != "remove":
                later = [
                    harness.dispatcher.submit(make_work(n)) for n in range(9)
                ]
                futures.extend(later)
            results = await asyncio.gather(*futures)
            replied = [
                r for r in results if r.status == work_lib.Status.REPLIED
            ]
            assert len(replied) >= started
            counts = (await harness.counts(0))["counts"]
            assert counts["connections_max"] <= 6
            assert "shed" not in counts
            if change == "remove":
                assert {r.status for r in results if r not in replied} == {
                    work_lib.Status.LEAVING
                }
            if change in ("fewer", "direct"):
                await harness.dispatcher.submit(make_work())
                assert harness.dispatcher.state()["s-t0"]["limit"] == 1

        run(check)


class TestOwner:
    """Requests go through the owner, or directly if it is unreachable."""

    def _add_owner(self, harness: DispatcherHarness) -> FakeLink:
        harness.candidates[:] = [
            ownership.Candidate("i0", "r", "far"),
            ownership.Candidate("i1", "r", "z"),
        ]
        harness.links["i1"] = FakeLink()
        return harness.links["i1"]

    def test_membership_change_changes_the_owner(self) -> None:
        # Guards against a cached ranking that is used after the candidates have
        # changed.
        async def check(harness: DispatcherHarness) -> None:
            assert harness.dispatcher.owners("s-t0")[0] == "i0"
            link = self._add_owner(harness)
            assert harness.dispatcher.owners("s-t0")[0] == "i1"
            harness.dispatcher.submit(make_work())
            assert len(link.futures) == 1
            harness.candidates[:] = harness.candidates[:1]
            assert harness.dispatcher.owners("s-t0") == ["i0"]

        run(check)

    @pytest.mark.parametrize("cause", ["no link", "not ready", "direct"])
    def test_unreachable_owner_falls_back_to_direct_send(
        self, cause: str
    ) -> None:
        # Guards against requests that fail because the owner of their target is
        # unreachable.
        async def check(harness: DispatcherHarness) -> None:
            link = self._add_owner(harness)
            if cause == "no link":
                harness.links.clear()
            elif cause == "not ready":
                link.is_ready = False
            else:
                harness.dispatcher.apply(
                    make_bundle(harness.addresses, dispatch_mode="direct")
                )
            result = await harness.dispatcher.submit(make_work())
            assert result.status == work_lib.Status.REPLIED
            assert not link.futures

        run(check)

    @pytest.mark.parametrize(
        ("status", "idempotent", "is_retried"),
        [
            (work_lib.Status.LOST, True, True),
            (work_lib.Status.LOST, False, False),
            (work_lib.Status.NOT_SENT, False, True),
        ],
    )
    def test_lost_stream_retries_only_safe_requests(
        self, status: work_lib.Status, idempotent: bool, is_retried: bool
    ) -> None:
        # Guards against a search that loses shards when the owner fails, and
        # against a booking that runs twice.
        async def check(harness: DispatcherHarness) -> None:
            link = self._add_owner(harness)
            future = harness.dispatcher.submit(make_work(idempotent=idempotent))
            link.futures[0].set_result(
                work_lib.TargetResult(status, is_stream_lost=True)
            )
            result = await future
            replied = result.status == work_lib.Status.REPLIED
            assert replied == is_retried

        run(check)


class TestRankCache:
    """Rankings are cached per target."""

    def test_ranking_is_computed_once_per_target(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a search over many shards that hashes every instance
        # for each shard.
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
