"""What this instance has seen of one target."""

import dataclasses

# Weight of the newest reply in the slowness of a target. A slow reply counts
# for more, since the next search should already avoid the target: each of many
# instances sends it less than one request a second.
SAMPLE_WEIGHT = 0.3
SLOW_SAMPLE_WEIGHT = 0.5

# Weight of a refusal. A failure may be a single lost answer; a refusal tells of
# load, or of a target that sheds, and is likely to repeat.
REFUSAL_WEIGHT = 0.5

# A reply counts as at most this many times the usual latency, so that a pause
# does not keep a target out for long.
SAMPLE_MAX = 6.0

# Time in which slowness and failures are forgotten, so that a target which is
# no longer chosen is tried again. It doubles each time it is found slow or
# failing again, so that a lasting fault is not tried with many requests.
DECAY_S = 4.0
DECAY_MAX_S = 16.0

# Replies this many times slower than usual tell of a stall or lasting slowness.
SLOW_RATIO = 2.5

# Slow replies and failures within this time may stem from one pause, such as a
# garbage collection, and count as one finding.
PAUSE_S = 0.6

# A request without an answer for this long, and many times the usual latency,
# tells of a target that is gone rather than of a pause, which is half as long.
SILENCE_S = 0.4

# Below this share of failures a reply in time shows that a target is sound.
SOUND_FAILURE_RATIO = 0.1

# Time for which a target is left alone after failures in a row: the first
# failure of an otherwise good target is tolerated, then the time doubles.
EJECTION_BASE_S = 0.4
EJECTION_MAX_S = 6.0
FAILURES_TOLERATED = 1


@dataclasses.dataclass(slots=True, eq=False)
class Flight:
    """A request that a target has not answered yet.

    Attributes:
      start_s: Monotonic time of the start.
      usual_s: Usual latency of such a request at the service.
    """

    start_s: float
    usual_s: float


class TargetHealth:
    """Latency, failures and requests in flight of one target."""

    def __init__(self, expected_slowness: float) -> None:
        self._expected = expected_slowness
        self._slowness = expected_slowness
        self._sample_s = 0.0
        self._decay_s = DECAY_S
        self._bad_since_s: float | None = None
        self._failures_in_row = 0
        self._failure_ratio = 0.0
        self._failure_s = 0.0
        self.ejected_until_s = 0.0
        self.flights: dict[int, Flight] = {}
        self._next_flight = 0

    @property
    def in_flight(self) -> int:
        """Requests without an answer."""
        return len(self.flights)

    def record_start(self, now_s: float, usual_s: float) -> int:
        """Counts a request that is sent.

        Args:
          now_s: Monotonic time.
          usual_s: Usual latency of such a request at the service.

        Returns:
          Number of the flight, for `answered`, `failed` or `dropped`.
        """
        self._next_flight += 1
        self.flights[self._next_flight] = Flight(now_s, usual_s)
        return self._next_flight

    def record_reply(self, flight_number: int, now_s: float) -> None:
        """Takes a reply."""
        self._sample(flight_number, now_s)
        self._failures_in_row = 0
        self._note_failure(now_s, 0.0, SAMPLE_WEIGHT)
        self.ejected_until_s = 0.0

    def record_failure(self, flight_number: int, now_s: float) -> None:
        """Takes a failure: no reply, an unreadable one or an error."""
        self.flights.pop(flight_number, None)
        self._failures_in_row += 1
        self._note_failure(now_s, 1.0, SAMPLE_WEIGHT)
        excess = self._failures_in_row - FAILURES_TOLERATED
        if excess > 0:
            pause_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2 ** (excess - 1))
            self.ejected_until_s = max(self.ejected_until_s, now_s + pause_s)

    def record_refusal(
        self, flight_number: int, now_s: float, pause_s: float
    ) -> None:
        """Takes a refusal, which most often is because of load.

        A target that refuses is likely to refuse again, and each refusal costs
        a repeated request.

        Args:
          flight_number: The request.
          now_s: Monotonic time.
          pause_s: Time for which the target is left alone.
        """
        self.flights.pop(flight_number, None)
        self._note_failure(now_s, 1.0, REFUSAL_WEIGHT)
        self.ejected_until_s = max(self.ejected_until_s, now_s + pause_s)

    def record_abandonment(self, flight_number: int, now_s: float) -> None:
        """Takes a request that was given up; its age is a lower bound."""
        flight = self.flights.get(flight_number)
        if flight is None:
            return
        age_s = now_s - flight.start_s
        if age_s >= max(SILENCE_S, SAMPLE_MAX * flight.usual_s):
            self._note_failure(now_s, 1.0, REFUSAL_WEIGHT)
            self._decay_s = max(self._decay_s, 2.0 * DECAY_S)
        if age_s > flight.usual_s * self.slowness(now_s):
            self._sample(flight_number, now_s)
        else:
            del self.flights[flight_number]

    def slowness(self, now_s: float) -> float:
        """Latency relative to the usual one of the service; decays."""
        if not self._sample_s:
            return self._expected
        age_s = now_s - self._sample_s
        fresh = max(0.0, 1.0 - age_s / self._decay_s)
        return self._expected + (self._slowness - self._expected) * fresh

    def overdue_ratio(self, now_s: float) -> float:
        """Age of the oldest request relative to its usual latency."""
        return max(
            (
                (now_s - flight.start_s) / flight.usual_s
                for flight in self.flights.values()
            ),
            default=0.0,
        )

    def failure_ratio(self, now_s: float) -> float:
        """Recent share of failures and refusals; decays."""
        age_s = now_s - self._failure_s
        return self._failure_ratio * max(0.0, 1.0 - age_s / self._decay_s)

    def _note_failure(self, now_s: float, value: float, weight: float) -> None:
        current = self.failure_ratio(now_s)
        self._failure_ratio = current + weight * (value - current)
        self._failure_s = now_s
        if value:
            self._lengthen_decay(now_s)

    def _sample(self, flight_number: int, now_s: float) -> None:
        flight = self.flights.pop(flight_number, None)
        if flight is None:
            return
        ratio = min(SAMPLE_MAX, (now_s - flight.start_s) / flight.usual_s)
        current = self.slowness(now_s)
        weight = SLOW_SAMPLE_WEIGHT if ratio > current else SAMPLE_WEIGHT
        self._slowness = current + weight * (ratio - current)
        self._sample_s = now_s
        if ratio >= SLOW_RATIO:
            self._lengthen_decay(now_s)
        elif self.failure_ratio(now_s) < SOUND_FAILURE_RATIO:
            self._bad_since_s = None
            self._decay_s = DECAY_S

    def _lengthen_decay(self, now_s: float) -> None:
        if self._bad_since_s is None:
            self._bad_since_s = now_s
        elif now_s - self._bad_since_s > PAUSE_S:
            self._bad_since_s = now_s
            self._decay_s = min(DECAY_MAX_S, 2.0 * self._decay_s)
