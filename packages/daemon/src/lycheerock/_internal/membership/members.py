"""Data classes of the member table."""

import dataclasses
import enum


class MemberState(enum.StrEnum):
    """What is known of one incarnation of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    # It has announced a planned stop and still answers.
    LEAVING = "leaving"
    # Other instances found that it does not answer.
    DEAD = "dead"
    # It has ended its planned stop and said so itself.
    LEFT = "left"


_RANKS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
    MemberState.LEFT: 4,
}

_RUNNING = frozenset(
    {MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING}
)


@dataclasses.dataclass(frozen=True)
class Member:
    """One incarnation of an instance.

    Attributes:
      instance_id: Name of the instance, kept over restarts.
      incarnation: Start of the process in milliseconds since the epoch, raised
        above any earlier incarnation that its peers know.
      state: What is known of it.
      peer_address: Address of its gRPC interface.
      region: Region of the instance.
      zone: Availability zone of the instance.
      refutation: Raised by the instance to refute a suspicion of it.
    """

    instance_id: str
    incarnation: int
    state: MemberState
    peer_address: str
    region: str
    zone: str
    refutation: int = 0

    @property
    def order(self) -> tuple[int, bool, int, int]:
        """Of two entries on an instance, the one of higher order is newer.

        The order is total, so that members that received the same entries in
        any sequence agree. An incarnation that has left never returns, since
        only the instance itself says so.
        """
        return (
            self.incarnation,
            self.state == MemberState.LEFT,
            self.refutation,
            _RANKS[self.state],
        )

    @property
    def is_running(self) -> bool:
        """Whether the process is expected to answer."""
        return self.state in _RUNNING


@dataclasses.dataclass(frozen=True)
class BundleNumbers:
    """Numbers of the bundle life cycle that travel with gossip.

    Attributes:
      in_force: Number of the bundle in force.
      rollout_number: Highest rollout that was acknowledged, 0 if none is open.
      rollout_epoch: Epoch of that rollout.
    """

    in_force: int = 0
    rollout_number: int = 0
    rollout_epoch: int = 0
