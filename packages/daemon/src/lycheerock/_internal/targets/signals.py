"""What a target states about itself in its responses.

A target may announce that it is leaving, or ask for a time without requests.
Both concern one start of the target and end with the next one.
"""

# After the end of a backoff, the first request is followed by others only as it
# succeeds: each success allows RAMP_GROWTH further requests, and after
# RAMP_SUCCESS_COUNT successes there is no limit any more.
RAMP_GROWTH = 2
RAMP_SUCCESS_COUNT = 8

# If none of the requests allowed so far has succeeded, one more is allowed
# after this time.
RAMP_RETRY_S = 0.5


class TargetSignals:
    """Announcements of one start of a target.

    Attributes:
      leaving_since_s: Monotonic time of the first response that announced that
        the target is leaving, or None.
      backoff_until_s: Monotonic time until which the target wants no requests.
    """

    def __init__(self) -> None:
        self.leaving_since_s: float | None = None
        self.backoff_until_s = 0.0
        self._is_ramping = False
        self._ramp_allowed = 0
        self._ramp_success_count = 0
        self._ramp_sent_s = 0.0

    def record_leaving(self, now_s: float) -> bool:
        """Records a response that announces that the target is leaving.

        Returns:
          Whether this is the first one.
        """
        if self.leaving_since_s is not None:
            return False
        self.leaving_since_s = now_s
        return True

    def record_backoff(self, now_s: float, duration_s: float) -> bool:
        """Records that the target wants no requests for some time.

        A shorter time than the one that is left does not shorten it.

        Returns:
          Whether no backoff was in effect.
        """
        if duration_s <= 0.0:
            return False
        is_new = not self.is_backing_off(now_s)
        self.backoff_until_s = max(self.backoff_until_s, now_s + duration_s)
        self._is_ramping = True
        self._ramp_allowed = 1
        self._ramp_success_count = 0
        return is_new

    def is_backing_off(self, now_s: float) -> bool:
        """Returns whether the target wants no requests now."""
        return now_s < self.backoff_until_s

    def may_be_last_resort(self, now_s: float, drain_s: float) -> bool:
        """Returns whether a leaving target may be used if there is no other.

        Args:
          now_s: Current monotonic time.
          drain_s: Time after the announcement from which on no request may
            reach the target.
        """
        return (
            self.leaving_since_s is not None
            and now_s < self.leaving_since_s + drain_s
        )

    def may_send(self, now_s: float) -> bool:
        """Returns whether backoff and ramp allow one more request now."""
        if self.is_backing_off(now_s):
            return False
        if not self._is_ramping or self._ramp_allowed > 0:
            return True
        return now_s >= self._ramp_sent_s + RAMP_RETRY_S

    def record_request(self, now_s: float) -> None:
        """Records that a request is sent."""
        if self._is_ramping:
            self._ramp_allowed = max(0, self._ramp_allowed - 1)
            self._ramp_sent_s = now_s

    def record_success(self, now_s: float) -> None:
        """Records a successful reply.

        Replies during a backoff belong to requests that were sent before it.
        """
        if not self._is_ramping or self.is_backing_off(now_s):
            return
        self._ramp_allowed += RAMP_GROWTH
        self._ramp_success_count += 1
        if self._ramp_success_count >= RAMP_SUCCESS_COUNT:
            self._is_ramping = False

    @property
    def is_empty(self) -> bool:
        """Whether the target has announced nothing so far."""
        return self.leaving_since_s is None and self.backoff_until_s == 0.0
