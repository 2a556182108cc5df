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
from lycheerock._internal.targets import latency


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
