"""State machine of one instance during rollouts, without I/O or a clock.

A coordinator accepts a bundle only after every required instance has
acknowledged it, so an instance that has not acknowledged knows that its bundle
is still the accepted one. An instance that has acknowledged may admit requests
only while it holds a lease, that is, recent proof that the new bundle was not
accepted yet (cf. Gray and Cheriton, "Leases", 1989). Leases are dated by the
clock of this instance: the coordinator returns a token that this instance
issued earlier, so a delayed message never extends a lease.
"""

import dataclasses
import enum

from lycheerock._internal.bundles import records

LEASE_DURATION_S = 3.0
TAKEOVER_DELAY_S = 3.0
TAKEOVER_RANK_DELAY_S = 1.0
# The delay doubles with each takeover, at most this many times. Otherwise, two
# instances that cannot reach each other would take over from each other every
# few seconds.
TAKEOVER_DOUBLINGS_MAX = 5


class StageOutcome(enum.Enum):
    """Outcome of a Stage call on the instance that received it."""

    SUPERSEDED = enum.auto()
    ALREADY_IN_FORCE = enum.auto()
    ALREADY_ACKNOWLEDGED = enum.auto()
    FETCH_REQUIRED = enum.auto()


class ReadOutcome(enum.Enum):
    """Outcome of a platform read, compared with the local state."""

    STALE = enum.auto()
    CURRENT = enum.auto()
    NEWER = enum.auto()


@dataclasses.dataclass(frozen=True)
class PendingRollout:
    """An open rollout that limits how long this instance may admit requests.

    Attributes:
      number: Number of the bundle that is being rolled out.
      epoch: Epoch of the rollout.
      acknowledged: Whether this instance has acknowledged it. An instance that
        has just started tracks the rollout before it acknowledges.
      lease_start_s: Start of the lease: the latest time at which the bundle was
        known not to be accepted.
    """

    number: int
    epoch: int
    acknowledged: bool
    lease_start_s: float


