"""Estimates the age of received frames without synchronized clocks."""

# A minimum older than two windows is discarded, which bounds the error from
# clock drift: up to about 50 ppm, or 3 ms during two windows.
_WINDOW_S = 30.0


class FrameAgeEstimator:
    """Estimates how much longer than usual each frame was delayed.

    The offset between the clocks of two instances is unknown. The minimum
    difference between receive time and send time over the last one to two
    windows approximates this offset plus the usual delay. The amount by which
    the difference of a frame exceeds the minimum is the age of the frame, which
    grows for example while either process is suspended.
    """

    def __init__(self) -> None:
        self._min_s = float("inf")
        self._previous_min_s = float("inf")
        self._window_end_s = float("-inf")

    def observe(self, written_s: float, now_s: float) -> float:
        """Records a frame and estimates its age.

        Args:
          written_s: Monotonic time of the sender when it wrote the frame.
          now_s: Monotonic time of the receiver.

        Returns:
          The estimated age in seconds, at least zero.
        """
        if now_s >= self._window_end_s:
            self._window_end_s = now_s + _WINDOW_S
            self._previous_min_s = self._min_s
            self._min_s = float("inf")
        difference_s = now_s - written_s
        self._min_s = min(self._min_s, difference_s)
        return difference_s - min(self._min_s, self._previous_min_s)
