"""Health of one target as observed by this instance."""

import dataclasses

# Weight of the newest latency in the moving average of a target's slowness. A
# latency above the average has the higher weight, so that the next search
# already avoids the target: if there are many instances, each of them sends it
# less than one request per second.
SAMPLE_WEIGHT = 0.3
SLOW_SAMPLE_WEIGHT = 0.5

# Weight of a refusal in the failure ratio. It is higher than that of a failure,
# which may be a single lost reply, because a refusal indicates overload or load
# shedding and is likely to repeat.
REFUSAL_WEIGHT = 0.5

# Upper bound of a latency sample, as a multiple of the median latency, so that
# a single pause does not exclude a target for long.
LATENCY_SAMPLE_MAX_RATIO = 6.0

# Time over which slowness and failures decay, so that a target that is no
# longer selected is tried again. It doubles each time the target is found slow
# or failing again, so that few requests are spent on a persistent fault.
DECAY_S = 4.0
DECAY_MAX_S = 16.0

# A reply that takes at least this multiple of the median latency indicates a
# stall or lasting slowness.
SLOW_RATIO = 2.5

# A single slow reply is ignored if requests to the target follow each other
# within this time on average, since the next one soon tells a slow target from
# one that has paused. At lower rates a slow target would be noticed too late.
CONFIRMATION_MAX_S = 0.3

# Weight of the newest interval between two requests in its moving average.
INTERVAL_WEIGHT = 0.2

# Slow replies and failures within this time may stem from one pause, such as a
# garbage collection, and are counted as one incident.
INCIDENT_WINDOW_S = 0.6

# An abandoned request that was pending for at least this long, and for at least
# LATENCY_SAMPLE_MAX_RATIO times the median latency, indicates that the target
# is unreachable rather than paused. Pauses last about half as long.
UNRESPONSIVE_MIN_S = 0.4

# A reply in time counts as recovery only if the failure ratio is below this.
HEALTHY_FAILURE_RATIO = 0.1

# Ejection time after consecutive failures. The first failure is tolerated; the
# time doubles with each further one.
EJECTION_BASE_S = 0.4
EJECTION_MAX_S = 6.0
TOLERATED_FAILURE_COUNT = 1

