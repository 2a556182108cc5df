"""Tests of who must acknowledge, and of who may confirm a bundle."""

import asyncio
from typing import Any

from returns import result

from lycheerock._internal.bundles import confirmation
from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import gate
from lycheerock._internal.bundles import instance_state
from lycheerock._internal.bundles import network
from lycheerock._internal.membership import members
from lycheerock_protocol import peer_pb2

State = members.MemberState


def member(name: str, incarnation: int, state: State) -> members.Member:
    return members.Member(name, incarnation, state, "127.0.0.1:1", "r", "z")


class TestChooseRequired:
    """Only a confirmed stop releases an instance."""

    def test_dead_but_listed_instance_is_required(self) -> None:
        # Guards against accepting while a partitioned instance serves.
        required = coordinator_state.choose_required(
            [member("i1", 5, State.DEAD)], frozenset({"i1"}), frozenset()
        )
        assert required == {"i1": 5}

    def test_suspect_that_left_the_list_is_not_required(self) -> None:
        # Guards against a removed instance that blocks forever.
        suspect = [member("i1", 5, State.SUSPECT)]
        assert not coordinator_state.choose_required(
            suspect, frozenset(), frozenset({"i1"})
        )
        assert coordinator_state.choose_required(
            suspect, frozenset(), frozenset()
        )

    def test_instance_that_left_is_not_required(self) -> None:
        # Guards against a planned stop that blocks until the list follows.
        assert not coordinator_state.choose_required(
            [member("i1", 5, State.LEFT)], frozenset({"i1"}), frozenset()
        )

    def test_alive_instance_off_the_list_is_required(self) -> None:
        # Guards against trusting a list that lags.
        required = coordinator_state.choose_required(
            [member("i1", 5, State.ALIVE)], frozenset(), frozenset({"i1"})
        )
        assert required == {"i1": 5}


class TestAcknowledgements:
    """An acknowledgement counts for one incarnation and one epoch."""

    def test_restart_voids_it(self) -> None:
        # Guards against counting a process that no longer exists.
        state = coordinator_state.CoordinatorState(2, 7)
        state.set_required({"i1": 5})
        for epoch, incarnation, is_held in ((6, 5, True), (7, 5, True)):
            state.on_stage_result(
                coordinator_state.StageResult(
                    "i1", incarnation, 2, epoch, is_held, 1, ""
                )
            )
            assert bool(state.blockers()) is (epoch == 6)
        state.on_stage_result(
            coordinator_state.StageResult("i1", 6, 2, 7, False, 1, "new")
        )
        assert state.blockers() == {"i1": "new"}
        assert not state.begin_accept()

    def test_higher_epoch_ends_the_rollout(self) -> None:
        # Guards against a replaced coordinator that asks for ever, and against
        # one that forgets that its acceptance may be on its way.
        state = coordinator_state.CoordinatorState(2, 7)
        state.set_required({})
        state.on_epoch(7)
        assert state.phase is coordinator_state.Phase.STAGING
        state.on_epoch(8)
        assert state.phase is coordinator_state.Phase.SUPERSEDED
        state.phase = coordinator_state.Phase.ACCEPTING
        state.on_epoch(9)
        assert state.phase is coordinator_state.Phase.ACCEPTING


class FakeCalls:
    """Peers that answer with fixed numbers."""

    def __init__(self, replies: dict[str, peer_pb2.BundleStatusReply]):
        self._replies = replies

    async def status(self, address: str) -> Any:
        reply = self._replies.get(address)
        if reply is None:
            return result.Failure("no reply")
        return result.Success(reply)


class FakeLearner:
    """An instance with bundle 1."""

    def __init__(self) -> None:
        self.store = self
        self.gate = gate.AdmissionGate(1.0)
        self.state = instance_state.InstanceState()
        self.number = 1

    def now_s(self) -> float:
        return 1.5

    async def activate(self, number: int, addresses: list[str]) -> None:
        self.number = number


class FakeNetwork:
    """Three configured peers."""

    configured = tuple(
        network.PeerAddress(name, name) for name in ("a", "b", "c")
    )

    def sample(self, count: int) -> list[str]:
        return [peer.address for peer in self.configured]


def confirm(**numbers: tuple[int, int, bool]) -> tuple[bool, int]:
    """Returns whether the gate opens and the number in force then.

    Each peer has a number in force, an open rollout and admits or not.
    """
    replies = {
        name: peer_pb2.BundleStatusReply(
            instance_id=name,
            in_force=in_force,
            rollout_number=rollout,
            admitting=admitting,
        )
        for name, (in_force, rollout, admitting) in numbers.items()
    }
    learner: Any = FakeLearner()
    peers: Any = FakeNetwork()
    calls: Any = FakeCalls(replies)
    asked = confirmation.PeerConfirmation(learner, peers, calls)
    return asyncio.run(asked.ask()), learner.number


class TestPeerConfirmation:
    """A peer confirms only what it knows to be the accepted number."""

    def test_majority_is_needed(self) -> None:
        # Guards against one stale peer that brings back an old bundle.
        assert confirm(a=(1, 0, True)) == (False, 1)
        assert confirm(a=(1, 0, True), b=(1, 0, True)) == (True, 1)

    def test_highest_number_wins(self) -> None:
        # Guards against admitting under a number that a peer has replaced.
        assert confirm(a=(1, 0, True), b=(2, 0, True)) == (True, 2)

    def test_peer_in_an_open_rollout_confirms_nothing(self) -> None:
        # Guards against a confirmation by a peer that may have missed an
        # acceptance in the last seconds.
        assert confirm(a=(1, 2, True), b=(1, 2, True)) == (False, 1)

    def test_peer_that_does_not_admit_confirms_nothing(self) -> None:
        # Guards against two instances that confirm each other after a freeze.
        assert confirm(a=(1, 0, False), b=(1, 0, False)) == (False, 1)
