"""Delays after failed calls to the platform."""

from collections.abc import Callable
import random

BASE_S = 1.0
LIMIT_S = 15.0


class Backoff:
    """Exponential backoff with full jitter.

    Each delay is uniform between zero and a bound that doubles, so instances
    that fail together do not return together. With 420 instances the first
    bound of one second gives 420 calls in the first second of an outage and
    fewer afterwards.
    """

    def __init__(self, uniform: Callable[[float, float], float] | None = None):
        self._uniform = uniform or random.SystemRandom().uniform
        self._failure_count = 0

    def reset(self) -> None:
        """Starts again from the shortest bound, after a success."""
        self._failure_count = 0

    def next_delay_s(self) -> float:
        """Returns the delay before the next call, after a failure."""
        bound_s = min(LIMIT_S, BASE_S * 2**self._failure_count)
        self._failure_count = min(self._failure_count + 1, 16)
        return self._uniform(0.0, bound_s)
