"""Limits the requests to targets that are cold.

A cold target, for example one that has just started, crashes if it gets many
more requests per second than its service states. The rate counts over all
instances, so each instance sends at most its share, evenly spaced.
"""

import random

# Shortest and longest first delay, as multiples of the interval. The random
# start keeps instances that learn of a cold target together from sending it
# their first request at the same moment.
FIRST_DELAY_MIN_RATIO = 0.0
FIRST_DELAY_MAX_RATIO = 1.0


class ColdStartPacer:
    """Spaces the requests of this instance to one cold target."""

    def __init__(self) -> None:
        self._cold_until_s = 0.0
        self._next_s = 0.0

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the target is in its warm-up time."""
        return now_s < self._cold_until_s

    def start(self, until_s: float, now_s: float, interval_s: float) -> None:
        """Begins or prolongs the warm-up.

        Args:
          until_s: Monotonic time at which the target is warm.
          now_s: Current monotonic time.
          interval_s: Time between two requests of this instance; 0 if the
            service sets no limit.
        """
        if not self.is_cold(now_s):
            delay_ratio = random.uniform(
                FIRST_DELAY_MIN_RATIO, FIRST_DELAY_MAX_RATIO
            )
            self._next_s = now_s + delay_ratio * interval_s
        self._cold_until_s = until_s

    def may_send(self, now_s: float) -> bool:
        """Returns whether a request may be sent now."""
        return not self.is_cold(now_s) or now_s >= self._next_s

    def record_request(self, now_s: float, interval_s: float) -> None:
        """Records a request, after which the interval has to pass."""
        if self.is_cold(now_s):
            self._next_s = now_s + interval_s
