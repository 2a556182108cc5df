"""Tests of the membership state machine on a fake clock and network."""

import hypothesis
from hypothesis import given
from hypothesis import strategies
import simulated_members

from lycheerock._internal.membership import events
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import table as table_lib

_State = members_lib.MemberState

IDS = ["i0", "i1", "i2", "i3", "i4"]
SEEDS = ["i0", "i1", "i2"]
# Longer than a death, its spread and one round of pulls take.
SETTLE_S = 120.0

STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["freeze", "resume", "kill", "restart", "clock_back", "leave"]
        ),
        strategies.sampled_from(IDS),
        strategies.sampled_from([0.1, 1.0, 3.0, 10.0, 70.0]),
    ),
    max_size=12,
)


def start_all(seed: int) -> simulated_members.Network:
    network = simulated_members.Network(seed)
    for number, instance_id in enumerate(IDS):
        network.start(instance_id, 1_000 + number, others(instance_id))
    network.run(5.0)
    return network


def others(instance_id: str) -> list[str]:
    return [name for name in SEEDS if name != instance_id]


def apply(network: simulated_members.Network, step: str, name: str) -> None:
    member = network.members[name]
    if step == "freeze":
        network.freeze(name)
    elif step == "resume":
        network.resume(name)
    elif step == "kill":
        network.end(name)
    elif step in ("restart", "clock_back"):
        network.end(name)
        now_ms = int(network.now_s * 1000)
        incarnation = 2_000 + now_ms if step == "restart" else 500
        network.start(name, incarnation, others(name))
    elif not member.is_ended and not member.is_frozen:
        state = member.swim.own.state
        event = events.Leave() if state == _State.ALIVE else events.Stop()
        network.handle(member, event)


def settle(network: simulated_members.Network) -> None:
    network.faults = simulated_members.Faults()
    for name in IDS:
        network.resume(name)
    network.run(SETTLE_S)


def running_views(
    network: simulated_members.Network,
) -> dict[str, set[tuple[str, int, str]]]:
    """Returns what each member that still runs holds as running."""
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
        if still_runs(member)
    }


def still_runs(member: simulated_members.SimulatedMember) -> bool:
    return not member.is_ended and member.swim.own.state != _State.LEFT


class TestInterleavings:
    """Properties that hold under any sequence of faults."""

    @hypothesis.settings(max_examples=20)
    @given(
        strategies.integers(0, 2**32),
        STEPS,
        strategies.sampled_from([0.0, 0.1, 0.3]),
    )
    def test_members_agree_on_what_runs(
        self, seed: int, steps: list[tuple[str, str, float]], ratio: float
    ) -> None:
        # Guards against a live and reachable member that stays dead, an ended
        # one that stays alive, and members that never agree.
        network = start_all(seed)
        network.faults = simulated_members.Faults(ratio, ratio, ratio)
        for step, name, pause_s in steps:
            apply(network, step, name)
            network.run(pause_s)
        settle(network)
        own = [m.swim.own for m in network.members.values() if still_runs(m)]
        running = {(o.instance_id, o.incarnation, o.state) for o in own}
        for name, view in running_views(network).items():
            assert view == running, name

    @hypothesis.settings(max_examples=20)
    @given(
        strategies.integers(0, 2**32),
        STEPS,
        strategies.sampled_from([0.1, 0.3]),
    )
    def test_histories_only_advance(
        self, seed: int, steps: list[tuple[str, str, float]], ratio: float
    ) -> None:
        # Guards against stale gossip that brings back a lower incarnation or a
        # forgotten member, and against suspicion of a member that has left.
        network = start_all(seed)
        network.faults = simulated_members.Faults(ratio, ratio, ratio)
        for step, name, pause_s in steps:
            apply(network, step, name)
            network.run(pause_s)
        settle(network)
        for member in network.all:
            check_history(member.history)


def check_history(history: list[members_lib.Member]) -> None:
    newest: dict[str, members_lib.Member] = {}
    leaving: set[tuple[str, int]] = set()
    for entry in history:
        known = newest.get(entry.instance_id)
        assert known is None or entry.incarnation >= known.incarnation
        assert known is None or entry.order > known.order
        newest[entry.instance_id] = entry
        key = (entry.instance_id, entry.incarnation)
        if entry.state in (_State.LEAVING, _State.LEFT):
            leaving.add(key)
        elif key in leaving:
            assert entry.state == _State.DEAD


class TestFreeze:
    """A process that was stopped does not judge its peers by what it missed."""

    @hypothesis.settings(max_examples=15)
    @given(
        strategies.integers(0, 2**32),
        strategies.floats(0.6, 120.0),
        strategies.floats(0.0, 1.0),
    )
    def test_woken_member_declares_nobody_dead(
        self, seed: int, stopped_s: float, offset_s: float
    ) -> None:
        # Guards against deaths that are declared from probes and suspicions of
        # the time before the freeze.
        network = start_all(seed)
        network.faults = simulated_members.Faults(lost=0.2)
        network.run(2.0 + offset_s)
        network.faults = simulated_members.Faults()
        network.freeze("i3")
        network.run(stopped_s)
        woken = network.members["i3"]
        seen = len(woken.history)
        network.resume("i3")
        network.run(20.0)
        states = {entry.state for entry in woken.history[seen:]}
        assert _State.DEAD not in states


class TestIncarnation:
    """A restart is a new incarnation."""

    def test_restart_is_known_after_one_message(self) -> None:
        # Guards against a restart that waits for the death of its predecessor.
        network = start_all(1)
        old = network.members["i0"].directory.find("i1")
        assert old is not None
        new = members_lib.Member(
            "i1", old.incarnation + 1, _State.ALIVE, "i1", "r", "z"
        )
        network.handle(network.members["i0"], events.Heard(new))
        assert network.members["i0"].directory.find("i1") == new

    def test_clock_that_went_back_is_overcome(self) -> None:
        # Guards against an instance that its peers ignore because its clock
        # names an earlier start than that of its predecessor.
        network = start_all(2)
        network.end("i4")
        member = network.start("i4", 5, others("i4"))
        network.run(5.0)
        assert member.swim.own.incarnation > 1_004
        found = network.members["i0"].directory.find("i4")
        assert found == member.swim.own


class TestForgetting:
    """Dead members are dropped and stay dropped."""

    def test_stale_entry_does_not_return(self) -> None:
        # Guards against gossip that was delayed until the death was forgotten.
        table = table_lib.MemberTable()
        alive = members_lib.Member("i1", 7, _State.ALIVE, "a", "r", "z")
        dead = members_lib.Member("i1", 7, _State.DEAD, "a", "r", "z")
        table.put(alive, 0.0)
        table.put(dead, 1.0)
        assert table.forget(1.0 + table_lib.FORGET_AFTER_S) == ["i1"]
        assert not table.put(alive, 100.0)
        assert table.get("i1") is None
