"""How many requests may be in flight to one target."""

# A slot count is small, so that one lost slot is a large share. Ten rounds of
# good replies before one more request is tried keep shed requests below a tenth
# while a target sheds at a constant limit.
_ROUNDS_PER_STEP = 10
_DECREASE_FACTOR = 0.5

# Bounds of the pause that a target asks for when it sheds its only request.
PAUSE_MIN_S = 0.005
PAUSE_MAX_S = 1.0


class AdaptiveLimit:
    """Falls when the target sheds, recovers with its good replies.

    Additive increase and multiplicative decrease after Chiu and Jain, "Analysis
    of the increase and decrease algorithms for congestion avoidance" (1989).
    A slow start begins with one request in flight and adds one per round.
    """

    def __init__(self, ceiling: int):
        self._ceiling = ceiling
        self._value = 1.0
        self._epoch = 0
        self._slow_start = True
        self.paused_until_s = float("-inf")

    @property
    def value(self) -> int:
        """Requests that may be in flight, at least one."""
        return int(self._value)

    @property
    def expected(self) -> int:
        """Limit for estimates of a wait; a slow start is soon over."""
        return self._ceiling if self._slow_start else self.value

    @property
    def epoch(self) -> int:
        """Token of a request that is sent now."""
        return self._epoch

    def is_paused(self, now_s: float) -> bool:
        """Tells whether the target asked for a pause that is not over."""
        return now_s < self.paused_until_s

    def set_ceiling(self, ceiling: int) -> None:
        """Changes the greatest limit."""
        self._ceiling = ceiling
        self._value = min(self._value, float(ceiling))

    def on_good(self, epoch: int) -> None:
        """Takes note of a reply to a request that the target ran.

        Args:
          epoch: Token of the request. Replies to requests from before the last
            decrease say nothing about the present limit.
        """
        if epoch != self._epoch:
            return
        rounds = 1 if self._slow_start else _ROUNDS_PER_STEP
        self._value += 1.0 / (rounds * self.value)
        if self._value >= self._ceiling:
            self._value = float(self._ceiling)
            self._slow_start = False

    def on_shed(self, epoch: int, now_s: float, retry_after_s: float) -> None:
        """Takes note of a request that the target shed.

        Args:
          epoch: Token of the request; of the requests in flight at once only
            the first that is shed lowers the limit.
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

    def restart(self) -> None:
        """Starts slowly: the target was lost or has returned."""
        self._epoch += 1
        self._value = 1.0
        self._slow_start = True
