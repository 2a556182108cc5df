"""Tests of the gateway's decisions under patterns of load."""

import collections
import os
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from lycheerock._internal.gateway import retry_budget
from lycheerock._internal.gateway import search
from lycheerock._internal.gateway import timing
from lycheerock._internal.lifecycle import log_stream
from lycheerock._internal.routing import split
from lycheerock._internal.routing import table
from lycheerock._internal.targets import choice
from lycheerock._internal.targets import evidence as evidence_lib
from lycheerock._internal.targets import latency

USUAL_S = 0.02
_Distance = choice.Distance


def make_route(**changes: object) -> table.Route:
    values: dict[str, object] = {
        "name": "r",
        "host": "h.example",
        "path_prefix": "/a/",
        "is_idempotent": True,
        "timeout_s": 1.0,
        "objective_s": 0.175,
        "attempts_max": 2,
        "services": (),
        "scatter": None,
    }
    return table.Route(**(values | changes))  # type: ignore[arg-type]


class Shard:
    """Three targets of one shard, one of them near, and a clock."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.latency_s = {"near": 0.02, "far1": 0.042, "far2": 0.046}
        self.candidates = [
            choice.Candidate(
                name,
                evidence_lib.Evidence(choice.EXPECTED_SLOWNESS[distance]),
                distance,
                3,
                is_warming=False,
            )
            for name, distance in (
                ("near", _Distance.SAME_ZONE),
                ("far1", _Distance.OTHER_REGION),
                ("far2", _Distance.OTHER_REGION),
            )
        ]

    def evidence(self, name: str) -> evidence_lib.Evidence:
        return next(c.evidence for c in self.candidates if c.target_id == name)

    def choose(self, *tried: str) -> str | None:
        return choice.choose(self.candidates, self.now_s, tried)

    def serve(self, count: int, period_s: float = 0.1) -> collections.Counter:
        """Serves requests one after the other and counts the targets."""
        chosen: collections.Counter = collections.Counter()
        for _ in range(count):
            name = self.choose()
            assert name is not None
            chosen[name] += 1
            flight = self.evidence(name).started(self.now_s, USUAL_S)
            self.evidence(name).answered(
                flight, self.now_s + self.latency_s[name]
            )
            self.now_s += period_s
        return chosen


class TestChoiceOfTarget:
    """Which target gets a request."""

    def test_calm_load_stays_near(self) -> None:
        # Pattern: all targets sound. Guards against bytes between regions that
        # nobody needed.
        assert Shard().serve(200) == {"near": 200}

    def test_slow_target_is_left(self) -> None:
        # Pattern: the near target works nine times as long for eight seconds.
        # Guards against searches that all wait for it.
        shard = Shard()
        shard.serve(20)
        shard.latency_s["near"] = 9 * 0.02
        chosen = shard.serve(80)
        assert chosen["near"] <= 16
        shard.latency_s["near"] = 0.02
        shard.serve(60)
        assert shard.serve(20)["near"] >= 16

    def test_slow_target_is_left_at_a_low_rate(self) -> None:
        # Pattern: one request in 0.6 s, as each of many instances has, while
        # the near target works eight times as long for twelve seconds. Guards
        # against a target that is tried again and again as if one slow reply
        # told nothing.
        shard = Shard()
        shard.serve(10, period_s=0.6)
        shard.latency_s["near"] = 8 * 0.02
        assert shard.serve(20, period_s=0.6)["near"] <= 4
        shard.latency_s["near"] = 0.02
        shard.serve(20, period_s=0.6)
        assert shard.serve(20, period_s=0.6)["near"] >= 16

    def test_silent_target_is_left_at_a_low_rate(self) -> None:
        # Pattern: the near target goes dark for five seconds; one request in
        # 0.6 s, given up after 0.46 s. Guards against hedges for requests to a
        # target that has shown to be gone.
        shard = Shard()
        shard.serve(10, period_s=0.6)
        silent = 0
        for _ in range(8):
            name = shard.choose()
            assert name is not None
            evidence = shard.evidence(name)
            flight = evidence.started(shard.now_s, USUAL_S)
            if name == "near":
                silent += 1
                evidence.dropped(flight, shard.now_s + 0.46)
            else:
                evidence.answered(flight, shard.now_s + 0.04)
            shard.now_s += 0.6
        assert silent <= 1
        shard.serve(20, period_s=0.6)
        assert shard.serve(20, period_s=0.6)["near"] >= 16

    def test_stopped_target_is_avoided_at_once(self) -> None:
        # Pattern: a pause of 200 ms. Guards against sending the next requests
        # to a target that has not answered the last one.
        shard = Shard()
        shard.serve(20)
        near = shard.evidence("near")
        flight = near.started(shard.now_s, USUAL_S)
        shard.now_s += 0.08
        assert shard.choose() != "near"
        shard.now_s += 0.12
        near.answered(flight, shard.now_s)
        shard.now_s += 1.5
        assert shard.serve(30)["near"] >= 25

    def test_failing_target_gets_few_requests(self) -> None:
        # Pattern: a target fails every request while its listing is good.
        # Guards against retries that use up the budget.
        shard = Shard()
        chosen = 0
        for _ in range(100):
            name = shard.choose()
            assert name is not None
            evidence = shard.evidence(name)
            flight = evidence.started(shard.now_s, USUAL_S)
            if name == "near":
                chosen += 1
                evidence.failed(flight, shard.now_s + 0.001)
            else:
                evidence.answered(flight, shard.now_s + 0.04)
            shard.now_s += 0.1
        assert chosen <= 8

    def test_shedding_target_gets_few_requests(self) -> None:
        # Pattern: the near target refuses every second request for ten seconds
        # and is sound again. Guards against first attempts that are refused
        # and use up the budget, and against a target that is never tried again.
        shard = Shard()
        refused = 0
        for number in range(200):
            name = shard.choose()
            assert name is not None
            evidence = shard.evidence(name)
            flight = evidence.started(shard.now_s, USUAL_S)
            if name == "near" and number % 2:
                refused += 1
                evidence.refused(flight, shard.now_s, 0.1)
            else:
                latency_s = shard.latency_s[name]
                evidence.answered(flight, shard.now_s + latency_s)
            shard.now_s += 0.05
        assert refused <= 20
        shard.serve(160)
        assert shard.serve(20)["near"] >= 16

    def test_all_targets_failing_are_still_tried(self) -> None:
        # Pattern: every target of a shard went dark and came back. Guards
        # against a shard that nobody asks any more.
        shard = Shard()
        for _ in range(5):
            for candidate in shard.candidates:
                flight = candidate.evidence.started(shard.now_s, USUAL_S)
                candidate.evidence.failed(flight, shard.now_s)
        assert shard.choose() is not None

    def test_busy_near_target_shares_its_load(self) -> None:
        # Pattern: a burst. Guards against a queue at one target while others
        # are idle.
        shard = Shard()
        for _ in range(12):
            name = shard.choose()
            assert name is not None
            shard.evidence(name).started(shard.now_s, USUAL_S)
        assert min(c.evidence.in_flight for c in shard.candidates) >= 1
        assert shard.evidence("near").in_flight <= 8

    def test_tried_targets_are_not_tried_again(self) -> None:
        # Guards against a second send to the target that has just failed.
        shard = Shard()
        assert shard.choose("near", "far1") == "far2"
        assert shard.choose("near", "far1", "far2") is None


class TestRetryBudget:
    """Repeated requests stay within the bound without calls between instances.

    The bound: in 10 s a service gets at most 0.2 of its requests on top, plus
    a fixed allowance, from all instances together.
    """

    @pytest.mark.parametrize("instance_count", [1, 4, 8])
    def test_all_requests_need_a_repeat(self, instance_count: int) -> None:
        # Pattern: every first request fails for a whole window, and instances
        # lose and restart. Guards against a sum over the bound.
        terms = retry_budget.BudgetTerms(0.2, 52.0)
        rng = random.Random(1)
        instances = [make_budgets(terms) for _ in range(instance_count)]
        repeats = 0
        for number in range(900):
            if number == 450:
                # Half of the instances restart with full buckets.
                half = len(instances) // 2
                instances[:half] = [make_budgets(terms) for _ in range(half)]
            budgets = rng.choice(instances)
            budgets.add_request("s")
            repeats += budgets.take("s", for_hedge=False)
        assert repeats <= 0.2 * 900 + 52
        assert repeats >= 0.1 * 900

    def test_early_hedges_end_before_the_others(self) -> None:
        # Pattern: pauses of single targets turn into a fault of many. Guards
        # against early hedges that leave none for requests that need one.
        budgets = make_budgets(retry_budget.BudgetTerms(0.2, 52.0))
        early = 0
        while budgets.has_plenty("s"):
            early += budgets.take("s", for_hedge=True)
        later = 0
        while budgets.take("s", for_hedge=True):
            later += 1
        assert later >= 2 * early >= 2

    def test_hedges_leave_tokens_to_retries(self) -> None:
        # Guards against hedges that only save time using up what would have
        # saved a shard of the answer.
        budgets = make_budgets(retry_budget.BudgetTerms(0.2, 52.0))
        while budgets.take("s", for_hedge=True):
            pass
        assert budgets.take("s", for_hedge=False)


def make_budgets(terms: retry_budget.BudgetTerms) -> retry_budget.RetryBudgets:
    budgets = retry_budget.RetryBudgets(terms)
    budgets.share(8)
    return budgets


class TestTimes:
    """When a request is hedged, answered partly and given up."""

    def test_first_attempt(self) -> None:
        # Guards against a second send that comes too late to be in time.
        times = timing.plan(make_route(), 10.0, 1.0, 0.0, 0.02)
        assert 10.0 + 0.15 < times.answer_by_s < 10.0 + 0.175
        assert times.hedge_delay_s < 0.07
        assert times.deadline_s <= 11.0

    def test_second_attempt_has_less_time(self) -> None:
        # Pattern: a caller's first attempt failed after 100 ms. Guards against
        # an answer that is in time for this attempt but late for the caller.
        patience = timing.CallerPatience()
        assert patience.passed_s("r", 1.0) == 0.0
        passed_s = patience.passed_s("r", 0.9)
        times = timing.plan(make_route(), 10.0, 0.9, passed_s, 0.02)
        assert times.answer_by_s < 10.0 + 0.075

    def test_no_time_left(self) -> None:
        # Guards against negative waits for a caller that is about to leave.
        times = timing.plan(make_route(), 10.0, 0.004, 0.99, 0.02)
        assert times.deadline_s == 10.0
        assert times.answer_by_s == 10.0


class TestMerge:
    """The greatest records of all parts, greatest first."""

    @given(
        strategies.lists(strategies.binary(max_size=70), max_size=6),
        strategies.integers(1, 8),
    )
    def test_equals_a_full_sort(self, parts: list[bytes], top: int) -> None:
        # Guards against lost equal records and against a rest that is taken
        # for a record.
        records = sorted(
            (
                part[i : i + 16]
                for part in parts
                for i in range(0, len(part) // 16 * 16, 16)
            ),
            reverse=True,
        )
        assert search.merge(parts, top) == b"".join(records[:top])


class TestRoutes:
    """Which route and which service a request takes."""

    def test_longest_prefix_of_the_host_wins(self) -> None:
        # Guards against a request that runs at the service of another route.
        routes = table.RouteTable(
            1,
            (
                make_route(name="short"),
                make_route(name="long", path_prefix="/a/b/"),
                make_route(name="other", host="i.example"),
            ),
            {},
            table.CallerLimits(),
        )
        found = [
            routes.find("H.example:80", "/a/x"),
            routes.find("h.example", "/a/b/x?y=/a/"),
            routes.find("i.example", "/a/b/x"),
        ]
        names = [route and route.name for route in found]
        assert names == ["short", "long", "other"]
        assert routes.find("h.example", "/b/") is None
        assert routes.find("", "/a/") is None

    @given(strategies.lists(strategies.integers(1, 9), min_size=2, max_size=4))
    def test_split_keeps_its_weights(self, weights: list[int]) -> None:
        # Guards against shares that drift from the weights in a short window.
        route = make_route(
            services=tuple(
                table.WeightedService(f"s{i}", w) for i, w in enumerate(weights)
            )
        )
        rotation = split.WeightedRotation()
        total = sum(weights)
        counts = collections.Counter(
            rotation.next(route) for _ in range(3 * total)
        )
        for index, weight in enumerate(weights):
            assert counts[f"s{index}"] == 3 * weight

    def test_required_parts(self) -> None:
        # Guards against rounding that demands one shard more than the route.
        for share, count, needed in (
            (0.89, 10, 9),
            (0.7, 10, 7),
            (0.75, 10, 8),
            (0.0, 10, 1),
            (1.0, 3, 3),
        ):
            rule = table.ScatterRule(tuple("abcdefghij"[:count]), 5, share)
            assert rule.part_count_min == needed


class TestLatencyWindow:
    """The usual latency follows the replies."""

    def test_follows_a_change(self) -> None:
        # Guards against hedges that are timed by the load of a minute ago.
        window = latency.LatencyWindow()
        for _ in range(200):
            window.observe(0.01)
        assert window.usual_s == pytest.approx(0.01)
        for _ in range(100):
            window.observe(0.05)
        assert window.usual_s == pytest.approx(0.05)


class TestLogStream:
    """Logging never blocks, also when nobody reads."""

    def test_lines_are_dropped_and_counted(self) -> None:
        # Guards against a process that stops serving because its log is full.
        reader, writer = os.pipe()
        stream = log_stream.NonBlockingStream(writer)
        for _ in range(10_000):
            stream.write("x" * 99 + "\n")
            stream.flush()
        assert stream.dropped_count > 0
        os.set_blocking(reader, False)
        read = b""
        while b"log_lines_dropped" not in read:
            read += os.read(reader, 65_536)
            stream.flush()
        os.close(reader)
        os.close(writer)
