"""When a caller whose request was not run should come back."""

import random

# Targets free a slot within some tens of milliseconds; a longer wait would cost
# the caller its objective. The spread keeps refused callers from returning as
# one wave.
RETRY_AFTER_MIN_S = 0.03
RETRY_AFTER_MAX_S = 0.15

# An instance that does not know its configuration yet learns it within this
# time after its start; other instances can answer at once.
STARTING_RETRY_AFTER_S = 0.1


def retry_after_s(hint_s: float | None = None) -> float:
    """Returns the time after which the caller should try again.

    Args:
      hint_s: Time that a target has named, or None.
    """
    spread_s = random.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
    return spread_s if hint_s is None else hint_s + spread_s
