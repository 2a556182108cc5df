"""Finds how long a frame was held up between two clocks."""

# Clocks drift by up to about 50 parts per million, which is 3 ms per minute.
_WINDOW_S = 30.0


class FrameAge:
    """Compares the delay of each frame with the least recent delay.

    The clocks of two instances have an unknown offset. The least difference
    between receiving and sending time of the last one to two windows stands for
    the offset plus the usual delay. What a frame exceeds it by is the time that
    the frame waited, for example because either process was frozen.
    """

    def __init__(self) -> None:
        self._least_s = float("inf")
        self._least_before_s = float("inf")
        self._window_end_s = float("-inf")

    def observe(self, written_s: float, now_s: float) -> float:
        """Takes note of a frame.

        Args:
          written_s: Clock of the sender when it wrote the frame.
          now_s: Clock of the receiver.

        Returns:
          Seconds that the frame was held up, at least zero.
        """
        if now_s >= self._window_end_s:
            self._window_end_s = now_s + _WINDOW_S
            self._least_before_s = self._least_s
            self._least_s = float("inf")
        delay_s = now_s - written_s
        self._least_s = min(self._least_s, delay_s)
        return delay_s - min(self._least_s, self._least_before_s)
