"""Token budget for hedges and retries, and the hedge delay."""

import collections

# Smallest capacity that `capacity_for` returns if hedging is enabled. Buckets
# start with this many tokens, or with their capacity if that is lower.
TOKENS_MIN = 10.0

# Fraction of the bucket capacity that hedges leave to retries.
HEDGE_RESERVE_RATIO = 0.3

# Fraction of the bucket capacity that early hedges leave to regular hedges and
# retries. Early hedges are thus only sent while few of the others are needed.
EARLY_HEDGE_RESERVE_RATIO = 0.75

# Hedge delay until _REPLIES_MIN replies have been observed.
HEDGE_DELAY_DEFAULT_S = 0.05
HEDGE_DELAY_MIN_S = 0.001
_WINDOW_SIZE = 512
_REPLIES_MIN = 20
_REFRESH_INTERVAL = 64
_QUANTILE = 0.95


class TokenBucket:
    """Token bucket for extra requests.

    Each first attempt adds `ratio` tokens; each hedge or retry takes one.
    """

    def __init__(self, ratio: float, capacity: float):
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = min(TOKENS_MIN, self._capacity)

    def has_token(self, *, for_hedge: bool) -> bool:
        """Returns whether a hedge or a retry may be sent now."""
        # Retries have priority: a hedge only reduces latency, but a retry can
        # restore the coverage of a shard.
        reserved = HEDGE_RESERVE_RATIO * self._capacity if for_hedge else 0.0
        return self._tokens >= 1.0 + reserved

    def allows_early_hedge(self) -> bool:
        """Returns whether a hedge may be sent before the hedge delay."""
        reserved = EARLY_HEDGE_RESERVE_RATIO * self._capacity
        return self._tokens >= 1.0 + reserved

    def resize(self, ratio: float, capacity: float) -> None:
        """Changes the settings and drops tokens above the new capacity."""
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = min(self._tokens, self._capacity)

    def add_first_attempts(self, count: int) -> None:
        """Adds the tokens for `count` first attempts."""
        filled = self._tokens + self._ratio * count
        self._tokens = min(filled, self._capacity)

    def take(self) -> bool:
        """Takes a token. Returns False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def capacity_for(ratio: float, shard_count: int) -> float:
    """Returns the bucket capacity for a service with `shard_count` shards."""
    if ratio <= 0.0:
        return 0.0
    # Holds the tokens that two searches add, so that the hedges of one search
    # do not starve the next.
    return max(TOKENS_MIN, 2.0 * ratio * shard_count)


class HedgeDelay:
    """Hedge delay: the recent 95th percentile of shard reply latencies.

    The percentile is recomputed only once per _REFRESH_INTERVAL replies, which
    keeps the amortized cost per reply low.
    """

    def __init__(self) -> None:
        self._latencies_s = collections.deque[float](maxlen=_WINDOW_SIZE)
        self._since_refresh = 0
        self._delay_s = HEDGE_DELAY_DEFAULT_S

    @property
    def delay_s(self) -> float:
        """Seconds after which a shard request is hedged."""
        return self._delay_s

    def observe(self, elapsed_s: float) -> None:
        """Records the latency of a shard reply."""
        self._latencies_s.append(elapsed_s)
        self._since_refresh += 1
        count = len(self._latencies_s)
        if self._since_refresh < _REFRESH_INTERVAL and count > _REPLIES_MIN:
            return
        if count >= _REPLIES_MIN:
            ordered = sorted(self._latencies_s)
            quantile_s = ordered[int(_QUANTILE * (count - 1))]
            self._delay_s = max(HEDGE_DELAY_MIN_S, quantile_s)
            self._since_refresh = 0
