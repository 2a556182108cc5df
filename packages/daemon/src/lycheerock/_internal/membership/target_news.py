"""Chooses which reports on targets travel with gossip."""

from collections.abc import Callable
from collections.abc import Iterable

from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.membership import updates


class TargetNews:
    """Reports on targets that are leaving or were leaving.

    A target that never left needs no gossip, so that the cost depends on the
    changes and not on the number of targets.
    """

    def __init__(
        self,
        states: target_states_lib.TargetStates,
        announce: Callable[[], None],
    ):
        self._states = states
        self._announce = announce
        self._known: dict[str, target_states_lib.TargetState] = {}
        self._updates = updates.UpdateQueue[target_states_lib.TargetState]()
        states.subscribe(self._on_change)

    def _on_change(self, report: target_states_lib.TargetState) -> None:
        is_draining = report.state == target_states_lib.ServingState.DRAINING
        if is_draining or report.target_id in self._known:
            self._push(report)

    def _push(self, report: target_states_lib.TargetState) -> None:
        self._known[report.target_id] = report
        self._updates.push(report.target_id, report)
        self._announce()

    def receive(self, reports: Iterable[target_states_lib.TargetState]) -> None:
        """Takes reports of a peer."""
        for report in reports:
            if self._states.observe(report):
                continue
            known = self._states.find(report.target_id)
            # A peer that holds an older report sends the target no work and
            # would not learn of its return.
            if known is not None and known.order > report.order:
                self._push(known)

    def take(
        self, member_count: int
    ) -> tuple[target_states_lib.TargetState, ...]:
        """Returns the reports of the next message."""
        return self._updates.take(member_count)

    def all(self) -> tuple[target_states_lib.TargetState, ...]:
        """Returns the reports that a newcomer needs."""
        return tuple(self._known.values())
