"""Estimates the time that requests and responses spend on the network."""

import collections

# Margin while too few connections have been observed.
MARGIN_DEFAULT_S = 0.012
MARGIN_MIN_S = 0.006
MARGIN_MAX_S = 0.040
# Time for writing a response, for its transfer, and for the caller to read it,
# without the distance.
PROCESSING_S = 0.006
# A longer pause before the first bytes is not caused by the distance: the
# caller opened the connection in advance, or is slow.
ROUND_TRIP_MAX_S = 0.040
# A sample taken while the event loop was this late says little.
SAMPLE_LAG_MAX_S = 0.005
WINDOW_SAMPLE_COUNT = 64
SAMPLES_MIN = 8
# Round trips between the start of a caller's clock and the receipt of its
# response: the handshake adds one.
NEW_CONNECTION_ROUND_TRIPS = 2.0
KEPT_CONNECTION_ROUND_TRIPS = 1.0

LAG_WEIGHT = 0.1
# A single long stall says nothing about the next response.
LAG_SAMPLE_MAX_S = 0.010


class LoopLag:
    """Average delay of the callbacks of an event loop.

    Attributes:
      lag_s: The average.
      latest_s: The latest measured delay.
    """

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.latest_s = 0.0

    def observe(self, lateness_s: float) -> None:
        """Records by how much a timer was late."""
        self.latest_s = max(0.0, lateness_s)
        sample_s = min(LAG_SAMPLE_MAX_S, self.latest_s)
        self.lag_s += LAG_WEIGHT * (sample_s - self.lag_s)


class CallerDistance:
    """Learns the round-trip time to callers from their new connections.

    Attributes:
      lag: Delay of the event loop.
    """

    def __init__(self) -> None:
        self.lag = LoopLag()
        self._samples_s: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLE_COUNT
        )
        self._median_s: float | None = None

    @property
    def round_trip_s(self) -> float | None:
        """Usual round-trip time, or None if it is not known yet."""
        if len(self._samples_s) < SAMPLES_MIN:
            return None
        if self._median_s is None:
            # Half of the callers may be slow or hostile.
            ordered_s = sorted(self._samples_s)
            self._median_s = ordered_s[len(ordered_s) // 2]
        return self._median_s

    def observe(self, first_bytes_delay_s: float) -> float | None:
        """Records the time from accepting a connection to its first bytes.

        Returns:
          The round-trip time of this connection, or None if the delay does not
          show it.
        """
        if not 0.0 <= first_bytes_delay_s <= ROUND_TRIP_MAX_S:
            return None
        if self.lag.latest_s <= SAMPLE_LAG_MAX_S:
            self._samples_s.append(first_bytes_delay_s)
            self._median_s = None
        return first_bytes_delay_s

    def margin_s(
        self, *, is_new: bool, own_round_trip_s: float | None
    ) -> float:
        """Returns the part of the caller's time that is spent on the network.

        This is the time from the start of the caller's clock to the arrival of
        its request, plus that from the response to its receipt.

        Args:
          is_new: Whether it is the first request of its connection.
          own_round_trip_s: Round-trip time of the connection, or None.
        """
        usual_s = self.round_trip_s
        if usual_s is None:
            return MARGIN_DEFAULT_S
        round_trip_s = usual_s
        round_trips = KEPT_CONNECTION_ROUND_TRIPS
        if is_new:
            round_trips = NEW_CONNECTION_ROUND_TRIPS
            # The time before the first bytes has passed, whatever caused it.
            round_trip_s = max(usual_s, own_round_trip_s or 0.0)
        margin_s = PROCESSING_S + round_trips * round_trip_s + self.lag.lag_s
        return min(MARGIN_MAX_S, max(MARGIN_MIN_S, margin_s))
