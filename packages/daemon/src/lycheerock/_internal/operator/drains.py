"""Draining of targets at the request of an operator."""

from lycheerock._internal.dispatch import target_states as target_states_lib

# Higher than any sequence number that a target reaches by its own state
# changes, and within the 64-bit field of the peer protocol.
OPERATOR_SEQUENCE = 2**62


def mark_draining(
    states: target_states_lib.TargetStates, target_id: str, now_ms: int
) -> bool:
    """Marks a target as draining until its process restarts.

    The mark takes precedence over all reports of the current target process,
    since a target that is unaware of the operator's request keeps reporting
    that it is serving. A process that starts later has a higher epoch, so its
    reports override the mark. If this instance has no report on the target, it
    does not know the epoch and uses the current time instead, since an epoch is
    a start time.

    Args:
      states: Newest state report on each target.
      target_id: Target to drain.
      now_ms: Unix time in milliseconds.

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
