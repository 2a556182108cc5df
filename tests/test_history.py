"""Tests that the history checker sees each kind of violation."""

import copy
from typing import Any

import pytest

from lycheerock_bench import history

MAPS = {1: ["s0", "s1"], 2: ["r0"]}


def _row(shard: str, index_version: int = 3) -> dict[str, Any]:
    return {
        "shard": shard,
        "shard_map_version": 1,
        "index_version": index_version,
        "query": "q",
    }


GOOD_SEARCH: dict[str, Any] = {
    "request_id": "i0.1.1",
    "outcome": "done",
    "error": None,
    "snapshot": {"shard_map_version": 1, "index_version": 3},
    "covered": ["s0"],
    "lacking": [{"shard": "s1", "reason": "deadline"}],
    "results": [_row("s0")],
}
BROKEN_SEARCHES: dict[str, dict[str, Any]] = {
    "a shard that nothing accounts for": {"lacking": []},
    "a shard that is covered and lacking": {
        "lacking": [*GOOD_SEARCH["lacking"], {"shard": "s0"}]
    },
    "shards of another map": {"covered": ["r0"], "results": [_row("r0")]},
    "a covered shard without rows": {"results": []},
    "rows twice": {"results": [_row("s0"), _row("s0")]},
    "a row of another snapshot": {"results": [_row("s0", 2)]},
    "a row of another query": {"results": [_row("s0") | {"query": "x"}]},
}


def _booking(key: str, outcome: str, start_s: float) -> history.Booking:
    results = [{"request_key": key}] if outcome == "done" else []
    return history.Booking(
        key, start_s, {"outcome": outcome, "results": results}
    )


class TestCheckSearches:
    """Every broken answer is reported."""

    def test_truthful_answer_passes(self) -> None:
        # Guards against a checker that reports everything.
        found = history.check_searches([history.Search("q", GOOD_SEARCH)], MAPS)
        assert not found

    @pytest.mark.parametrize("name", BROKEN_SEARCHES)
    def test_broken_answer_is_reported(self, name: str) -> None:
        # Guards against a checker that misses a mixed or wrong answer.
        answer = copy.deepcopy(GOOD_SEARCH) | BROKEN_SEARCHES[name]
        assert history.check_searches([history.Search("q", answer)], MAPS)


class TestCheckBookings:
    """Outcomes must agree with the journals."""

    def test_truthful_outcomes_pass(self) -> None:
        # Guards against a checker that reports everything.
        bookings = [
            _booking("a", "not_run", 1.0),
            _booking("a", "done", 2.0),
            _booking("a", "done", 4.0),
            _booking("b", "unknown", 1.0),
            _booking("c", "unknown", 1.0),
            _booking("d", "not_run", 1.0),
            history.Booking("e", 1.0, None),
        ]
        runs = [history.Run("a", 3.0), history.Run("b", 3.0)]
        runs.append(history.Run("e", 1.5))
        assert not history.check_bookings(bookings, runs)

    @pytest.mark.parametrize(
        ("outcomes", "run_times"),
        [
            (["done"], [1.5, 1.6]),
            (["unknown", "unknown"], [1.5, 2.5]),
            (["done"], []),
            (["not_run"], [1.5]),
            (["unknown", "not_run"], [1.5]),
        ],
    )
    def test_wrong_outcome_is_reported(
        self, outcomes: list[str], run_times: list[float]
    ) -> None:
        # Guards against a checker that misses a double run or a wrong outcome.
        bookings = [
            _booking("a", outcome, 1.0 + index)
            for index, outcome in enumerate(outcomes)
        ]
        runs = [history.Run("a", time_s) for time_s in run_times]
        assert history.check_bookings(bookings, runs)

    def test_answer_of_another_key_is_reported(self) -> None:
        # Guards against a checker that misses swapped answers.
        answer = _booking("b", "done", 1.0).answer
        bookings = [history.Booking("a", 1.0, answer)]
        assert history.check_bookings(bookings, [history.Run("a", 2.0)])
