"""Data classes for cluster members and their states."""

import dataclasses
import enum


class MemberState(enum.StrEnum):
    """Last known state of one incarnation of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    # Has announced a graceful shutdown and still answers.
    LEAVING = "leaving"
    # Declared dead by another instance because it did not answer.
    DEAD = "dead"
    # Has announced that its graceful shutdown is complete.
    LEFT = "left"


_STATE_RANKS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
    MemberState.LEFT: 4,
}

_RUNNING_STATES = frozenset(
    {MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING}
)


@dataclasses.dataclass(frozen=True)
class Member:
    """An entry about one incarnation of an instance.

    Attributes:
      instance_id: Name of the instance, which survives restarts.
      incarnation: Start time of the process in milliseconds since the epoch,
        raised above any earlier incarnation known to its peers.
      state: Last known state.
      peer_address: Address of its gRPC interface.
      region: Region of the instance.
      zone: Availability zone of the instance.
      refutation: Counter that the instance increments to override claims about
        it, such as a suspicion.
    """

    instance_id: str
    incarnation: int
    state: MemberState
    peer_address: str
    region: str
    zone: str
    refutation: int = 0

    @property
    def precedence(self) -> tuple[int, bool, int, int]:
        """Sort key of the entries of one instance: the highest is the newest.

        Precedence is a total order, so members that received the same entries
        agree whatever the order of arrival. Within an incarnation LEFT ranks
        above any refutation, since only the instance itself announces it: an
        incarnation that has left never returns.
        """
        return (
            self.incarnation,
            self.state == MemberState.LEFT,
            self.refutation,
            _STATE_RANKS[self.state],
        )

    @property
    def is_running(self) -> bool:
        """Whether the process is expected to answer."""
        return self.state in _RUNNING_STATES


@dataclasses.dataclass(frozen=True)
class BundleNumbers:
    """Bundle and rollout numbers included in each gossip message.

    Attributes:
      in_force: Number of the bundle in force.
      rollout_number: Number of the open rollout that the instance has
        acknowledged, or 0 if there is none.
      rollout_epoch: Epoch of that rollout.
    """

    in_force: int = 0
    rollout_number: int = 0
    rollout_epoch: int = 0
