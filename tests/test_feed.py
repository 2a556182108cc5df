"""Tests of feeds between instances that share what one reads in the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time

import aiohttp.test_utils
import aiohttp.web

from lycheerock._internal.discovery import following
from lycheerock._internal.feed import publisher as publisher_lib
from lycheerock._internal.feed import ranking
from lycheerock._internal.feed import subscription as subscription_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_bench._internal import fake_platform
from lycheerock_protocol import feed

KINDS = ("config", "servers")
# Longest wait of a watch of an instance without subscribers.
WAIT_S = 3.0


class Instance:
    """The parts of an instance that follow the store."""

    def __init__(self, name: str, store_port: int) -> None:
        self.name = name
        self.platform = client_lib.PlatformClient(
            f"127.0.0.1:{store_port}", name
        )
        self.listings: list[tuple[str, bool]] = []
        self.followers = {
            kind: following.Follower(
                self.platform, kind, WAIT_S, self._handlers(kind)
            )
            for kind in KINDS
        }
        self.publisher = publisher_lib.Publisher(self.followers, WAIT_S)
        app = aiohttp.web.Application()
        app.add_routes(self.publisher.routes())
        self.server = aiohttp.test_utils.TestServer(app)
        self.tasks: list[asyncio.Task[None]] = []
        self.subscription: subscription_lib.Subscription | None = None

    def _handlers(self, kind: str) -> following.Handlers:
        return following.Handlers(
            lambda _listing, was_lost: self.listings.append((kind, was_lost)),
            lambda _changes: None,
        )

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.port}"

    async def start(self) -> None:
        await self.server.start_server()
        self.tasks = [
            asyncio.create_task(f.run()) for f in self.followers.values()
        ]

    def subscribe(
        self, addresses: tuple[str, ...], seeds: tuple[str, ...] = ()
    ) -> None:
        self.subscription = subscription_lib.Subscription(
            self.followers,
            self.address,
            seeds,
            lambda: self.publisher.subscriber_count > 0,
        )
        # The order by hash is tested by itself; here the test sets it.
        self.subscription._candidates = addresses
        self.subscription._others = addresses
        self.subscription._are_candidates_known.set()
        self.tasks.append(asyncio.create_task(self.subscription.run()))

    def is_fed(self) -> bool:
        assert self.subscription is not None
        return self.subscription.publisher is not None

    def knows(self, kind: str, name: str) -> bool:
        return name in self.followers[kind].values

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.platform.close()
        await self.server.close()


class World:
    """A store and its instances."""

    def __init__(self) -> None:
        self.platform = fake_platform.FakePlatform(seed=1)
        self._server = aiohttp.test_utils.TestServer(self.platform.build())
        self.instances: list[Instance] = []

    async def open(self) -> None:
        await self._server.start_server()
        await self.platform.store("config", "main", {"version": 1})
        await self.platform.store("servers", "a", {"state": "ready"})

    async def close(self) -> None:
        for instance in self.instances:
            await instance.stop()
        await self.platform.forget_history()
        await self._server.close()

    async def add(self, name: str) -> Instance:
        assert self._server.port is not None
        instance = Instance(name, self._server.port)
        self.instances.append(instance)
        await instance.start()
        return instance

    async def add_pair(self) -> tuple[Instance, Instance]:
        """Returns a publisher and an instance that it feeds."""
        first, second = await self.add("publisher"), await self.add("second")
        await wait_for(lambda: first.knows("servers", "a"))
        second.subscribe((first.address,))
        await wait_for(second.is_fed)
        return first, second

    def calls(self, name: str) -> int:
        return sum(self.platform.client_counts(name).values())


async def wait_for(
    condition: Callable[[], bool], limit_s: float = 8.0
) -> float:
    """Returns how long it took."""
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() > start_s + limit_s:
            raise TimeoutError("the condition did not come true")
        await asyncio.sleep(0.01)
    return time.monotonic() - start_s


def run(test: Callable[[World], Awaitable[None]]) -> None:
    async def run_in_world() -> None:
        world = World()
        await world.open()
        try:
            await test(world)
        finally:
            await world.close()

    asyncio.run(run_in_world())


class TestFeed:
    """One instance watches the store for others."""

    def test_subscriber_learns_changes_without_calls(self) -> None:
        # Guards against every instance paying for the same watch.
        async def test(world: World) -> None:
            _, second = await world.add_pair()
            # A watch that was under way may still end.
            await asyncio.sleep(WAIT_S + 0.5)
            before = world.calls("second")
            await world.platform.store("servers", "b", {"state": "ready"})
            await wait_for(lambda: second.knows("servers", "b"))
            await world.platform.remove("servers", "a")
            await wait_for(lambda: not second.knows("servers", "a"))
            await asyncio.sleep(2.0)
            assert second.is_fed()
            assert world.calls("second") == before

        run(test)

    def test_end_of_the_publisher_leaves_no_gap(self) -> None:
        # Guards against a subscriber that goes on without news after its
        # publisher was killed.
        async def test(world: World) -> None:
            first, second = await world.add_pair()
            await first.stop()
            world.instances.remove(first)
            await world.platform.store("servers", "b", {"state": "ready"})
            took_s = await wait_for(lambda: second.knows("servers", "b"))
            assert took_s < 1.0
            assert not second.is_fed()

        run(test)

    def test_publisher_without_the_store_ends_its_feeds(self) -> None:
        # Guards against trust in a state that nobody confirms: the store
        # turns the publisher away and serves the subscriber.
        async def test(world: World) -> None:
            _, second = await world.add_pair()
            world.platform.set_faults(
                fake_platform.Faults(down=True, client="publisher")
            )
            await world.platform.store("servers", "b", {"state": "ready"})
            took_s = await wait_for(lambda: second.knows("servers", "b"))
            assert took_s < subscription_lib.SILENCE_MAX_S + 0.5

        run(test)

    def test_missing_entry_is_kept_after_an_outage_of_the_publisher(
        self,
    ) -> None:
        # Guards against a snapshot taken just after an outage, in which
        # entries that lapsed meanwhile are missing, that removes targets.
        async def test(world: World) -> None:
            first = await world.add("first")
            await wait_for(lambda: first.knows("servers", "a"))
            world.platform.set_faults(fake_platform.Faults(down=True))
            await wait_for(lambda: not first.followers["servers"].is_connected)
            world.platform.set_faults(fake_platform.Faults())
            await wait_for(
                lambda: all(f.is_connected for f in first.followers.values())
            )
            second = await world.add("second")
            await wait_for(lambda: second.knows("servers", "a"))
            second.listings.clear()
            second.subscribe((first.address,))
            await wait_for(second.is_fed)
            assert ("servers", True) in second.listings

        run(test)


class TestInstanceWithoutTheStore:
    """An instance that the store turns away asks any other."""

    def test_first_instance_takes_a_feed_of_a_later_one(self) -> None:
        # Pattern: the store turns some instances away and serves the others.
        # Guards against routes and targets of the time before.
        async def test(world: World) -> None:
            first, later = await world.add("first"), await world.add("later")
            first.subscribe(())
            assert first.subscription is not None
            first.subscription._others = (later.address,)
            await wait_for(lambda: first.knows("servers", "a"))
            world.platform.set_faults(
                fake_platform.Faults(down=True, client="first")
            )
            await wait_for(first.is_fed)
            await world.platform.store("servers", "b", {"state": "ready"})
            await wait_for(lambda: first.knows("servers", "b"), 1.0)

        run(test)

    def test_instances_that_all_lost_it_do_not_feed_each_other(self) -> None:
        # Guards against instances that confirm an old state to each other.
        async def test(world: World) -> None:
            first, second = await world.add("first"), await world.add("second")
            await wait_for(lambda: second.knows("servers", "a"))
            first.subscribe((second.address,))
            second.subscribe((first.address,))
            world.platform.set_faults(fake_platform.Faults(down=True))
            await asyncio.sleep(WAIT_S + 2.0)
            assert not first.is_fed()
            assert not second.is_fed()
            world.platform.set_faults(fake_platform.Faults())
            await world.platform.store("servers", "b", {"state": "ready"})
            await wait_for(lambda: first.knows("servers", "b"))
            await wait_for(lambda: second.knows("servers", "b"))

        run(test)


class TestOrder:
    """Instances gather behind the first one that lives."""

    def test_subscriber_moves_to_an_earlier_instance(self) -> None:
        # Guards against as many publishers as there were partial lists while
        # all instances started.
        async def test(world: World) -> None:
            first = await world.add("first")
            _, third = await world.add_pair()
            assert third.subscription is not None
            third.subscription._candidates = (
                first.address,
                *third.subscription._candidates,
            )
            third.subscription._is_list_new = True
            await wait_for(
                lambda: (
                    third.subscription is not None
                    and third.subscription.publisher == first.address
                )
            )

        run(test)


class TestSilentPublisher:
    """A publisher that no longer confirms is left."""

    def test_silence_ends_the_feed(self) -> None:
        # Guards against a frozen publisher whose connections stay open.
        async def test(world: World) -> None:
            second = await world.add("second")
            await wait_for(lambda: second.knows("servers", "a"))
            server = await _serve_scripted(
                [
                    feed.Message("config", 50, {"main": {"version": 1}}),
                    feed.Message("servers", 50, {"a": {"state": "ready"}}),
                ]
            )
            second.subscribe((f"127.0.0.1:{server.port}",))
            await wait_for(second.is_fed)
            took_s = await wait_for(lambda: not second.is_fed())
            assert took_s < subscription_lib.SILENCE_MAX_S + 0.3
            assert not second.followers["servers"].is_resting
            await server.close()

        run(test)

    def test_overlapping_and_old_messages_leave_the_newest_state(self) -> None:
        # Guards against an older change that undoes a newer one which this
        # instance has read itself while the feed was opened.
        async def test(world: World) -> None:
            second = await world.add("second")
            await wait_for(lambda: second.knows("servers", "a"))
            put_b = feed.Change("b", {"state": "ready"}, False)
            remove_b = feed.Change("b", None, True)
            server = await _serve_scripted(
                [
                    feed.Message("servers", 60, {"a": {}}),
                    feed.Message("servers", 62, None, (put_b, remove_b)),
                    feed.Message("servers", 61, None, (put_b,)),
                    feed.Message("config", 62, {"main": {"version": 1}}),
                ]
            )
            second.subscribe((f"127.0.0.1:{server.port}",))
            await wait_for(second.is_fed)
            assert not second.knows("servers", "b")
            assert second.followers["servers"].revision == 62
            await server.close()

        run(test)

    def test_snapshot_older_than_known_is_not_taken(self) -> None:
        # Guards against a configuration that reverts.
        async def test(world: World) -> None:
            second = await world.add("second")
            await wait_for(lambda: second.knows("servers", "a"))
            known = second.followers["servers"].revision
            server = await _serve_scripted(
                [
                    feed.Message("servers", 1, {}),
                    feed.Message("config", 1, {"main": {"version": 0}}),
                ]
            )
            second.subscribe((f"127.0.0.1:{server.port}",))
            await wait_for(second.is_fed)
            assert second.knows("servers", "a")
            assert second.followers["servers"].revision == known
            assert second.followers["config"].values["main"]["version"] == 1
            await server.close()

        run(test)


async def _serve_scripted(
    messages: list[feed.Message],
) -> aiohttp.test_utils.TestServer:
    """Starts a publisher that sends `messages` and is silent from then on."""

    async def serve(
        request: aiohttp.web.Request,
    ) -> aiohttp.web.WebSocketResponse:
        socket = aiohttp.web.WebSocketResponse()
        await socket.prepare(request)
        for message in messages:
            await socket.send_bytes(feed.encode(message))
        await socket.receive()
        return socket

    app = aiohttp.web.Application()
    app.router.add_get(feed.PATH, serve)
    server = aiohttp.test_utils.TestServer(app)
    await server.start_server()
    return server


class TestStartWithoutTheStore:
    """An instance that starts during an outage asks others."""

    def test_state_is_taken_from_a_seed(self) -> None:
        # Guards against an instance that refuses everything for the length of
        # an outage though others know routes and targets.
        async def test(world: World) -> None:
            first = await world.add("first")
            await wait_for(lambda: first.knows("servers", "a"))
            world.platform.set_faults(fake_platform.Faults(down=True))
            second = await world.add("second")
            second.subscribe((), ("127.0.0.1:1", first.address))
            await wait_for(lambda: second.knows("servers", "a"), 3.0)
            assert second.knows("config", "main")
            assert not second.followers["config"].is_connected
            await world.platform.store("servers", "b", {"state": "ready"})
            world.platform.set_faults(fake_platform.Faults())
            await wait_for(lambda: second.knows("servers", "b"))

        run(test)


class TestStaleList:
    """The first list may be old; what follows is not."""

    def test_watch_brings_a_stale_list_up_to_date(self) -> None:
        # Guards against a start with targets or routes of some seconds ago.
        async def test(world: World) -> None:
            world.platform.hold_stale_lists()
            await world.platform.store("servers", "b", {"state": "ready"})
            first = await world.add("first")
            await wait_for(lambda: first.knows("servers", "b"), 1.0)

        run(test)

    def test_lost_history_is_followed_by_a_fresh_list(self) -> None:
        # Guards against reading the same old list again and again while the
        # store knows no changes that lead on from it.
        async def test(world: World) -> None:
            world.platform.hold_stale_lists()
            await world.platform.store("servers", "b", {"state": "ready"})
            await world.platform.forget_history()
            first = await world.add("first")
            await wait_for(lambda: first.knows("servers", "b"), 1.0)

        run(test)


class TestRanking:
    """All instances agree on whom to ask."""

    def test_there_is_one_first_instance_and_no_cycle(self) -> None:
        # Guards against instances that feed each other and all wait.
        addresses = [f"10.0.0.{n}:7000" for n in range(40)]
        asked = {a: ranking.before(a, addresses) for a in addresses}
        counts = sorted(len(before) for before in asked.values())
        assert counts == list(range(40))
        for address, before in asked.items():
            assert all(address not in asked[other] for other in before)
