"""Fields of a target's reply that dispatch evaluates."""

import msgspec

from lycheerock._internal.dispatch import target_states


class TargetReply(msgspec.Struct, frozen=True):
    """Fields common to the replies of all paths; other fields are ignored."""

    status: str
    attempt_id: str
    target_state: str = ""
    target_epoch: int = 0
    state_sequence: int = 0
    retry_after_ms: int = 0

    def report(self, target_id: str) -> target_states.TargetState | None:
        """Returns the reported state of the target, or None if it has none."""
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
      attempt_id: Id of the attempt, which the reply must repeat.

    Returns:
      The reply, or None if it is malformed or belongs to another attempt.
    """
    try:
        reply = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return reply if reply.attempt_id == attempt_id else None
