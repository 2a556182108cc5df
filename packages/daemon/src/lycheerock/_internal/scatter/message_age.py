"""Estimates how late a message has arrived."""

# Time over which the fastest message is remembered. The clocks of two machines
# drift apart by less than a few milliseconds in this time.
WINDOW_S = 30.0


class MessageAges:
    """Compares the sender's clock with the own one for one sender.

    The fastest recent message counts as having arrived at once, so the estimate
    is too low by the network's delay, but includes all time in queues and while
    this process was stalled.
    """

    def __init__(self) -> None:
        self._window_start_s = 0.0
        self._current_s = float("inf")
        self._previous_s = float("inf")

    def age_s(self, sent_s: float, received_s: float) -> float:
        """Returns the estimated age of a message at its arrival.

        Args:
          sent_s: Monotonic time of the sender's clock.
          received_s: Monotonic time of the own clock.
        """
        if received_s - self._window_start_s >= WINDOW_S:
            self._previous_s = self._current_s
            self._current_s = float("inf")
            self._window_start_s = received_s
        difference_s = received_s - sent_s
        self._current_s = min(self._current_s, difference_s)
        return difference_s - min(self._current_s, self._previous_s)