class InstanceState:
    """Tracks the bundle in force, the open rollout and the admission lease."""

    def __init__(self) -> None:
        self.in_force = 0
        self.epoch = 0
        self.staging = 0
        self.pending_rollout: PendingRollout | None = None
        self.version = 0
        self._takeover_count = 0
        self._coordinator_last_seen_s = 0.0
        # Highest number known to be accepted whose bundle is not in force here.
        self._missing_number = 0
        self._missing_since_s = 0.0

    def on_stage(
        self, number: int, epoch: int, token_s: float, now_s: float
    ) -> StageOutcome:
        """Handles a Stage call of a coordinator.

        Args:
          number: Number of the bundle that is being rolled out.
          epoch: Epoch of the coordinator.
          token_s: Monotonic time at which this instance issued the returned
            token; 0 if there is none.
          now_s: Monotonic time.

        Returns:
          The outcome. On FETCH_REQUIRED, the caller must fetch and check the
          bundle and then call `acknowledge`.
        """
        if number <= self.in_force:
            return StageOutcome.ALREADY_IN_FORCE
        if epoch < self.epoch:
            return StageOutcome.SUPERSEDED
        self._observe_epoch(epoch, number, now_s)
        self._coordinator_last_seen_s = now_s
        pending = self.pending_rollout
        if pending is None or pending.epoch < epoch or not pending.acknowledged:
            return StageOutcome.FETCH_REQUIRED
        if token_s <= now_s:
            self._renew_lease(token_s)
        return StageOutcome.ALREADY_ACKNOWLEDGED

    def acknowledge(
        self, number: int, epoch: int, in_force: int, now_s: float
    ) -> bool:
        """Records the acknowledgement of a rollout, just before it is sent.

        Args:
          number: Number of the bundle that was fetched and checked.
          epoch: Epoch of the coordinator.
          in_force: Accepted number according to the coordinator. This instance
            must have it in force already, since the pending rollout that is
            recorded here may replace the one of that number.
          now_s: Monotonic time.

        Returns:
          Whether the acknowledgement may be sent.
        """
        if number <= self.in_force:
            return True
        if epoch != self.epoch or in_force > self.in_force:
            return False
        if (
            self.pending_rollout is not None
            and self.pending_rollout.epoch == epoch
        ):
            now_s = max(now_s, self.pending_rollout.lease_start_s)
        self.pending_rollout = PendingRollout(number, epoch, True, now_s)
        return True

    def track_open_rollout(
        self, number: int, epoch: int, lease_start_s: float
    ) -> None:
        """Tracks an open rollout that was read while the gate was closed.

        Its coordinator may not know this instance yet and could accept the
        bundle without its acknowledgement.

        Args:
          number: Number of the bundle that is being rolled out.
          epoch: Epoch of the rollout.
          lease_start_s: Monotonic time at which the bundle was known not to be
            accepted.
        """
        if number <= self.in_force or epoch < self.epoch:
            return
        self._observe_epoch(epoch, number, lease_start_s)
        if self.pending_rollout is None or self.pending_rollout.epoch < epoch:
            self.pending_rollout = PendingRollout(
                number, epoch, False, lease_start_s
            )

    def activate(self, number: int) -> bool:
        """Sets the number in force if it is higher; returns whether it is."""
        if number <= self.in_force:
            return False
        self.in_force = number
        if (
            self.pending_rollout is not None
            and self.pending_rollout.number <= number
        ):
            self.pending_rollout = None
        return True

    def record_accepted(self, number: int, now_s: float) -> None:
        """Records an accepted number whose bundle is not in force here yet."""
        if number > self.in_force and number > self._missing_number:
            if self._missing_number <= self.in_force:
                self._missing_since_s = now_s
            self._missing_number = number

    def on_platform_read(
        self, version: int, rollout: records.Rollout, started_s: float
    ) -> ReadOutcome:
        """Handles a read of `rollout/current`.

        Args:
          version: Version of the object.
          rollout: Its value.
          started_s: Monotonic time at which the read started.

        Returns:
          STALE if the read is older than the local state, NEWER if the bundle
          `rollout.in_force` must be fetched, and CURRENT if the local number
          was the accepted one at `started_s`.
        """
        if (
            version < self.version
            or rollout.epoch < self.epoch
            or rollout.in_force < self.in_force
        ):
            return ReadOutcome.STALE
        self.version = version
        self._takeover_count = rollout.takeover_count
        self._observe_epoch(rollout.epoch, rollout.staging, started_s)
        if rollout.in_force > self.in_force:
            self.record_accepted(rollout.in_force, started_s)
            return ReadOutcome.NEWER
        self._update_pending_rollout(rollout.staging, rollout.epoch, started_s)
        return ReadOutcome.CURRENT

    def _update_pending_rollout(
        self, staging: int, epoch: int, started_s: float
    ) -> None:
        pending = self.pending_rollout
        if pending is None:
            return
        if staging <= self.in_force:
            self.pending_rollout = None
        elif epoch > pending.epoch:
            self.pending_rollout = PendingRollout(
                staging, epoch, False, started_s
            )
        else:
            self._renew_lease(started_s)

    def _renew_lease(self, lease_start_s: float) -> None:
        if (
            self.pending_rollout is not None
            and lease_start_s > self.pending_rollout.lease_start_s
        ):
            self.pending_rollout = dataclasses.replace(
                self.pending_rollout, lease_start_s=lease_start_s
            )

    def _observe_epoch(self, epoch: int, staging: int, now_s: float) -> None:
        if epoch > self.epoch:
            self._coordinator_last_seen_s = now_s
        if epoch >= self.epoch:
            self.epoch = epoch
            self.staging = staging

    def lease_age_s(self, now_s: float) -> float:
        """Returns the age of the lease; 0 if no rollout is pending."""
        if self.pending_rollout is None:
            return 0.0
        return max(0.0, now_s - self.pending_rollout.lease_start_s)

    def may_admit(self, now_s: float) -> bool:
        """Returns whether the state of rollouts permits admitting requests."""
        if self._missing_number > self.in_force:
            missing_age_s = now_s - self._missing_since_s
            if missing_age_s > LEASE_DURATION_S:
                return False
        return self.lease_age_s(now_s) <= LEASE_DURATION_S

    def takeover_due(self, now_s: float, rank: int) -> bool:
        """Returns whether to take over from an unresponsive coordinator.

        Args:
          now_s: Monotonic time.
          rank: Rank of this instance among the live ones; a lower rank takes
            over earlier.
        """
        if self.staging <= self.in_force:
            return False
        doublings = min(self._takeover_count, TAKEOVER_DOUBLINGS_MAX)
        delay_s = TAKEOVER_DELAY_S + rank * TAKEOVER_RANK_DELAY_S
        timeout_s: float = delay_s * 2**doublings
        return now_s - self._coordinator_last_seen_s > timeout_s
