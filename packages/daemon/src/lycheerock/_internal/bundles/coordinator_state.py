"""State machine of the coordinator of one rollout; no sockets, no clock."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from lycheerock._internal.membership import members as members_lib


class Phase(enum.StrEnum):
    """Progress of one rollout under one epoch."""

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
      acknowledged: Whether it holds the bundle.
      token: Token that names the moment of the reply.
      problem: Why it did not acknowledge.
    """

    instance_id: str
    incarnation: int
    number: int
    epoch: int
    acknowledged: bool
    token: int
    problem: str


class CoordinatorState:
    """Acknowledgements of one `(number, epoch)`."""

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
        """Counts an acknowledgement; those of other epochs do not count."""
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
        # Once the write of the acceptance may be on its way, no new token may
        # come back as proof that the bundle is not accepted.
        if self.phase is Phase.STAGING:
            self._tokens[instance_id] = reply.token

    def on_epoch(self, epoch: int) -> None:
        """Ends the rollout if another coordinator has a higher epoch.

        A write of the acceptance that is on its way decides for itself.
        """
        if epoch > self.epoch and self.phase is Phase.STAGING:
            self.phase = Phase.SUPERSEDED

    def on_unreachable(self, instance_id: str, problem: str) -> None:
        """Notes why an instance did not reply."""
        self._problems[instance_id] = problem

    def token(self, instance_id: str) -> int:
        """Returns the token for the next Stage call to an instance."""
        return self._tokens.get(instance_id, 0)

    def blockers(self) -> dict[str, str]:
        """Returns why each instance blocks acceptance, by instance id."""
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
        """Starts the write of the acceptance if nobody blocks it."""
        if self.phase is not Phase.STAGING or self.blockers():
            return False
        if not self._required:
            return False
        self.phase = Phase.ACCEPTING
        return True

    def accept_was_not_sent(self) -> None:
        """Returns to staging; the write has certainly not taken effect."""
        if self.phase is Phase.ACCEPTING:
            self.phase = Phase.STAGING

    def finish(self, *, accepted: bool) -> None:
        """Ends the rollout under this epoch."""
        self.phase = Phase.ACCEPTED if accepted else Phase.SUPERSEDED


def choose_required(
    members: Iterable[members_lib.Member],
    listed: frozenset[str],
    listed_before: frozenset[str],
) -> dict[str, int]:
    """Chooses the instances that must acknowledge.

    Args:
      members: The member table, including the own instance.
      listed: Instances on the platform's list now.
      listed_before: Instances that were on it earlier in this rollout.

    Returns:
      Known incarnation by instance id; 0 if only the list names it. An instance
      that left the list counts as stopped unless membership sees it alive. One
      that has announced the end of its planned stop is stopped.
    """
    required = dict.fromkeys(listed, 0)
    for member in members:
        name = member.instance_id
        if member.state is members_lib.MemberState.LEFT:
            required.pop(name, None)
            continue
        if name in listed:
            required[name] = member.incarnation
            continue
        if member.state is members_lib.MemberState.DEAD:
            continue
        is_alive = member.state is members_lib.MemberState.ALIVE
        if is_alive or name not in listed_before:
            required[name] = member.incarnation
    return required
