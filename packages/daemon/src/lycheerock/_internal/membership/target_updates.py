"""Selects the target reports to piggyback on gossip messages."""

from collections.abc import Callable
from collections.abc import Iterable

from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.membership import update_queue


class TargetUpdates:
    """Queues reports on targets that are draining or were draining before.

    A target that never drained needs no gossip, so the cost depends on the
    number of changes and not on the number of targets.
    """

    def __init__(
        self,
        states: target_states_lib.TargetStates,
        schedule_dissemination: Callable[[], None],
    ):
        self._states = states
        self._schedule_dissemination = schedule_dissemination
        self._reports: dict[str, target_states_lib.TargetState] = {}
        self._queue = update_queue.UpdateQueue[target_states_lib.TargetState]()
        states.subscribe(self._on_change)

    def _on_change(self, report: target_states_lib.TargetState) -> None:
        is_draining = report.state == target_states_lib.ServingState.DRAINING
        if is_draining or report.target_id in self._reports:
            self._push(report)

    def _push(self, report: target_states_lib.TargetState) -> None:
        self._reports[report.target_id] = report
        self._queue.push(report.target_id, report)
        self._schedule_dissemination()

    def merge(self, reports: Iterable[target_states_lib.TargetState]) -> None:
        """Merges the reports of a peer and resends newer ones."""
        for report in reports:
            if self._states.observe(report):
                continue
            known = self._states.find(report.target_id)
            # The peer holds an older report. Without an update it could keep
            # treating the target as draining after it returned to service.
            if known is not None and known.order > report.order:
                self._push(known)

    def take(
        self, member_count: int
    ) -> tuple[target_states_lib.TargetState, ...]:
        """Returns the reports for the next message."""
        return self._queue.take(member_count)

    def all(self) -> tuple[target_states_lib.TargetState, ...]:
        """Returns the reports that a joining instance needs."""
        return tuple(self._reports.values())
