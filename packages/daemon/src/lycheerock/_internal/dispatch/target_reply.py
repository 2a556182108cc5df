"""The parts of a target's reply that matter to dispatch."""

import msgspec

from lycheerock._internal.dispatch import target_states


class TargetReply(msgspec.Struct, frozen=True):
    """Fields that the replies of all paths have in common; rows are skipped."""

    status: str
    attempt_id: str
    target_state: str = ""
    target_epoch: int = 0
    state_sequence: int = 0
    retry_after_ms: int = 0

    def report(self, target_id: str) -> target_states.TargetState | None:
        """Returns what the target says of itself, or None."""
        if self.target_state not in _STATES:
            return None
        return target_states.TargetState(
            target_id,
            self.target_epoch,
            self.state_sequence,
            target_states.ServingState(self.target_state),
        )


_STATES = frozenset(target_states.ServingState)
_DECODER = msgspec.json.Decoder(TargetReply)


def decode(body: bytes, attempt_id: str) -> TargetReply | None:
    """Decodes a reply.

    Args:
      body: JSON text.
      attempt_id: Attempt that the reply must echo.

    Returns:
      The reply, or None if it is malformed or answers another attempt.
    """
    try:
        reply = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return reply if reply.attempt_id == attempt_id else None
