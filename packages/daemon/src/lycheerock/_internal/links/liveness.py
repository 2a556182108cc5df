"""Decides when a link is pinged and when it counts as lost."""

import enum

# A link on which a message got no reply for this long is pinged.
PING_AFTER_S = 0.5

# A link on which a message or ping got no reply for this long is lost. An
# instance that is busy, or whose share of the processor is used up, replies
# within a few hundred milliseconds.
LOST_AFTER_S = 1.0

# Interval of the pings on a link without messages. The kernel's keepalive
# detects a dead network path earlier; a ping also detects a frozen process.
IDLE_PING_INTERVAL_S = 5.0


class Action(enum.Enum):
    """What to do with a link."""

    NONE = "none"
    PING = "ping"
    CLOSE = "close"


class Liveness:
    """Times of the messages on one link.

    Any message of the peer counts as a reply. A link whose messages are
    answered within PING_AFTER_S thus has no pings.

    Attributes:
      used_s: Monotonic time of the last message in either direction.
    """

    def __init__(self, now_s: float) -> None:
        self._received_s = now_s
        self._unanswered_since_s: float | None = None
        self._pinged_s: float | None = None
        self.used_s = now_s

    def record_sent(self, now_s: float) -> None:
        """Records a message to the peer."""
        self.used_s = now_s
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s

    def record_received(self, now_s: float, *, is_message: bool) -> None:
        """Records a message, ping or pong of the peer."""
        if is_message:
            self.used_s = now_s
        self._received_s = now_s
        self._unanswered_since_s = None
        self._pinged_s = None

    def postpone(self, delay_s: float) -> None:
        """Shifts all limits, because this process itself was stalled."""
        self._received_s += delay_s
        if self._unanswered_since_s is not None:
            self._unanswered_since_s += delay_s
        if self._pinged_s is not None:
            self._pinged_s += delay_s

    def next_action(self, now_s: float) -> Action:
        """Returns what to do now; assumes that a ping is sent if returned."""
        since_s = self._unanswered_since_s
        if self._pinged_s is not None:
            # Messages need no reply, so only a ping tells whether one is due.
            reply_due_s = self._pinged_s + LOST_AFTER_S - PING_AFTER_S
            return Action.CLOSE if now_s >= reply_due_s else Action.NONE
        due_s = self._received_s + IDLE_PING_INTERVAL_S
        if since_s is not None:
            due_s = min(due_s, since_s + PING_AFTER_S)
        if now_s < due_s:
            return Action.NONE
        self._pinged_s = now_s
        return Action.PING
