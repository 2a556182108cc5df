"""Tests of feeds, by which one instance relays the store's state to others."""

import asyncio

import feed_cluster

from lycheerock._internal.feed import ranking
from lycheerock._internal.feed import subscription as subscription_lib
from lycheerock_bench._internal import fake_platform


class TestFeed:
    """Instances that subscribe to the feed of a publisher."""

    def test_subscriber_learns_changes_without_calls(self) -> None:
        # Guards against every instance being billed for the same watch.
        async def test(cluster: feed_cluster.Cluster) -> None:
            _, second = await cluster.add_pair()
            # A watch that was in progress may still end.
            await asyncio.sleep(feed_cluster.WAIT_S + 0.5)
            before = cluster.calls("second")
            await cluster.platform.store("servers", "b", {"state": "ready"})
            await feed_cluster.wait_for(lambda: second.knows("servers", "b"))
            await cluster.platform.remove("servers", "a")
            await feed_cluster.wait_for(
                lambda: not second.knows("servers", "a")
            )
            await asyncio.sleep(2.0)
            assert second.is_subscribed()
            assert cluster.calls("second") == before

        feed_cluster.run(test)

    def test_end_of_the_publisher_leaves_no_gap(self) -> None:
        # Guards against a subscriber that misses changes after its publisher
        # was killed.
        async def test(cluster: feed_cluster.Cluster) -> None:
            first, second = await cluster.add_pair()
            await first.stop()
            cluster.instances.remove(first)
            await cluster.platform.store("servers", "b", {"state": "ready"})
            took_s = await feed_cluster.wait_for(
                lambda: second.knows("servers", "b")
            )
            assert took_s < 1.0
            assert not second.is_subscribed()

        feed_cluster.run(test)

    def test_publisher_without_the_store_ends_its_feeds(self) -> None:
        # Guards against subscribers that rely on an unconfirmed state: the
        # store rejects the publisher but serves the subscriber.
        async def test(cluster: feed_cluster.Cluster) -> None:
            _, second = await cluster.add_pair()
            cluster.platform.set_faults(
                fake_platform.Faults(down=True, client="publisher")
            )
            await cluster.platform.store("servers", "b", {"state": "ready"})
            took_s = await feed_cluster.wait_for(
                lambda: second.knows("servers", "b")
            )
            assert took_s < subscription_lib.SILENCE_MAX_S + 0.5

        feed_cluster.run(test)

    def test_missing_entry_is_kept_after_an_outage_of_the_publisher(
        self,
    ) -> None:
        # Guards against targets that are removed by a snapshot from just after
        # an outage, which lacks the entries that expired in the meantime.
        async def test(cluster: feed_cluster.Cluster) -> None:
            first = await cluster.add("first")
            await feed_cluster.wait_for(lambda: first.knows("servers", "a"))
            cluster.platform.set_faults(fake_platform.Faults(down=True))
            await feed_cluster.wait_for(
                lambda: not first.followers["servers"].is_connected
            )
            cluster.platform.set_faults(fake_platform.Faults())
            await feed_cluster.wait_for(
                lambda: all(f.is_connected for f in first.followers.values())
            )
            second = await cluster.add("second")
            await feed_cluster.wait_for(lambda: second.knows("servers", "a"))
            second.listings.clear()
            second.subscribe((first.address,))
            await feed_cluster.wait_for(second.is_subscribed)
            assert ("servers", True) in second.listings

        feed_cluster.run(test)


