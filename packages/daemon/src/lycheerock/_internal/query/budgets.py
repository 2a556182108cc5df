"""How many hedges and retries a service may send, and when a hedge is due."""

import collections

# Tokens that a service with few shards may save up, and has at the start.
TOKENS_MIN = 10.0

# Part of the saved tokens that hedges leave to retries.
HEDGE_RESERVE_RATIO = 0.3

# Part of the saved tokens that hedges sent early leave to the others, so that
# they are only sent while few are needed.
EARLY_HEDGE_RESERVE_RATIO = 0.75

# Hedge delay until enough replies were measured.
HEDGE_DELAY_DEFAULT_S = 0.05
HEDGE_DELAY_MIN_S = 0.001
_WINDOW_SIZE = 512
_REPLIES_MIN = 20
_REFRESH_PERIOD = 64
_PERCENTILE = 0.95


class TokenBucket:
    """Tokens for extra requests, filled by a share of first attempts."""

    def __init__(self, ratio: float, capacity: float):
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = min(TOKENS_MIN, self._capacity)

    def has_token(self, *, for_hedge: bool) -> bool:
        """Tells whether a hedge or a retry may be sent now."""
        # A hedge only saves time, but a retry saves a shard of the answer.
        kept = HEDGE_RESERVE_RATIO * self._capacity if for_hedge else 0.0
        return self._tokens >= 1.0 + kept

    def allows_early_hedge(self) -> bool:
        """Tells whether a hedge may be sent earlier than usual."""
        kept = EARLY_HEDGE_RESERVE_RATIO * self._capacity
        return self._tokens >= 1.0 + kept

    def resize(self, ratio: float, capacity: float) -> None:
        """Takes new settings; saved tokens stay up to the capacity."""
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = min(self._tokens, self._capacity)

    def add_first_attempts(self, count: int) -> None:
        """Fills the bucket for `count` first attempts."""
        filled = self._tokens + self._ratio * count
        self._tokens = min(filled, self._capacity)

    def take(self) -> bool:
        """Takes one token; returns False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def capacity_for(ratio: float, shard_count: int) -> float:
    """Returns the tokens that a service with so many shards may save up."""
    if ratio <= 0.0:
        return 0.0
    # Two searches' worth, so that the hedges of one do not starve the next.
    return max(TOKENS_MIN, 2.0 * ratio * shard_count)


class HedgeDelay:
    """The recent 95th percentile of a service's shard replies.

    The percentile is computed once for many replies, which keeps the cost per
    reply constant.
    """

    def __init__(self) -> None:
        self._recent = collections.deque[float](maxlen=_WINDOW_SIZE)
        self._since_refresh = 0
        self._delay_s = HEDGE_DELAY_DEFAULT_S

    @property
    def delay_s(self) -> float:
        """Time after which a shard request is hedged."""
        return self._delay_s

    def observe(self, elapsed_s: float) -> None:
        """Takes the latency of one shard reply."""
        self._recent.append(elapsed_s)
        self._since_refresh += 1
        count = len(self._recent)
        if self._since_refresh < _REFRESH_PERIOD and count > _REPLIES_MIN:
            return
        if count >= _REPLIES_MIN:
            ordered = sorted(self._recent)
            found_s = ordered[int(_PERCENTILE * (count - 1))]
            self._delay_s = max(HEDGE_DELAY_MIN_S, found_s)
            self._since_refresh = 0