# Ejection time of a target whose response exceeded a limit on the work that it
# may cause, which no lost packet explains. It doubles with each such response,
# until the target replies normally.
VIOLATION_EJECTION_BASE_S = 1.0
VIOLATION_EJECTION_MAX_S = 16.0


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that the target has not answered yet.

    Attributes:
      start_s: Monotonic time at which the request was sent.
      median_s: Median latency of such requests at the service.
    """

    start_s: float
    median_s: float


class TargetHealth:
    """Latency, failures and pending requests of one target.

    Attributes:
      ejected_until_s: Monotonic time until which the target is ejected.
      pending: Pending requests by request number.
    """

    def __init__(self, expected_slowness: float) -> None:
        self._expected_slowness = expected_slowness
        self._slowness = expected_slowness
        self._sampled_s = 0.0
        self._decay_s = DECAY_S
        self._incident_start_s: float | None = None
        self._consecutive_failures = 0
        self._consecutive_violations = 0
        self._failure_ratio = 0.0
        self._failure_ratio_updated_s = 0.0
        self.ejected_until_s = 0.0
        self.pending: dict[int, PendingRequest] = {}
        self._last_number = 0
        self._last_start_s: float | None = None
        # Until the rate is known, each slow reply counts.
        self._usual_interval_s = 2.0 * CONFIRMATION_MAX_S

    @property
    def in_flight(self) -> int:
        """Number of pending requests."""
        return len(self.pending)

    def record_start(self, now_s: float, median_s: float) -> int:
        """Records that a request is sent.

        Args:
          now_s: Current monotonic time.
          median_s: Median latency of such requests at the service.

        Returns:
          A number that identifies the request in the other `record_` methods.
        """
        if self._last_start_s is not None:
            interval_s = now_s - self._last_start_s
            self._usual_interval_s += INTERVAL_WEIGHT * (
                interval_s - self._usual_interval_s
            )
        self._last_start_s = now_s
        self._last_number += 1
        self.pending[self._last_number] = PendingRequest(now_s, median_s)
        return self._last_number

    def record_reply(self, number: int, now_s: float) -> None:
        """Records a successful reply, which also ends an ejection."""
        self._record_latency(number, now_s)
        self._consecutive_failures = 0
        self._consecutive_violations = 0
        self._update_failure_ratio(now_s, 0.0, SAMPLE_WEIGHT)
        self.ejected_until_s = 0.0

    def record_failure(self, number: int, now_s: float) -> None:
        """Records a failure: no reply, an unreadable reply or an error."""
        self.pending.pop(number, None)
        self._consecutive_failures += 1
        self._update_failure_ratio(now_s, 1.0, SAMPLE_WEIGHT)
        excess = self._consecutive_failures - TOLERATED_FAILURE_COUNT
        if excess > 0:
            ejection_s = min(
                EJECTION_MAX_S, EJECTION_BASE_S * 2 ** (excess - 1)
            )
            self.ejected_until_s = max(self.ejected_until_s, now_s + ejection_s)

    def record_violation(self, number: int, now_s: float) -> None:
        """Records a response that exceeded a limit on the work it may cause."""
        self.record_failure(number, now_s)
        ejection_s = min(
            VIOLATION_EJECTION_MAX_S,
            VIOLATION_EJECTION_BASE_S * 2.0**self._consecutive_violations,
        )
        # The exponent is bounded, since a float overflows.
        self._consecutive_violations = min(8, self._consecutive_violations + 1)
        self.ejected_until_s = max(self.ejected_until_s, now_s + ejection_s)

    def record_refusal(
        self, number: int, now_s: float, ejection_s: float
    ) -> None:
        """Records a refusal, which is most often caused by load.

        A target that refuses a request is likely to refuse the next one, and
        each refusal costs a retry.

        Args:
          number: Number of the request.
          now_s: Current monotonic time.
          ejection_s: Time for which the target is ejected.
        """
        self.pending.pop(number, None)
        self._update_failure_ratio(now_s, 1.0, REFUSAL_WEIGHT)
        self.ejected_until_s = max(self.ejected_until_s, now_s + ejection_s)

    def record_withdrawal(self, number: int) -> None:
        """Records a request that was not sent, which says nothing."""
        self.pending.pop(number, None)

    def record_abandonment(self, number: int, now_s: float) -> None:
        """Records a request that was given up before its reply.

        The age of the request is a lower bound of its latency.
        """
        request = self.pending.get(number)
        if request is None:
            return
        age_s = now_s - request.start_s
        if age_s >= max(
            UNRESPONSIVE_MIN_S, LATENCY_SAMPLE_MAX_RATIO * request.median_s
        ):
            self._update_failure_ratio(now_s, 1.0, REFUSAL_WEIGHT)
            self._decay_s = max(self._decay_s, 2.0 * DECAY_S)
        if age_s > request.median_s * self.slowness(now_s):
            self._record_latency(number, now_s)
        else:
            del self.pending[number]

    def slowness(self, now_s: float) -> float:
        """Returns the average latency as a multiple of the service's median.

        Without new replies the value returns to the expected one.
        """
        if not self._sampled_s:
            return self._expected_slowness
        age_s = now_s - self._sampled_s
        fresh = max(0.0, 1.0 - age_s / self._decay_s)
        return (
            self._expected_slowness
            + (self._slowness - self._expected_slowness) * fresh
        )

    def slowdown(self, now_s: float) -> float:
        """Returns the slowness as a multiple of the expected one."""
        return self.slowness(now_s) / self._expected_slowness

    def overdue_ratio(self, now_s: float) -> float:
        """Returns the largest ratio of a pending request's age to the median.

        The ratio is 0 if no request is pending.
        """
        return max(
            (
                (now_s - request.start_s) / request.median_s
                for request in self.pending.values()
            ),
            default=0.0,
        )

    def failure_ratio(self, now_s: float) -> float:
        """Returns the recent share of failures and refusals, with decay."""
        age_s = now_s - self._failure_ratio_updated_s
        return self._failure_ratio * max(0.0, 1.0 - age_s / self._decay_s)

    def _update_failure_ratio(
        self, now_s: float, value: float, weight: float
    ) -> None:
        current = self.failure_ratio(now_s)
        self._failure_ratio = current + weight * (value - current)
        self._failure_ratio_updated_s = now_s
        if value:
            self._lengthen_decay(now_s)

    def _record_latency(self, number: int, now_s: float) -> None:
        request = self.pending.pop(number, None)
        if request is None:
            return
        ratio = min(
            LATENCY_SAMPLE_MAX_RATIO,
            (now_s - request.start_s) / request.median_s,
        )
        current = self.slowness(now_s)
        if ratio < SLOW_RATIO or not self._may_be_pause(request):
            weight = SLOW_SAMPLE_WEIGHT if ratio > current else SAMPLE_WEIGHT
            self._slowness = current + weight * (ratio - current)
            self._sampled_s = now_s
        if ratio >= SLOW_RATIO:
            self._lengthen_decay(now_s)
        elif self.failure_ratio(now_s) < HEALTHY_FAILURE_RATIO:
            self._incident_start_s = None
            self._decay_s = DECAY_S

    def _may_be_pause(self, request: PendingRequest) -> bool:
        """Returns whether a slow reply may stem from a pause that is over.

        A pause ends with the first slow reply. If a request that was sent after
        it is slow as well, the target itself is slow.
        """
        if self._usual_interval_s > CONFIRMATION_MAX_S:
            return False
        start_s = self._incident_start_s
        return start_s is None or request.start_s < start_s

    def _lengthen_decay(self, now_s: float) -> None:
        if self._incident_start_s is None:
            self._incident_start_s = now_s
        elif now_s - self._incident_start_s > INCIDENT_WINDOW_S:
            self._incident_start_s = now_s
            self._decay_s = min(DECAY_MAX_S, 2.0 * self._decay_s)
