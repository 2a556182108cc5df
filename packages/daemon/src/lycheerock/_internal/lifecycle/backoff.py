"""Exponential backoff for calls to the platform."""

from collections.abc import Callable
import random

INITIAL_BOUND_S = 1.0
MAX_BOUND_S = 15.0


class Backoff:
    """Exponential backoff with full jitter.

    Each delay is chosen uniformly between zero and a bound that doubles with
    each failure up to a limit, so that instances that fail together do not
    retry together. With 420 instances, the initial bound of one second results
    in 420 retries in the first second of an outage and fewer afterwards.
    """

    def __init__(self, uniform: Callable[[float, float], float] | None = None):
        self._uniform = uniform or random.SystemRandom().uniform
        self._failure_count = 0

    def reset(self) -> None:
        """Resets the bound to its initial value, after a success."""
        self._failure_count = 0

    def next_delay_s(self) -> float:
        """Returns the delay before the next call, after a failure."""
        bound_s = min(MAX_BOUND_S, INITIAL_BOUND_S * 2**self._failure_count)
        self._failure_count = min(self._failure_count + 1, 16)
        return self._uniform(0.0, bound_s)
