"""Tests of what travels with gossip: target reports and bounded updates."""

import random

from hypothesis import given
from hypothesis import strategies

from lycheerock._internal.dispatch import target_states
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import seed_discovery
from lycheerock._internal.membership import seeds as seeds_lib
from lycheerock._internal.membership import target_news
from lycheerock._internal.membership import updates

_Serving = target_states.ServingState

REPORTS = strategies.builds(
    target_states.TargetState,
    strategies.sampled_from(["t0", "t1"]),
    strategies.integers(1, 3),
    strategies.integers(0, 3),
    strategies.just(_Serving.DRAINING),
).map(
    # A target says one thing under one order.
    lambda r: target_states.TargetState(
        r.target_id,
        r.epoch,
        r.sequence,
        _Serving.DRAINING if r.sequence % 2 else _Serving.SERVING,
    )
)


class Node:
    """One instance's reports and what it sends along."""

    def __init__(self) -> None:
        self.states = target_states.TargetStates()
        self.announced = 0
        self.news = target_news.TargetNews(self.states, self._announce)

    def _announce(self) -> None:
        self.announced += 1

    def leaving(self) -> set[str]:
        return {t for t in ("t0", "t1") if self.states.is_draining(t)}


class TestTargetNews:
    """Every instance ends with the newest report on a leaving target."""

    @given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 2), REPORTS), max_size=10
        ),
        strategies.integers(0, 2**32),
    )
    def test_instances_agree(
        self, observed: list[tuple[int, target_states.TargetState]], seed: int
    ) -> None:
        # Guards against an older report that wins by its order of arrival, and
        # against an instance that is never told of a target's return.
        rng = random.Random(seed)
        nodes = [Node(), Node(), Node()]
        for number, report in observed:
            nodes[number].states.observe(report)
        for _ in range(60):
            sender, receiver = rng.sample(nodes, 2)
            receiver.news.receive(sender.news.take(3))
        newcomer = Node()
        newcomer.news.receive(nodes[0].news.all())
        newest: dict[str, target_states.TargetState] = {}
        for _, report in sorted(observed, key=lambda o: o[1].order):
            newest[report.target_id] = report
        expected = {
            r.target_id for r in newest.values() if r.state == _Serving.DRAINING
        }
        for node in (*nodes, newcomer):
            assert node.leaving() == expected

    def test_target_that_never_left_is_no_news(self) -> None:
        # Guards against gossip about each target at the first reply.
        node = Node()
        node.states.observe(
            target_states.TargetState("t0", 1, 0, _Serving.SERVING)
        )
        assert not node.news.take(3)
        assert not node.announced


class TestUpdateQueue:
    """Messages and repeats are bounded."""

    @given(strategies.integers(1, 500), strategies.integers(0, 500))
    def test_each_update_is_sent_a_bounded_number_of_times(
        self, member_count: int, update_count: int
    ) -> None:
        # Guards against a cost per instance that grows with the fleet.
        queue = updates.UpdateQueue[int]()
        for number in range(update_count):
            queue.push(str(number), number)
        sent = [0] * update_count
        while taken := queue.take(member_count):
            assert len(taken) <= updates.UPDATES_PER_MESSAGE_MAX
            for number in taken:
                sent[number] += 1
        repeats = updates.REPEATS_PER_DOUBLING * (member_count + 1).bit_length()
        assert set(sent) <= {repeats}


def build_member(instance_id: str) -> members_lib.Member:
    return members_lib.Member(
        instance_id, 1, members_lib.MemberState.ALIVE, instance_id, "r", "z"
    )


class TestMajority:
    """Whether most configured peers were heard."""

    @given(strategies.integers(1, 9), strategies.integers(0, 9))
    def test_more_than_half_is_needed(self, count: int, heard: int) -> None:
        # Guards against admission by an instance that reached a minority.
        names = [f"i{n}" for n in range(count)]
        directory = directory_lib.Directory(build_member("own"), names)
        for name in names[:heard]:
            directory.note_reached(name)
            directory.note_reached(name)
            directory.note_reached("not-configured")
        assert directory.reached_majority() == (min(heard, count) * 2 > count)


class TestSeeds:
    """Instances that gossip does not reach are contacted."""

    def test_listed_instance_that_is_unknown_is_contacted(self) -> None:
        # Guards against parts of a fleet that never meet again.
        directory = directory_lib.Directory(build_member("own"), ["i1"])
        seeds = seeds_lib.Seeds(directory, {"i1": "a1"}, random.Random(1))
        directory.note_reached("i1")
        directory.put(build_member("i1"))
        seeds.set_listed({"own": "a0", "i1": "a1", "i2": "a2"})
        assert seeds.due() == ["a2"]


class TestBackoff:
    """Reads of the platform's list back off."""

    @given(strategies.integers(1, 10_000), strategies.integers(0, 2**32))
    def test_pause_is_bounded(self, failures: int, seed: int) -> None:
        # Guards against an overflow in a long outage and against a pause that
        # outlasts the platform's return by minutes.
        pause_s = seed_discovery.backoff_s(failures, random.Random(seed))
        assert 0.0 <= pause_s <= seed_discovery.BACKOFF_MAX_S
