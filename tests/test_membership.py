"""Tests of the membership state machine on a simulated clock and network."""

import hypothesis
from hypothesis import given
from hypothesis import strategies
import simulated_members

from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import swim_types
from lycheerock._internal.membership import table as table_lib

_State = members_lib.MemberState

IDS = ["i0", "i1", "i2", "i3", "i4"]
SEEDS = ["i0", "i1", "i2"]
# Longer than it takes to declare a death, to disseminate it and to complete a
# round of pulls.
CONVERGENCE_S = 120.0

STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "freeze",
                "resume",
                "kill",
                "restart",
                "restart_earlier_clock",
                "leave",
            ]
        ),
        strategies.sampled_from(IDS),
        strategies.sampled_from([0.1, 1.0, 3.0, 10.0, 70.0]),
    ),
    max_size=12,
)


def start_all(seed: int) -> simulated_members.Network:
    network = simulated_members.Network(seed)
    for number, instance_id in enumerate(IDS):
        network.start(instance_id, 1_000 + number, other_seeds(instance_id))
    network.run(5.0)
    return network


def other_seeds(instance_id: str) -> list[str]:
    return [name for name in SEEDS if name != instance_id]


def apply_step(
    network: simulated_members.Network, step: str, name: str
) -> None:
    member = network.members[name]
    if step == "freeze":
        network.freeze(name)
    elif step == "resume":
        network.resume(name)
    elif step == "kill":
        network.kill(name)
    elif step in ("restart", "restart_earlier_clock"):
        network.kill(name)
        now_ms = int(network.now_s * 1000)
        incarnation = 2_000 + now_ms if step == "restart" else 500
        network.start(name, incarnation, other_seeds(name))
    elif not member.is_killed and not member.is_frozen:
        state = member.swim.local_member.state
        event = (
            swim_types.LeaveStarted()
            if state == _State.ALIVE
            else swim_types.LeaveCompleted()
        )
        network.handle(member, event)


def converge(network: simulated_members.Network) -> None:
    network.faults = simulated_members.Faults()
    for name in IDS:
        network.resume(name)
    network.run(CONVERGENCE_S)


def running_member_views(
    network: simulated_members.Network,
) -> dict[str, set[tuple[str, int, str]]]:
    """Returns the members that each running member considers running."""
    return {
        name: {
            (entry.instance_id, entry.incarnation, entry.state)
            for entry in (
                member.directory.local_member,
                *member.directory.peers(),
            )
            if entry.is_running
        }
        for name, member in network.members.items()
        if is_running(member)
    }


def is_running(member: simulated_members.SimulatedMember) -> bool:
    return (
        not member.is_killed and member.swim.local_member.state != _State.LEFT
    )


class TestInterleavings:
    """Properties that hold under any sequence of faults and restarts."""

    @hypothesis.settings(max_examples=20)
    @given(
        strategies.integers(0, 2**32),
        STEPS,
        strategies.sampled_from([0.0, 0.1, 0.3]),
    )
    def test_views_converge_on_the_running_members(
        self, seed: int, steps: list[tuple[str, str, float]], ratio: float
    ) -> None:
        # Guards against views that still differ long after all faults ended,
        # for example because a running member is still considered dead or a
        # stopped one alive.
        network = start_all(seed)
        network.faults = simulated_members.Faults(ratio, ratio, ratio)
        for step, name, wait_s in steps:
            apply_step(network, step, name)
            network.run(wait_s)
        converge(network)
        local_members = [
            m.swim.local_member
            for m in network.members.values()
            if is_running(m)
        ]
        running = {
            (o.instance_id, o.incarnation, o.state) for o in local_members
        }
        for name, view in running_member_views(network).items():
            assert view == running, name

    @hypothesis.settings(max_examples=20)
    @given(
        strategies.integers(0, 2**32),
        STEPS,
        strategies.sampled_from([0.1, 0.3]),
    )
    def test_older_entries_never_replace_newer_ones(
        self, seed: int, steps: list[tuple[str, str, float]], ratio: float
    ) -> None:
        # Guards against delayed gossip that replaces a newer entry or restores
        # a removed one, and against a member that announces its shutdown but is
        # then marked as suspect or alive.
        network = start_all(seed)
        network.faults = simulated_members.Faults(ratio, ratio, ratio)
        for step, name, wait_s in steps:
            apply_step(network, step, name)
            network.run(wait_s)
        converge(network)
        for member in network.incarnations:
            check_history(member.history)


