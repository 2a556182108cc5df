"""Which replica of a shard gets the next request."""

from collections.abc import Sequence

# Weight of a new measurement in the expected latency.
_WEIGHT = 0.3

# Latency assumed of a target that has failed, so that replicas that work go
# first; a refused connection is fast and would look attractive otherwise.
FAILED_LATENCY_S = 1.0

# A target that others outdo gets one request per period, so that its recovery
# is noticed. The period doubles while it fails.
PROBE_PERIOD_S = 5.0
PROBE_PERIOD_MAX_S = 20.0

# A new or returned target starts with a handicap that shrinks to nothing.
SLOW_START_S = 5.0
SLOW_START_FACTOR = 4.0


class _Target:
    __slots__ = (
        "chosen_s",
        "failed",
        "in_flight",
        "latency_s",
        "not_before_s",
        "probe_period_s",
        "start_s",
    )

    def __init__(self, now_s: float):
        self.latency_s = 0.0
        self.in_flight = 0
        self.chosen_s = now_s
        self.start_s = now_s
        self.failed = False
        self.not_before_s = 0.0
        self.probe_period_s = PROBE_PERIOD_S


class LatencyTracker:
    """Expected latency of each target, from this instance's own requests."""

    def __init__(self) -> None:
        self._targets: dict[str, _Target] = {}

    def retain(self, target_ids: set[str]) -> None:
        """Forgets the targets that the bundle no longer has."""
        for target_id in self._targets.keys() - target_ids:
            del self._targets[target_id]

    def choose(self, candidates: Sequence[str], now_s: float) -> str:
        """Returns the target with the least expected wait.

        The wait is the expected latency times the requests in flight, with the
        new one counted. A replica that has had no request for its probe period
        is taken instead.

        Args:
          candidates: Target ids, at least one.
          now_s: Monotonic time.
        """
        best_id = ""
        best_wait_s = float("inf")
        for target_id in candidates:
            target = self._targets.get(target_id)
            if target is None:
                target = self._targets[target_id] = _Target(now_s)
            if (
                now_s - target.chosen_s > target.probe_period_s
                and target.in_flight == 0
            ):
                return target_id
            wait_s = _expected_wait_s(target, now_s)
            if wait_s < best_wait_s:
                best_id, best_wait_s = target_id, wait_s
        return best_id

    def record_start(self, target_id: str, now_s: float) -> int:
        """Counts a request that is being sent.

        Returns:
          The requests in flight, with the new one counted.
        """
        target = self._targets.get(target_id)
        if target is None:
            target = self._targets[target_id] = _Target(now_s)
        target.in_flight += 1
        target.chosen_s = now_s
        return target.in_flight

    def record_reply(
        self, target_id: str, elapsed_s: float, depth: int, now_s: float
    ) -> None:
        """Takes the latency of a reply.

        Args:
          target_id: The target.
          elapsed_s: Time from sending the request to the reply.
          depth: What `record_start` returned.
          now_s: Monotonic time.
        """
        target = self._release(target_id)
        if target is None:
            return
        # The wait behind other requests is in the measured time, and `choose`
        # multiplies by the queue again; without this division busy replicas
        # look slower than a straggler.
        elapsed_s /= depth
        if target.failed:
            target.failed = False
            target.start_s = now_s
            target.latency_s = elapsed_s
        elif target.latency_s == 0.0:
            target.latency_s = elapsed_s
        else:
            target.latency_s += _WEIGHT * (elapsed_s - target.latency_s)
        target.probe_period_s = PROBE_PERIOD_S

    def record_failure(self, target_id: str) -> None:
        """Counts a request that got no usable reply."""
        target = self._release(target_id)
        if target is None:
            return
        if target.failed:
            target.probe_period_s = min(
                2 * target.probe_period_s, PROBE_PERIOD_MAX_S
            )
        target.failed = True

    def record_refusal(
        self, target_id: str, retry_after_ms: int, now_s: float
    ) -> None:
        """Counts a request that was refused because of load."""
        target = self._release(target_id)
        if target is not None:
            wait_s = min(retry_after_ms / 1000, PROBE_PERIOD_S)
            target.not_before_s = now_s + wait_s

    def record_cancellation(
        self, target_id: str, elapsed_s: float, depth: int
    ) -> None:
        """Counts a request that was given up; it would have taken longer."""
        self._release(target_id)
        self.record_overdue(target_id, elapsed_s, depth)

    def record_overdue(
        self, target_id: str, elapsed_s: float, depth: int
    ) -> None:
        """Takes the time that a request has waited without a reply so far."""
        target = self._targets.get(target_id)
        if target is not None and elapsed_s / depth > target.latency_s:
            target.latency_s += _WEIGHT * (elapsed_s / depth - target.latency_s)

    def _release(self, target_id: str) -> _Target | None:
        target = self._targets.get(target_id)
        if target is not None and target.in_flight:
            target.in_flight -= 1
        return target


def _expected_wait_s(target: _Target, now_s: float) -> float:
    latency_s = target.latency_s or 0.001
    if target.failed or now_s < target.not_before_s:
        latency_s = max(latency_s, FAILED_LATENCY_S)
    age_s = now_s - target.start_s
    if age_s < SLOW_START_S:
        latency_s *= 1.0 + SLOW_START_FACTOR * (1.0 - age_s / SLOW_START_S)
    return latency_s * (target.in_flight + 1)
