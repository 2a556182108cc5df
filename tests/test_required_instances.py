"""Tests of required acknowledgements and of confirmation by peers."""

import asyncio
from typing import Any

from returns import result

from lycheerock._internal.bundles import confirmation
from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import gate
from lycheerock._internal.bundles import instance_state
from lycheerock._internal.bundles import peer_set
from lycheerock._internal.membership import members
from lycheerock_protocol import peer_pb2

State = members.MemberState


def member(name: str, incarnation: int, state: State) -> members.Member:
    return members.Member(name, incarnation, state, "127.0.0.1:1", "r", "z")


class TestChooseRequired:
    """An instance is required until it is known to have stopped."""

    def test_dead_but_listed_instance_is_required(self) -> None:
        # Guards against accepting a bundle while a partitioned instance still
        # serves requests under the previous one.
        required = coordinator_state.choose_required(
            [member("i1", 5, State.DEAD)], frozenset({"i1"}), frozenset()
        )
        assert required == {"i1": 5}

    def test_suspect_removed_from_the_list_is_not_required(self) -> None:
        # Guards against a removed instance that blocks acceptance forever, and
        # against ignoring a suspect instance that was never listed.
        suspect = [member("i1", 5, State.SUSPECT)]
        assert not coordinator_state.choose_required(
            suspect, frozenset(), frozenset({"i1"})
        )
        assert coordinator_state.choose_required(
            suspect, frozenset(), frozenset()
        )

    def test_instance_that_left_is_not_required(self) -> None:
        # Guards against a planned stop that blocks acceptance until the
        # platform updates its list.
        assert not coordinator_state.choose_required(
            [member("i1", 5, State.LEFT)], frozenset({"i1"}), frozenset()
        )

    def test_unlisted_alive_instance_is_required(self) -> None:
        # Guards against skipping a running instance because the platform's list
        # is outdated.
        required = coordinator_state.choose_required(
            [member("i1", 5, State.ALIVE)], frozenset(), frozenset({"i1"})
        )
        assert required == {"i1": 5}


class TestAcknowledgements:
    """An acknowledgement is valid for one incarnation and one epoch."""

    def test_restart_invalidates_an_acknowledgement(self) -> None:
        # Guards against counting the acknowledgement of a process that no
        # longer exists, or one given under an earlier epoch.
        state = coordinator_state.CoordinatorState(2, 7)
        state.set_required({"i1": 5})
        for epoch, incarnation, acknowledged in ((6, 5, True), (7, 5, True)):
            state.on_stage_result(
                coordinator_state.StageResult(
                    "i1", incarnation, 2, epoch, acknowledged, 1, ""
                )
            )
            assert bool(state.blockers()) is (epoch == 6)
        state.on_stage_result(
            coordinator_state.StageResult("i1", 6, 2, 7, False, 1, "new")
        )
        assert state.blockers() == {"i1": "new"}
        assert not state.begin_accept()

    def test_higher_epoch_ends_the_rollout(self) -> None:
        # Guards against a superseded coordinator that never stops, and against
        # one that gives up while its acceptance may be in flight.
        state = coordinator_state.CoordinatorState(2, 7)
        state.set_required({})
        state.on_epoch(7)
        assert state.phase is coordinator_state.Phase.STAGING
        state.on_epoch(8)
        assert state.phase is coordinator_state.Phase.SUPERSEDED
        state.phase = coordinator_state.Phase.ACCEPTING
        state.on_epoch(9)
        assert state.phase is coordinator_state.Phase.ACCEPTING


class FakePeerClient:
    """Fake of the peer client that returns fixed replies by address."""

    def __init__(self, replies: dict[str, peer_pb2.BundleStatusReply]):
        self._replies = replies

    async def status(self, address: str) -> Any:
        reply = self._replies.get(address)
        if reply is None:
            return result.Failure("no reply")
        return result.Success(reply)


class FakeUpdater:
    """Fake of the updater and its store, with bundle 1 in force."""

    def __init__(self) -> None:
        self.store = self
        self.gate = gate.AdmissionGate(1.0)
        self.state = instance_state.InstanceState()
        self.number = 1

    def now_s(self) -> float:
        return 1.5

    async def activate(self, number: int, addresses: list[str]) -> None:
        self.number = number


class FakePeerSet:
    """Fake of a peer set with three configured peers."""

    configured = tuple(
        peer_set.PeerAddress(name, name) for name in ("a", "b", "c")
    )

    def sample(self, count: int) -> list[str]:
        return [peer.address for peer in self.configured]


def confirm(**statuses: tuple[int, int, bool]) -> tuple[bool, int]:
    """Tries to confirm bundle 1 with the peers "a", "b" and "c".

    Args:
      statuses: For each peer that replies, its bundle number in force, the
        number of its pending rollout or 0, and whether it admits requests.

    Returns:
      Whether the gate opened, and the number in force afterwards.
    """
    replies = {
        name: peer_pb2.BundleStatusReply(
            instance_id=name,
            in_force=in_force,
            rollout_number=rollout,
            admitting=admitting,
        )
        for name, (in_force, rollout, admitting) in statuses.items()
    }
    updater: Any = FakeUpdater()
    peers: Any = FakePeerSet()
    peer_client: Any = FakePeerClient(replies)
    peer_confirmation = confirmation.PeerConfirmation(
        updater, peers, peer_client
    )
    return asyncio.run(peer_confirmation.try_confirm()), updater.number


class TestPeerConfirmation:
    """A peer confirms only a number that it knows to be accepted."""

    def test_replies_of_a_majority_are_needed(self) -> None:
        # Guards against a single stale peer that confirms an outdated bundle.
        assert confirm(a=(1, 0, True)) == (False, 1)
        assert confirm(a=(1, 0, True), b=(1, 0, True)) == (True, 1)

    def test_highest_number_in_force_is_activated(self) -> None:
        # Guards against admitting requests under an outdated number.
        assert confirm(a=(1, 0, True), b=(2, 0, True)) == (True, 2)

    def test_peer_in_an_open_rollout_confirms_nothing(self) -> None:
        # Guards against a confirmation by a peer that may have missed a recent
        # acceptance.
        assert confirm(a=(1, 2, True), b=(1, 2, True)) == (False, 1)

    def test_peer_that_does_not_admit_confirms_nothing(self) -> None:
        # Guards against instances that confirm each other's outdated bundle
        # after a freeze.
        assert confirm(a=(1, 0, False), b=(1, 0, False)) == (False, 1)
