"""State machine of the coordinator of one rollout, without I/O or a clock.

A rollout starts with a new epoch and gets another one with each change of its
coordinator.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from lycheerock._internal.membership import members as members_lib


class Phase(enum.StrEnum):
    """Phase of one rollout under one epoch."""

    STAGING = "staging"
    ACCEPTING = "accepting"
    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"


@dataclasses.dataclass(frozen=True)
class StageResult:
    """Reply of an instance to a Stage call.

    Attributes:
      instance_id: Instance that replied.
      incarnation: Its incarnation.
      number: Number that it was asked to stage.
      epoch: Epoch of the call.
      acknowledged: Whether it acknowledged the bundle.
      token: Token that the instance issued with the reply, to be returned in
        the next Stage call.
      problem: Why it did not acknowledge, or empty.
    """

    instance_id: str
    incarnation: int
    number: int
    epoch: int
    acknowledged: bool
    token: int
    problem: str


class CoordinatorState:
    """Tracks the acknowledgements and phase of a rollout under one epoch."""

    def __init__(self, number: int, epoch: int):
        self.number = number
        self.epoch = epoch
        self.phase = Phase.STAGING
        self._required: dict[str, int] = {}
        self._acknowledged: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._tokens: dict[str, int] = {}
        self._problems: dict[str, str] = {}

    def set_required(self, required: Mapping[str, int]) -> None:
        """Replaces the required instances.

        Args:
          required: Known incarnation by instance id; 0 if unknown.
        """
        self._required = dict(required)

    def on_stage_result(self, reply: StageResult) -> None:
        """Records a reply; ignores other epochs and earlier incarnations."""
        if (reply.number, reply.epoch) != (self.number, self.epoch):
            return
        instance_id = reply.instance_id
        newest = self._incarnations.get(instance_id, 0)
        if reply.incarnation < newest:
            return
        self._incarnations[instance_id] = reply.incarnation
        if reply.acknowledged:
            self._acknowledged[instance_id] = reply.incarnation
            self._problems.pop(instance_id, None)
        else:
            self._problems[instance_id] = reply.problem
        # A returned token proves that the bundle was not accepted when the
        # token was issued. Once the acceptance may have been written, newer
        # tokens prove nothing, so they are not kept.
        if self.phase is Phase.STAGING:
            self._tokens[instance_id] = reply.token

    def on_epoch(self, epoch: int) -> None:
        """Ends the rollout if another coordinator has a higher epoch.

        Once the write of the acceptance has begun, its outcome decides instead.
        """
        if epoch > self.epoch and self.phase is Phase.STAGING:
            self.phase = Phase.SUPERSEDED

    def on_unreachable(self, instance_id: str, problem: str) -> None:
        """Records why an instance did not reply."""
        self._problems[instance_id] = problem

    def token(self, instance_id: str) -> int:
        """Returns the token to send in the next Stage call to an instance."""
        return self._tokens.get(instance_id, 0)

    def blockers(self) -> dict[str, str]:
        """Returns the instances that block acceptance, each with the reason."""
        return {
            instance_id: self._problems.get(instance_id, "no reply yet")
            for instance_id, incarnation in self._required.items()
            if not self._has_acknowledged(instance_id, incarnation)
        }

    def _has_acknowledged(self, instance_id: str, incarnation: int) -> bool:
        acknowledged = self._acknowledged.get(instance_id)
        newest = self._incarnations.get(instance_id, 0)
        return acknowledged is not None and acknowledged >= max(
            incarnation, newest
        )

    def begin_accept(self) -> bool:
        """Enters the accepting phase once all required instances acknowledged.

        Returns:
          Whether the acceptance is to be written now; False as long as no
          instance is known to be required.
        """
        if self.phase is not Phase.STAGING or self.blockers():
            return False
        if not self._required:
            return False
        self.phase = Phase.ACCEPTING
        return True

    def on_accept_not_sent(self) -> None:
        """Returns to staging after a write that certainly had no effect."""
        if self.phase is Phase.ACCEPTING:
            self.phase = Phase.STAGING

    def finish(self, *, accepted: bool) -> None:
        """Ends the rollout under this epoch as accepted or superseded."""
        self.phase = Phase.ACCEPTED if accepted else Phase.SUPERSEDED


def choose_required(
    members: Iterable[members_lib.Member],
    listed: frozenset[str],
    listed_before: frozenset[str],
) -> dict[str, int]:
    """Chooses the instances that must acknowledge before acceptance.

    Args:
      members: All known members, including this instance.
      listed: Ids of the instances that the platform lists now.
      listed_before: Ids of the instances that it listed earlier during this
        rollout.

    Returns:
      Known incarnation by instance id; 0 if only the platform's list names the
      instance. An instance removed from the list counts as stopped unless
      membership considers it alive; one that was never listed is required
      unless membership considers it dead. An instance in the LEFT state has
      stopped, even if it is still listed.
    """
    required = dict.fromkeys(listed, 0)
    for member in members:
        instance_id = member.instance_id
        if member.state is members_lib.MemberState.LEFT:
            required.pop(instance_id, None)
            continue
        if instance_id in listed:
            required[instance_id] = member.incarnation
            continue
        if member.state is members_lib.MemberState.DEAD:
            continue
        is_alive = member.state is members_lib.MemberState.ALIVE
        if is_alive or instance_id not in listed_before:
            required[instance_id] = member.incarnation
    return required
