"""Which targets are leaving, as reported by themselves, peers or the list."""

from collections.abc import Callable
import dataclasses
import enum


class ServingState(enum.StrEnum):
    """Whether a target takes new work."""

    SERVING = "serving"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class TargetState:
    """A report on one target.

    Attributes:
      target_id: The target.
      epoch: Start of the target process; higher after a restart.
      sequence: Counts changes of state within an epoch.
      state: Whether the target takes new work.
    """

    target_id: str
    epoch: int
    sequence: int
    state: ServingState

    @property
    def order(self) -> tuple[int, int]:
        """Of two reports, the one with the higher order is newer."""
        return (self.epoch, self.sequence)


class TargetStates:
    """The newest report on each target."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self._listeners: list[Callable[[TargetState], None]] = []

    def subscribe(self, listener: Callable[[TargetState], None]) -> None:
        """Calls `listener` with each report that is newer than the last."""
        self._listeners.append(listener)

    def observe(self, report: TargetState) -> bool:
        """Takes a report.

        Args:
          report: The report.

        Returns:
          Whether it is newer than what was known.
        """
        known = self._states.get(report.target_id)
        if known is not None and report.order <= known.order:
            return False
        self._states[report.target_id] = report
        for listener in self._listeners:
            listener(report)
        return True

    def is_leaving(self, target_id: str) -> bool:
        """Tells whether the target must get no new work."""
        state = self._states.get(target_id)
        return state is not None and state.state == ServingState.DRAINING

    def find(self, target_id: str) -> TargetState | None:
        """Returns the newest report on a target, or None."""
        return self._states.get(target_id)

    def reports(self) -> tuple[TargetState, ...]:
        """Returns the newest report on each target."""
        return tuple(self._states.values())
