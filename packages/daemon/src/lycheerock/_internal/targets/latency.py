"""Latency quantiles of a route at a service."""

import collections

# Number of recent replies from which the quantiles are computed. At a low
# request rate they span a few seconds. At hundreds of replies per second they
# span less than a second, but are still enough for the 90th percentile.
WINDOW_COUNT = 96
# The quantiles are recomputed with each reply up to this number of replies, and
# then once per this number.
REFRESH_COUNT = 12

# Median assumed before the first reply: between the shortest and the longest
# service times of the deployments.
MEDIAN_DEFAULT_S = 0.025
MEDIAN_MIN_S = 0.002
HIGH_QUANTILE = 0.9


class LatencyWindow:
    """Median and 90th percentile of the latencies of recent replies.

    Attributes:
      median_s: Median latency, at least MEDIAN_MIN_S.
      p90_s: 90th percentile of the latency, at least `median_s`.
    """

    def __init__(self) -> None:
        self._recent = collections.deque[float](maxlen=WINDOW_COUNT)
        self._since_refresh = 0
        self.median_s = MEDIAN_DEFAULT_S
        self.p90_s = 2.0 * MEDIAN_DEFAULT_S

    def observe(self, elapsed_s: float) -> None:
        """Records the latency of one reply."""
        self._recent.append(elapsed_s)
        self._since_refresh += 1
        count = len(self._recent)
        if self._since_refresh < REFRESH_COUNT and count > REFRESH_COUNT:
            return
        self._since_refresh = 0
        ordered = sorted(self._recent)
        self.median_s = max(MEDIAN_MIN_S, ordered[count // 2])
        self.p90_s = max(
            self.median_s, ordered[min(count - 1, int(HIGH_QUANTILE * count))]
        )
