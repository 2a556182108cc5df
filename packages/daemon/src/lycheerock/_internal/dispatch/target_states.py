"""Latest known serving state of each target."""

from collections.abc import Callable
import dataclasses
import enum


class ServingState(enum.StrEnum):
    """Whether a target accepts new requests."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class TargetState:
    """A report of the serving state of one target.

    Attributes:
      target_id: The target.
      epoch: Identifies a run of the target process; higher after a restart.
      sequence: Counts changes of state within an epoch.
      state: Whether the target accepts new requests.
    """

    target_id: str
    epoch: int
    sequence: int
    state: ServingState

    @property
    def order(self) -> tuple[int, int]:
        """Sort key among reports on one target; higher means newer."""
        return (self.epoch, self.sequence)


class TargetStates:
    """Stores the newest report on each target."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self._listeners: list[Callable[[TargetState], None]] = []

    def subscribe(self, listener: Callable[[TargetState], None]) -> None:
        """Registers a listener that is called with each newer report."""
        self._listeners.append(listener)

    def observe(self, report: TargetState) -> bool:
        """Records a report unless it is outdated.

        Args:
          report: The report.

        Returns:
          Whether it is newer than the stored report.
        """
        known = self._states.get(report.target_id)
        if known is not None and report.order <= known.order:
            return False
        self._states[report.target_id] = report
        for listener in self._listeners:
            listener(report)
        return True

    def is_draining(self, target_id: str) -> bool:
        """Returns whether the target must not get new requests."""
        state = self._states.get(target_id)
        return state is not None and state.state == ServingState.DRAINING

    def find(self, target_id: str) -> TargetState | None:
        """Returns the newest report on a target, or None."""
        return self._states.get(target_id)

    def reports(self) -> tuple[TargetState, ...]:
        """Returns the newest report on each target."""
        return tuple(self._states.values())
