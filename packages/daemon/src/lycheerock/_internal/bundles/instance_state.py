"""State machine of one instance during rollouts; no sockets, no clock.

A coordinator accepts a bundle only after every required instance has
acknowledged it, so an instance that has not acknowledged knows that its bundle
is still the accepted one. An instance that has acknowledged needs recent proof
that acceptance has not happened. Such proof is dated by this instance's own
clock: the coordinator returns a token that this instance issued earlier (cf.
Gray and Cheriton, "Leases", 1989), so a delayed message never extends it.
"""

import dataclasses
import enum

from lycheerock._internal.bundles import records

CONTACT_LIMIT_S = 3.0
TAKEOVER_AFTER_S = 3.0
TAKEOVER_STEP_S = 1.0
# Two instances that cannot reach each other would otherwise take the
# coordination from each other every few seconds.
TAKEOVER_DOUBLINGS_MAX = 5


class StageVerdict(enum.Enum):
    """What an instance does with a Stage call."""

    SUPERSEDED = enum.auto()
    IN_FORCE = enum.auto()
    HELD = enum.auto()
    WANTED = enum.auto()


class ReadVerdict(enum.Enum):
    """What a read of the platform showed."""

    STALE = enum.auto()
    CURRENT = enum.auto()
    NEWER = enum.auto()


@dataclasses.dataclass(frozen=True)
class Binding:
    """An open rollout that this instance must not miss.

    Attributes:
      number: Number that is being rolled out.
      epoch: Epoch of the rollout.
      acknowledged: Whether this instance has acknowledged it; an instance that
        has just started is bound before it acknowledges.
      contact_s: Latest time at which the number was certainly not accepted.
    """

    number: int
    epoch: int
    acknowledged: bool
    contact_s: float


class InstanceState:
    """Number in force, open rollout and the right to admit requests."""

    def __init__(self) -> None:
        self.in_force = 0
        self.epoch = 0
        self.staging = 0
        self.binding: Binding | None = None
        self.version = 0
        self._takeover_count = 0
        self._heard_s = 0.0
        self._missing = 0
        self._missing_since_s = 0.0

    def on_stage(
        self, number: int, epoch: int, token_s: float, now_s: float
    ) -> StageVerdict:
        """Handles a Stage call of a coordinator.

        Args:
          number: Number that is rolled out.
          epoch: Epoch of the coordinator.
          token_s: Time at which this instance issued the returned token; 0 for
            none.
          now_s: Monotonic time.

        Returns:
          WANTED if the bundle must be fetched, checked and acknowledged.
        """
        if number <= self.in_force:
            return StageVerdict.IN_FORCE
        if epoch < self.epoch:
            return StageVerdict.SUPERSEDED
        self._see(epoch, number, now_s)
        self._heard_s = now_s
        binding = self.binding
        if binding is None or binding.epoch < epoch or not binding.acknowledged:
            return StageVerdict.WANTED
        if token_s <= now_s:
            self._renew(token_s)
        return StageVerdict.HELD

    def acknowledge(
        self, number: int, epoch: int, in_force: int, now_s: float
    ) -> bool:
        """Binds this instance to a rollout, just before it replies.

        Args:
          number: Number that was fetched and checked.
          epoch: Epoch of the coordinator that asked.
          in_force: Accepted number that the coordinator named. An instance that
            misses it must reach it first, since the new binding replaces the
            one to that number.
          now_s: Monotonic time.

        Returns:
          Whether the acknowledgement may be sent.
        """
        if number <= self.in_force:
            return True
        if epoch != self.epoch or in_force > self.in_force:
            return False
        if self.binding is not None and self.binding.epoch == epoch:
            now_s = max(now_s, self.binding.contact_s)
        self.binding = Binding(number, epoch, True, now_s)
        return True

    def bind(self, number: int, epoch: int, contact_s: float) -> None:
        """Binds an instance that learned of an open rollout when it started.

        Its coordinator may not know this instance yet and could accept without
        it.
        """
        if number <= self.in_force or epoch < self.epoch:
            return
        self._see(epoch, number, contact_s)
        if self.binding is None or self.binding.epoch < epoch:
            self.binding = Binding(number, epoch, False, contact_s)

    def activate(self, number: int) -> bool:
        """Moves to an accepted number; False if it is not higher."""
        if number <= self.in_force:
            return False
        self.in_force = number
        if self.binding is not None and self.binding.number <= number:
            self.binding = None
        return True

    def learn_accepted(self, number: int, now_s: float) -> None:
        """Notes an accepted number that this instance does not hold yet."""
        if number > self.in_force and number > self._missing:
            if self._missing <= self.in_force:
                self._missing_since_s = now_s
            self._missing = number

    def on_platform_read(
        self, version: int, rollout: records.Rollout, started_s: float
    ) -> ReadVerdict:
        """Handles a read of `rollout/current`.

        Args:
          version: Version of the object.
          rollout: Its value.
          started_s: Monotonic time at which the read started.

        Returns:
          STALE if it proves nothing, NEWER if `in_force` is to be fetched,
          otherwise CURRENT: the own number was accepted at `started_s`.
        """
        if (
            version < self.version
            or rollout.epoch < self.epoch
            or rollout.in_force < self.in_force
        ):
            return ReadVerdict.STALE
        self.version = version
        self._takeover_count = rollout.takeover_count
        self._see(rollout.epoch, rollout.staging, started_s)
        if rollout.in_force > self.in_force:
            self.learn_accepted(rollout.in_force, started_s)
            return ReadVerdict.NEWER
        self._rebind(rollout.staging, rollout.epoch, started_s)
        return ReadVerdict.CURRENT

    def _rebind(self, staging: int, epoch: int, started_s: float) -> None:
        binding = self.binding
        if binding is None:
            return
        if staging <= self.in_force:
            self.binding = None
        elif epoch > binding.epoch:
            self.binding = Binding(staging, epoch, False, started_s)
        else:
            self._renew(started_s)

    def _renew(self, contact_s: float) -> None:
        if self.binding is not None and contact_s > self.binding.contact_s:
            self.binding = dataclasses.replace(
                self.binding, contact_s=contact_s
            )

    def _see(self, epoch: int, staging: int, now_s: float) -> None:
        if epoch > self.epoch:
            self._heard_s = now_s
        if epoch >= self.epoch:
            self.epoch = epoch
            self.staging = staging

    def contact_age_s(self, now_s: float) -> float:
        """Returns the age of the latest proof; 0 when none is needed."""
        if self.binding is None:
            return 0.0
        return max(0.0, now_s - self.binding.contact_s)

    def may_admit(self, now_s: float) -> bool:
        """Whether the rollout lets this instance admit requests."""
        if self._missing > self.in_force:
            missing_age_s = now_s - self._missing_since_s
            if missing_age_s > CONTACT_LIMIT_S:
                return False
        return self.contact_age_s(now_s) <= CONTACT_LIMIT_S

    def takeover_due(self, now_s: float, rank: int) -> bool:
        """Whether this instance should replace a silent coordinator.

        Args:
          now_s: Monotonic time.
          rank: Position among the live instances; the first one tries first.
        """
        if self.staging <= self.in_force:
            return False
        doublings = min(self._takeover_count, TAKEOVER_DOUBLINGS_MAX)
        turn_s = TAKEOVER_AFTER_S + rank * TAKEOVER_STEP_S
        limit_s: float = turn_s * 2**doublings
        return now_s - self._heard_s > limit_s
