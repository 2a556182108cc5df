"""Tests of replica choice, the hedge delay and the token bucket."""

from hypothesis import given
from hypothesis import strategies

from lycheerock._internal.query import budgets
from lycheerock._internal.query import replicas


def _record_request(
    tracker: replicas.LatencyTracker, target_id: str, elapsed_s: float
) -> None:
    tracker.record_start(target_id, 0.0)
    tracker.record_reply(target_id, elapsed_s, 1, 0.0)


class TestLatencyTracker:
    """Requests go to the replica with the least expected wait."""

    def test_slow_replica_gets_only_periodic_probes(self) -> None:
        # Guards against a slow replica that keeps its share of the requests,
        # and against one whose recovery is never noticed.
        tracker = replicas.LatencyTracker()
        _record_request(tracker, "slow", 0.5)
        _record_request(tracker, "fast", 0.01)
        chosen = []
        for tick in range(1, 1201):
            now_s = tick / 100
            target_id = tracker.choose(["slow", "fast"], now_s)
            tracker.record_start(target_id, now_s)
            elapsed_s = 0.5 if target_id == "slow" else 0.01
            tracker.record_reply(target_id, elapsed_s, 1, now_s)
            chosen.append(target_id)
        assert chosen.count("slow") == 2

    def test_requests_in_flight_make_a_replica_less_preferred(self) -> None:
        # Guards against sending all shard requests of a search to one replica.
        tracker = replicas.LatencyTracker()
        _record_request(tracker, "a", 0.01)
        _record_request(tracker, "b", 0.015)
        chosen = []
        for _ in range(10):
            target_id = tracker.choose(["a", "b"], 0.1)
            tracker.record_start(target_id, 0.1)
            chosen.append(target_id)
        assert chosen.count("a") == 6

    def test_queueing_time_is_not_counted_twice(self) -> None:
        # Guards against busy replicas that look slower than a straggler.
        tracker = replicas.LatencyTracker()
        _record_request(tracker, "slow", 0.1)
        for depth in range(1, 9):
            assert tracker.record_start("busy", 0.0) == depth
        for depth in range(1, 9):
            tracker.record_reply("busy", 0.005 * depth, depth, 0.0)
        for _ in range(8):
            assert tracker.choose(["slow", "busy"], 0.1) == "busy"
            tracker.record_start("busy", 0.1)

    def test_replica_that_fails_fast_is_avoided(self) -> None:
        # Guards against a refused connection that looks like a fast reply.
        tracker = replicas.LatencyTracker()
        _record_request(tracker, "b", 0.2)
        tracker.record_start("a", 0.0)
        tracker.record_failure("a")
        assert tracker.choose(["a", "b"], 0.1) == "b"

    def test_cancelled_request_raises_the_latency(self) -> None:
        # Guards against a replica that looks fast because all of its requests
        # were cancelled.
        tracker = replicas.LatencyTracker()
        _record_request(tracker, "b", 0.02)
        tracker.record_start("a", 0.0)
        tracker.record_cancellation("a", 1.0, 1)
        assert tracker.choose(["a", "b"], 0.1) == "b"

    def test_overdue_request_raises_the_latency_before_its_reply(self) -> None:
        # Guards against sending more searches to a replica that has just become
        # slow.
        tracker = replicas.LatencyTracker()
        _record_request(tracker, "a", 0.01)
        _record_request(tracker, "b", 0.03)
        tracker.record_start("a", 0.0)
        tracker.record_overdue("a", 0.2, 1)
        assert tracker.choose(["a", "b"], 0.1) == "b"

    def test_recovered_replica_gets_slow_start(self) -> None:
        # Guards against full load on a target that has just recovered.
        tracker = replicas.LatencyTracker()
        tracker.record_start("a", 0.0)
        tracker.record_failure("a")
        _record_request(tracker, "b", 0.01)
        tracker.record_start("a", 100.0)
        tracker.record_reply("a", 0.01, 1, 100.0)
        tracker.record_start("b", 100.0)
        tracker.record_reply("b", 0.01, 1, 100.0)
        chosen = []
        for _ in range(12):
            target_id = tracker.choose(["a", "b"], 100.0)
            tracker.record_start(target_id, 100.0)
            chosen.append(target_id)
        assert chosen.count("a") == 2


class TestTokenBucket:
    """Extra requests are limited to a ratio of first attempts."""

    @given(
        strategies.floats(0.0, 1.0),
        strategies.lists(strategies.integers(0, 50), max_size=60),
    )
    def test_extra_requests_stay_within_the_ratio(
        self, ratio: float, searches: list[int]
    ) -> None:
        # Guards against hedges and retries that multiply the load on targets.
        bucket = budgets.TokenBucket(ratio, budgets.capacity_for(ratio, 50))
        first_count = extra_count = 0
        for count in searches:
            bucket.add_first_attempts(count)
            first_count += count
            extra_count += sum(bucket.take() for _ in range(20))
        allowed = budgets.TOKENS_MIN + ratio * first_count
        assert extra_count <= (allowed + 1e-6 if ratio else 0)

    def test_hedges_leave_tokens_to_retries(self) -> None:
        # Guards against hedges that use up the tokens for retries.
        bucket = budgets.TokenBucket(0.05, budgets.capacity_for(0.05, 6))
        while bucket.has_token(for_hedge=True):
            assert bucket.take()
        assert bucket.has_token(for_hedge=False)


class TestHedgeDelay:
    """The hedge delay is the recent 95th percentile of latencies."""

    def test_delay_follows_recent_replies_only(self) -> None:
        # Guards against a delay that old replies influence indefinitely.
        delay = budgets.HedgeDelay()
        for number in range(600):
            delay.observe(1.0 + number / 1000)
        for number in range(600):
            delay.observe(0.001 * (number % 100 + 1))
        assert 0.094 <= delay.delay_s <= 0.096
