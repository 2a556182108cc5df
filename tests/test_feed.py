"""Tests of feeds between instances that share what one reads in the store."""

import asyncio

import feed_cluster

from lycheerock._internal.feed import ranking
from lycheerock._internal.feed import subscription as subscription_lib
from lycheerock_bench._internal import fake_platform


class TestFeed:
    """One instance watches the store for others."""

    def test_subscriber_learns_changes_without_calls(self) -> None:
        # Guards against every instance paying for the same watch.
        async def test(cluster: feed_cluster.Cluster) -> None:
            _, second = await cluster.add_pair()
            # A watch that was under way may still end.
            await asyncio.sleep(feed_cluster.WAIT_S + 0.5)
            before = cluster.calls("second")
            await cluster.platform.store("servers", "b", {"state": "ready"})
            await feed_cluster.wait_for(lambda: second.knows("servers", "b"))
            await cluster.platform.remove("servers", "a")
            await feed_cluster.wait_for(
                lambda: not second.knows("servers", "a")
            )
            await asyncio.sleep(2.0)
            assert second.is_fed()
            assert cluster.calls("second") == before

        feed_cluster.run(test)

    def test_end_of_the_publisher_leaves_no_gap(self) -> None:
        # Guards against a subscriber that goes on without news after its
        # publisher was killed.
        async def test(cluster: feed_cluster.Cluster) -> None:
            first, second = await cluster.add_pair()
            await first.stop()
            cluster.instances.remove(first)
            await cluster.platform.store("servers", "b", {"state": "ready"})
            took_s = await feed_cluster.wait_for(
                lambda: second.knows("servers", "b")
            )
            assert took_s < 1.0
            assert not second.is_fed()

        feed_cluster.run(test)

    def test_publisher_without_the_store_ends_its_feeds(self) -> None:
        # Guards against trust in a state that nobody confirms: the store
        # turns the publisher away and serves the subscriber.
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
        # Guards against a snapshot taken just after an outage, in which
        # entries that lapsed meanwhile are missing, that removes targets.
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
            await feed_cluster.wait_for(second.is_fed)
            assert ("servers", True) in second.listings

        feed_cluster.run(test)


class TestInstanceWithoutTheStore:
    """An instance that the store turns away asks any other."""

    def test_first_instance_takes_a_feed_of_a_later_one(self) -> None:
        # Pattern: the store turns some instances away and serves the others.
        # Guards against routes and targets of the time before.
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
            await feed_cluster.wait_for(first.is_fed)
            await cluster.platform.store("servers", "b", {"state": "ready"})
            await feed_cluster.wait_for(
                lambda: first.knows("servers", "b"), 1.0
            )

        feed_cluster.run(test)

    def test_instances_that_all_lost_it_do_not_feed_each_other(self) -> None:
        # Guards against instances that confirm an old state to each other.
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
            assert not first.is_fed()
            assert not second.is_fed()
            cluster.platform.set_faults(fake_platform.Faults())
            await cluster.platform.store("servers", "b", {"state": "ready"})
            await feed_cluster.wait_for(lambda: first.knows("servers", "b"))
            await feed_cluster.wait_for(lambda: second.knows("servers", "b"))

        feed_cluster.run(test)


class TestOrder:
    """Instances gather behind the first one that lives."""

    def test_subscriber_moves_to_an_earlier_instance(self) -> None:
        # Guards against as many publishers as there were partial lists while
        # all instances started.
        async def test(cluster: feed_cluster.Cluster) -> None:
            first = await cluster.add("first")
            _, third = await cluster.add_pair()
            assert third.subscription is not None
            third.subscription._candidates = (
                first.address,
                *third.subscription._candidates,
            )
            third.subscription._is_list_new = True
            await feed_cluster.wait_for(
                lambda: (
                    third.subscription is not None
                    and third.subscription.publisher == first.address
                )
            )

        feed_cluster.run(test)


class TestStartWithoutTheStore:
    """An instance that starts during an outage asks others."""

    def test_state_is_taken_from_a_seed(self) -> None:
        # Guards against an instance that refuses everything for the length of
        # an outage though others know routes and targets.
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
    """The first list may be old; what follows is not."""

    def test_watch_brings_a_stale_list_up_to_date(self) -> None:
        # Guards against a start with targets or routes of some seconds ago.
        async def test(cluster: feed_cluster.Cluster) -> None:
            cluster.platform.hold_stale_lists()
            await cluster.platform.store("servers", "b", {"state": "ready"})
            first = await cluster.add("first")
            await feed_cluster.wait_for(
                lambda: first.knows("servers", "b"), 1.0
            )

        feed_cluster.run(test)

    def test_lost_history_is_followed_by_a_fresh_list(self) -> None:
        # Guards against reading the same old list again and again while the
        # store knows no changes that lead on from it.
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
    """All instances agree on whom to ask."""

    def test_there_is_one_first_instance_and_no_cycle(self) -> None:
        # Guards against instances that feed each other and all wait.
        addresses = [f"10.0.0.{n}:7000" for n in range(40)]
        asked = {a: ranking.before(a, addresses) for a in addresses}
        counts = sorted(len(before) for before in asked.values())
        assert counts == list(range(40))
        for address, before in asked.items():
            assert all(address not in asked[other] for other in before)
