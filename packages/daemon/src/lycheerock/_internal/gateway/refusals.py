"""Retry-After times for requests that were not run."""

import random

# Targets free a slot within some tens of milliseconds; a longer wait would make
# the caller miss its latency objective. The jitter keeps refused callers from
# retrying all at once.
RETRY_AFTER_MIN_S = 0.03
RETRY_AFTER_MAX_S = 0.15

# An instance without a configuration loads it within this time after its start;
# other instances can serve the retry at once.
STARTUP_RETRY_AFTER_S = 0.1


def retry_after_s(hint_s: float | None = None) -> float:
    """Returns the time after which the caller should retry.

    Args:
      hint_s: Retry-After time that a target requested, or None.
    """
    jitter_s = random.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
    return jitter_s if hint_s is None else hint_s + jitter_s