class TestInstanceWithoutTheStore:
    """An instance that the store rejects subscribes to any other one."""

    def test_first_instance_subscribes_to_a_later_one(self) -> None:
        # The store rejects some instances and serves the others. Guards against
        # outdated routes and targets.
        async def test(cluster: feed_cluster.Cluster) -> None:
            first, later = (
                await cluster.add("first"),
                await cluster.add("later"),
            )
            first.subscribe(())
            assert first.subscription is not None
            first.subscription._others = (later.address,)
            await feed_cluster.wait_for(lambda: first.knows("servers", "a"))
            cluster.platform.set_faults(
                fake_platform.Faults(down=True, client="first")
            )
            await feed_cluster.wait_for(first.is_subscribed)
            await cluster.platform.store("servers", "b", {"state": "ready"})
            await feed_cluster.wait_for(
                lambda: first.knows("servers", "b"), 1.0
            )

        feed_cluster.run(test)

    def test_instances_that_all_lost_it_serve_no_feeds(self) -> None:
        # Guards against instances that confirm an outdated state to each other.
        async def test(cluster: feed_cluster.Cluster) -> None:
            first, second = (
                await cluster.add("first"),
                await cluster.add("second"),
            )
            await feed_cluster.wait_for(lambda: second.knows("servers", "a"))
            first.subscribe((second.address,))
            second.subscribe((first.address,))
            cluster.platform.set_faults(fake_platform.Faults(down=True))
            await asyncio.sleep(feed_cluster.WAIT_S + 2.0)
            assert not first.is_subscribed()
            assert not second.is_subscribed()
            cluster.platform.set_faults(fake_platform.Faults())
            await cluster.platform.store("servers", "b", {"state": "ready"})
            await feed_cluster.wait_for(lambda: first.knows("servers", "b"))
            await feed_cluster.wait_for(lambda: second.knows("servers", "b"))

        feed_cluster.run(test)


class TestOrder:
    """Instances converge on the first running one as their publisher."""

    def test_subscriber_moves_to_an_earlier_instance(self) -> None:
        # Guards against too many publishers after instances have started
        # together, each with a partial list of the others.
        async def test(cluster: feed_cluster.Cluster) -> None:
            first = await cluster.add("first")
            _, third = await cluster.add_pair()
            assert third.subscription is not None
            third.subscription._candidates = (
                first.address,
                *third.subscription._candidates,
            )
            third.subscription._have_candidates_changed = True
            await feed_cluster.wait_for(
                lambda: (
                    third.subscription is not None
                    and third.subscription.publisher == first.address
                )
            )

        feed_cluster.run(test)


class TestStartWithoutTheStore:
    """An instance that starts during an outage fetches the state of others."""

    def test_state_is_fetched_from_a_seed(self) -> None:
        # Guards against an instance that refuses all requests during an outage
        # although other instances know the routes and targets.
        async def test(cluster: feed_cluster.Cluster) -> None:
            first = await cluster.add("first")
            await feed_cluster.wait_for(lambda: first.knows("servers", "a"))
            cluster.platform.set_faults(fake_platform.Faults(down=True))
            second = await cluster.add("second")
            second.subscribe((), ("127.0.0.1:1", first.address))
            await feed_cluster.wait_for(
                lambda: second.knows("servers", "a"), 3.0
            )
            assert second.knows("config", "main")
            assert not second.followers["config"].is_connected
            await cluster.platform.store("servers", "b", {"state": "ready"})
            cluster.platform.set_faults(fake_platform.Faults())
            await feed_cluster.wait_for(lambda: second.knows("servers", "b"))

        feed_cluster.run(test)


class TestStaleList:
    """The initial listing may be stale; later updates are current."""

    def test_watch_brings_a_stale_list_up_to_date(self) -> None:
        # Guards against an instance that keeps targets or routes from a few
        # seconds before its start.
        async def test(cluster: feed_cluster.Cluster) -> None:
            cluster.platform.hold_stale_lists()
            await cluster.platform.store("servers", "b", {"state": "ready"})
            first = await cluster.add("first")
            await feed_cluster.wait_for(
                lambda: first.knows("servers", "b"), 1.0
            )

        feed_cluster.run(test)

    def test_lost_history_is_followed_by_a_fresh_list(self) -> None:
        # Guards against reading the same stale list repeatedly while the store
        # no longer has the changes after its revision.
        async def test(cluster: feed_cluster.Cluster) -> None:
            cluster.platform.hold_stale_lists()
            await cluster.platform.store("servers", "b", {"state": "ready"})
            await cluster.platform.forget_history()
            first = await cluster.add("first")
            await feed_cluster.wait_for(
                lambda: first.knows("servers", "b"), 1.0
            )

        feed_cluster.run(test)


class TestRanking:
    """All instances use the same order of publishers."""

    def test_there_is_one_first_instance_and_no_cycle(self) -> None:
        # Guards against instances that subscribe to each other, none of which
        # watches the store.
        addresses = [f"10.0.0.{n}:7000" for n in range(40)]
        ranked = {a: ranking.predecessors(a, addresses) for a in addresses}
        counts = sorted(len(predecessors) for predecessors in ranked.values())
        assert counts == list(range(40))
        for address, predecessors in ranked.items():
            assert all(address not in ranked[other] for other in predecessors)
