"""Usual latency of the requests of a route at a service."""

import collections

# Replies that the quantiles are taken from: at a few replies a second it covers
# some seconds, at hundreds it is still enough for a 90th percentile.
WINDOW_COUNT = 96
REFRESH_COUNT = 12

# Assumed until the first replies: between the shortest and the longest work of
# the deployments.
USUAL_DEFAULT_S = 0.025
USUAL_MIN_S = 0.002
SLOW_QUANTILE = 0.9


class LatencyWindow:
    """Median and a high quantile of recent replies."""

    def __init__(self) -> None:
        self._recent = collections.deque[float](maxlen=WINDOW_COUNT)
        self._since_refresh = 0
        self.median_s = USUAL_DEFAULT_S
        self.p90_s = 2.0 * USUAL_DEFAULT_S

    def observe(self, elapsed_s: float) -> None:
        """Takes the latency of one reply."""
        self._recent.append(elapsed_s)
        self._since_refresh += 1
        count = len(self._recent)
        if self._since_refresh < REFRESH_COUNT and count > REFRESH_COUNT:
            return
        self._since_refresh = 0
        ordered = sorted(self._recent)
        self.median_s = max(USUAL_MIN_S, ordered[count // 2])
        self.p90_s = max(
            self.median_s, ordered[min(count - 1, int(SLOW_QUANTILE * count))]
        )
