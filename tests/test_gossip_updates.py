"""Tests of gossip updates, the directory and the seeds."""

import random

from hypothesis import given
from hypothesis import strategies

from lycheerock._internal.dispatch import target_states
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import seed_discovery
from lycheerock._internal.membership import seeds as seeds_lib
from lycheerock._internal.membership import target_updates
from lycheerock._internal.membership import update_queue

_Serving = target_states.ServingState

REPORTS = strategies.builds(
    target_states.TargetState,
    strategies.sampled_from(["t0", "t1"]),
    strategies.integers(1, 3),
    strategies.integers(0, 3),
    strategies.just(_Serving.DRAINING),
).map(
    # A target never sends two different states with the same epoch and
    # sequence.
    lambda r: target_states.TargetState(
        r.target_id,
        r.epoch,
        r.sequence,
        _Serving.DRAINING if r.sequence % 2 else _Serving.SERVING,
    )
)


class Node:
    """The target reports of one instance and its updates to send."""

    def __init__(self) -> None:
        self.states = target_states.TargetStates()
        self.scheduled_count = 0
        self.updates = target_updates.TargetUpdates(
            self.states, self._schedule_dissemination
        )

    def _schedule_dissemination(self) -> None:
        self.scheduled_count += 1

    def draining(self) -> set[str]:
        return {t for t in ("t0", "t1") if self.states.is_draining(t)}


class TestTargetUpdates:
    """All instances learn the newest report on each target that has drained."""

    @given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 2), REPORTS), max_size=10
        ),
        strategies.integers(0, 2**32),
    )
    def test_instances_agree_on_draining_targets(
        self, observed: list[tuple[int, target_states.TargetState]], seed: int
    ) -> None:
        # Guards against an older report that replaces a newer one because it
        # arrives later, and against an instance that never learns that a target
        # is serving again.
        rng = random.Random(seed)
        nodes = [Node(), Node(), Node()]
        for number, report in observed:
            nodes[number].states.observe(report)
        for _ in range(60):
            sender, receiver = rng.sample(nodes, 2)
            receiver.updates.merge(sender.updates.take(3))
        joining_node = Node()
        joining_node.updates.merge(nodes[0].updates.all())
        newest: dict[str, target_states.TargetState] = {}
        for _, report in sorted(observed, key=lambda o: o[1].order):
            newest[report.target_id] = report
        expected = {
            r.target_id for r in newest.values() if r.state == _Serving.DRAINING
        }
        for node in (*nodes, joining_node):
            assert node.draining() == expected

    def test_target_that_never_drained_is_not_sent(self) -> None:
        # Guards against gossip traffic that grows with the number of targets,
        # although none of them drains.
        node = Node()
        node.states.observe(
            target_states.TargetState("t0", 1, 0, _Serving.SERVING)
        )
        assert not node.updates.take(3)
        assert not node.scheduled_count


class TestUpdateQueue:
    """Message sizes and transmission counts are bounded."""

    @given(strategies.integers(1, 500), strategies.integers(0, 500))
    def test_each_update_is_sent_a_bounded_number_of_times(
        self, member_count: int, update_count: int
    ) -> None:
        # Guards against gossip traffic per instance that grows in proportion to
        # the number of instances.
        queue = update_queue.UpdateQueue[int]()
        for number in range(update_count):
            queue.push(str(number), number)
        sent = [0] * update_count
        while taken := queue.take(member_count):
            assert len(taken) <= update_queue.UPDATES_PER_MESSAGE_MAX
            for number in taken:
                sent[number] += 1
        transmissions = (
            update_queue.TRANSMISSIONS_PER_DOUBLING
            * (member_count + 1).bit_length()
        )
        assert set(sent) <= {transmissions}


def build_member(instance_id: str) -> members_lib.Member:
    return members_lib.Member(
        instance_id, 1, members_lib.MemberState.ALIVE, instance_id, "r", "z"
    )


class TestReachedMajority:
    """A majority counts as reached only above half of the configured peers."""

    @given(strategies.integers(1, 9), strategies.integers(0, 9))
    def test_majority_is_more_than_half(self, count: int, reached: int) -> None:
        # Guards against an instance that has reached only a minority and no
        # longer contacts all of the other configured peers.
        names = [f"i{n}" for n in range(count)]
        directory = directory_lib.Directory(build_member("own"), names)
        for name in names[:reached]:
            directory.mark_reached(name)
            directory.mark_reached(name)
            directory.mark_reached("not-configured")
        assert directory.reached_majority() == (min(reached, count) * 2 > count)


class TestSeeds:
    """Instances that are not known to be running are contacted as seeds."""

    def test_unknown_listed_instance_is_contacted(self) -> None:
        # Guards against two sides of a partition that never rejoin because each
        # has removed the members of the other.
        directory = directory_lib.Directory(build_member("own"), ["i1"])
        seeds = seeds_lib.Seeds(directory, {"i1": "a1"}, random.Random(1))
        directory.mark_reached("i1")
        directory.put(build_member("i1"))
        seeds.set_listed({"own": "a0", "i1": "a1", "i2": "a2"})
        assert seeds.choose_addresses() == ["a2"]


class TestBackoff:
    """The backoff after failed reads of the platform's list is limited."""

    @given(strategies.integers(1, 10_000), strategies.integers(0, 2**32))
    def test_backoff_never_exceeds_its_maximum(
        self, failures: int, seed: int
    ) -> None:
        # Guards against an arithmetic overflow after many failures, and against
        # a backoff that goes on for minutes after the end of an outage.
        delay_s = seed_discovery.backoff_s(failures, random.Random(seed))
        assert 0.0 <= delay_s <= seed_discovery.BACKOFF_MAX_S