def check_history(history: list[members_lib.Member]) -> None:
    newest: dict[str, members_lib.Member] = {}
    leaving: set[tuple[str, int]] = set()
    for entry in history:
        known = newest.get(entry.instance_id)
        assert known is None or entry.incarnation >= known.incarnation
        assert known is None or entry.precedence > known.precedence
        newest[entry.instance_id] = entry
        key = (entry.instance_id, entry.incarnation)
        if entry.state in (_State.LEAVING, _State.LEFT):
            leaving.add(key)
        elif key in leaving:
            assert entry.state == _State.DEAD


class TestFreeze:
    """A process that resumes after a freeze does not declare its peers dead."""

    @hypothesis.settings(max_examples=15)
    @given(
        strategies.integers(0, 2**32),
        strategies.floats(0.6, 120.0),
        strategies.floats(0.0, 1.0),
    )
    def test_resumed_member_declares_no_peer_dead(
        self, seed: int, freeze_s: float, offset_s: float
    ) -> None:
        # Guards against declaring peers dead after a freeze because probes or
        # suspicions from before it have timed out.
        network = start_all(seed)
        network.faults = simulated_members.Faults(lost_ratio=0.2)
        network.run(2.0 + offset_s)
        network.faults = simulated_members.Faults()
        network.freeze("i3")
        network.run(freeze_s)
        resumed = network.members["i3"]
        seen_count = len(resumed.history)
        network.resume("i3")
        network.run(20.0)
        states = {entry.state for entry in resumed.history[seen_count:]}
        assert _State.DEAD not in states


class TestIncarnation:
    """A restarted instance replaces its earlier incarnation."""

    def test_one_message_replaces_the_earlier_incarnation(self) -> None:
        # Guards against ignoring a restarted instance until its earlier
        # incarnation has been declared dead.
        network = start_all(1)
        old = network.members["i0"].directory.find("i1")
        assert old is not None
        new = members_lib.Member(
            "i1", old.incarnation + 1, _State.ALIVE, "i1", "r", "z"
        )
        network.handle(network.members["i0"], swim_types.MessageReceived(new))
        assert network.members["i0"].directory.find("i1") == new

    def test_restart_with_earlier_clock_raises_the_incarnation(self) -> None:
        # The incarnation is the start time, so it decreases if the clock is set
        # back. Guards against peers that then ignore the restarted instance.
        network = start_all(2)
        network.kill("i4")
        member = network.start("i4", 5, other_seeds("i4"))
        network.run(5.0)
        assert member.swim.local_member.incarnation > 1_004
        found = network.members["i0"].directory.find("i4")
        assert found == member.swim.local_member


class TestTombstones:
    """Dead members are removed and do not reappear."""

    def test_stale_entry_is_not_restored(self) -> None:
        # Guards against delayed gossip that restores a dead member after its
        # entry was removed.
        table = table_lib.MemberTable()
        alive = members_lib.Member("i1", 7, _State.ALIVE, "a", "r", "z")
        dead = members_lib.Member("i1", 7, _State.DEAD, "a", "r", "z")
        table.put(alive, 0.0)
        table.put(dead, 1.0)
        assert table.prune_ended(1.0 + table_lib.ENDED_RETENTION_S) == ["i1"]
        assert not table.put(alive, 100.0)
        assert table.get("i1") is None
