"""An operator's mark that a target is leaving."""

from lycheerock._internal.dispatch import target_states as target_states_lib

# Above every sequence that a target reaches by its own changes of state, and
# within the 64-bit field of the inner protocol.
OPERATOR_SEQUENCE = 2**62


def mark_leaving(
    states: target_states_lib.TargetStates, target_id: str, now_ms: int
) -> bool:
    """Marks a target as leaving until it is started again.

    The mark outranks every report of the target process that runs now, because
    a target that does not know of the operator's decision keeps reporting that
    it serves. A process that starts later has a higher epoch and ends the mark.
    An instance that has no report on the target yet does not know its epoch;
    the time of the mark takes its place, since an epoch is a start time.

    Args:
      states: The newest report on each target.
      target_id: The target.
      now_ms: Milliseconds since the epoch.

    Returns:
      Whether the mark is new.
    """
    epochs = [r.epoch for r in states.reports() if r.target_id == target_id]
    mark = target_states_lib.TargetState(
        target_id,
        epochs[0] if epochs else now_ms,
        OPERATOR_SEQUENCE,
        target_states_lib.ServingState.DRAINING,
    )
    return states.observe(mark)
