"""Selects replicas by expected latency."""

from collections.abc import Sequence

# Weight of a new sample in the moving average of the latency.
_SMOOTHING_FACTOR = 0.3

# Minimum latency assumed for a target that failed or refused a request, so that
# healthy replicas are preferred. A refused connection fails fast and would
# otherwise look like a fast reply.
FAILED_LATENCY_S = 1.0

# A target that is slower than the others gets one request per probe period, so
# that its recovery is noticed. The period doubles while the target fails.
PROBE_PERIOD_S = 5.0
PROBE_PERIOD_MAX_S = 20.0

# Slow start: the expected latency of a new or recovered target is multiplied by
# up to 1 + SLOW_START_FACTOR; the penalty falls to zero over SLOW_START_S.
SLOW_START_S = 5.0
SLOW_START_FACTOR = 4.0


class _TargetStats:
    __slots__ = (
        "avoid_until_s",
        "failed",
        "in_flight",
        "last_used_s",
        "latency_s",
        "probe_period_s",
        "start_s",
    )

    def __init__(self, now_s: float):
        self.latency_s = 0.0
        self.in_flight = 0
        self.last_used_s = now_s
        self.start_s = now_s
        self.failed = False
        self.avoid_until_s = 0.0
        self.probe_period_s = PROBE_PERIOD_S


class LatencyTracker:
    """Expected latency of each target, measured by this instance."""

    def __init__(self) -> None:
        self._targets: dict[str, _TargetStats] = {}

    def retain(self, target_ids: set[str]) -> None:
        """Drops the targets that the bundle no longer contains."""
        for target_id in self._targets.keys() - target_ids:
            del self._targets[target_id]

    def choose(self, candidates: Sequence[str], now_s: float) -> str:
        """Returns the target with the least expected wait.

        The expected wait is the expected latency times the number of requests
        in flight, including the new one. An idle target that got no request
        for longer than its probe period takes precedence.

        Args:
          candidates: Target ids, at least one.
          now_s: Monotonic time.
        """
        best_id = ""
        best_wait_s = float("inf")
        for target_id in candidates:
            target = self._targets.get(target_id)
            if target is None:
                target = self._targets[target_id] = _TargetStats(now_s)
            if (
                now_s - target.last_used_s > target.probe_period_s
                and target.in_flight == 0
            ):
                return target_id
            wait_s = _expected_wait_s(target, now_s)
            if wait_s < best_wait_s:
                best_id, best_wait_s = target_id, wait_s
        return best_id

    def record_start(self, target_id: str, now_s: float) -> int:
        """Records that a request is sent.

        Returns:
          The number of requests in flight, including the new one.
        """
        target = self._targets.get(target_id)
        if target is None:
            target = self._targets[target_id] = _TargetStats(now_s)
        target.in_flight += 1
        target.last_used_s = now_s
        return target.in_flight

    def record_reply(
        self, target_id: str, elapsed_s: float, queue_depth: int, now_s: float
    ) -> None:
        """Records the latency of a reply.

        Args:
          target_id: The target.
          elapsed_s: Time from sending the request to the reply.
          queue_depth: Return value of `record_start` for this request.
          now_s: Monotonic time.
        """
        target = self._decrement_in_flight(target_id)
        if target is None:
            return
        # The elapsed time includes queueing behind other requests, and `choose`
        # multiplies by the queue depth again. Without this division, busy
        # replicas would look slower than a straggler.
        elapsed_s /= queue_depth
        if target.failed:
            target.failed = False
            target.start_s = now_s
            target.latency_s = elapsed_s
        elif target.latency_s == 0.0:
            target.latency_s = elapsed_s
        else:
            target.latency_s += _SMOOTHING_FACTOR * (
                elapsed_s - target.latency_s
            )
        target.probe_period_s = PROBE_PERIOD_S

    def record_failure(self, target_id: str) -> None:
        """Records a request that got no valid reply."""
        target = self._decrement_in_flight(target_id)
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
        """Records a refusal; avoids the target for up to `retry_after_ms`."""
        target = self._decrement_in_flight(target_id)
        if target is not None:
            wait_s = min(retry_after_ms / 1000, PROBE_PERIOD_S)
            target.avoid_until_s = now_s + wait_s

    def record_cancellation(
        self, target_id: str, elapsed_s: float, queue_depth: int
    ) -> None:
        """Records a cancelled request; see `record_overdue`."""
        self._decrement_in_flight(target_id)
        self.record_overdue(target_id, elapsed_s, queue_depth)

    def record_overdue(
        self, target_id: str, elapsed_s: float, queue_depth: int
    ) -> None:
        """Raises the latency of a target if a request has waited longer.

        The time without a reply is a lower bound of the latency, so it never
        lowers the moving average.
        """
        target = self._targets.get(target_id)
        if target is not None and elapsed_s / queue_depth > target.latency_s:
            target.latency_s += _SMOOTHING_FACTOR * (
                elapsed_s / queue_depth - target.latency_s
            )

    def _decrement_in_flight(self, target_id: str) -> _TargetStats | None:
        target = self._targets.get(target_id)
        if target is not None and target.in_flight:
            target.in_flight -= 1
        return target


def _expected_wait_s(target: _TargetStats, now_s: float) -> float:
    latency_s = target.latency_s or 0.001
    if target.failed or now_s < target.avoid_until_s:
        latency_s = max(latency_s, FAILED_LATENCY_S)
    age_s = now_s - target.start_s
    if age_s < SLOW_START_S:
        latency_s *= 1.0 + SLOW_START_FACTOR * (1.0 - age_s / SLOW_START_S)
    return latency_s * (target.in_flight + 1)
