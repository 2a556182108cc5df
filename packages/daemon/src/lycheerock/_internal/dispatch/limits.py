"""Adaptive limit on the requests in flight to one target."""

# Rounds of successful replies before the limit grows by one. A target has few
# slots, so one slot is a large fraction of its capacity. Ten rounds keep the
# share of shed requests below a tenth while the target sheds every request
# above a constant limit.
_ROUNDS_PER_STEP = 10
_DECREASE_FACTOR = 0.5

# Bounds of the pause that a target requests when it sheds its only request.
PAUSE_MIN_S = 0.005
PAUSE_MAX_S = 1.0


class AdaptiveLimit:
    """Limit that falls when the target sheds and grows with its replies.

    Uses additive increase and multiplicative decrease after Chiu and Jain,
    "Analysis of the increase and decrease algorithms for congestion avoidance"
    (1989). A slow start begins with a limit of one and adds one per round.
    """

    def __init__(self, ceiling: int):
        self._ceiling = ceiling
        self._value = 1.0
        self._epoch = 0
        self._slow_start = True
        self.paused_until_s = float("-inf")

    @property
    def value(self) -> int:
        """Maximum number of requests in flight, at least one."""
        return int(self._value)

    @property
    def expected(self) -> int:
        """Limit for estimating waits, as if a slow start were complete."""
        return self._ceiling if self._slow_start else self.value

    @property
    def epoch(self) -> int:
        """Number of decreases and restarts so far, kept per request."""
        return self._epoch

    def is_paused(self, now_s: float) -> bool:
        """Returns whether a pause that the target asked for is in effect."""
        return now_s < self.paused_until_s

    def set_ceiling(self, ceiling: int) -> None:
        """Changes the upper bound of the limit."""
        self._ceiling = ceiling
        self._value = min(self._value, float(ceiling))

    def on_success(self, epoch: int) -> None:
        """Records a reply to a request that the target ran.

        Args:
          epoch: Epoch in which the request was sent. Replies to requests sent
            before the last decrease are ignored, because they say nothing about
            the present limit.
        """
        if epoch != self._epoch:
            return
        rounds = 1 if self._slow_start else _ROUNDS_PER_STEP
        self._value += 1.0 / (rounds * self.value)
        if self._value >= self._ceiling:
            self._value = float(self._ceiling)
            self._slow_start = False

    def on_shed(self, epoch: int, now_s: float, retry_after_s: float) -> None:
        """Records a request that the target shed.

        Args:
          epoch: Epoch in which the request was sent. Among the requests of one
            epoch only the first that is shed lowers the limit.
          now_s: Monotonic time.
          retry_after_s: Pause that the target asks for.
        """
        if epoch != self._epoch:
            return
        self._epoch += 1
        self._slow_start = False
        if self.value == 1:
            pause_s = min(max(retry_after_s, PAUSE_MIN_S), PAUSE_MAX_S)
            self.paused_until_s = now_s + pause_s
        self._value = max(1.0, self._value * _DECREASE_FACTOR)

    def restart_slow_start(self) -> None:
        """Restarts the slow start after the target was lost or has returned."""
        self._epoch += 1
        self._value = 1.0
        self._slow_start = True
