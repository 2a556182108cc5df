"""Tests of the checks on recorded searches and bookings."""

import copy
from typing import Any

import pytest

from lycheerock_bench import history

SHARD_MAPS = {1: ["s0", "s1"], 2: ["r0"]}


def _row(shard: str, index_version: int = 3) -> dict[str, Any]:
    return {
        "shard": shard,
        "shard_map_version": 1,
        "index_version": index_version,
        "query": "q",
    }


CORRECT_ANSWER: dict[str, Any] = {
    "request_id": "i0.1.1",
    "outcome": "done",
    "error": None,
    "snapshot": {"shard_map_version": 1, "index_version": 3},
    "covered": ["s0"],
    "lacking": [{"shard": "s1", "reason": "deadline"}],
    "results": [_row("s0")],
}
WRONG_ANSWERS: dict[str, dict[str, Any]] = {
    "a shard that is neither covered nor lacking": {"lacking": []},
    "a shard that is covered and lacking": {
        "lacking": [*CORRECT_ANSWER["lacking"], {"shard": "s0"}]
    },
    "shards of another map": {"covered": ["r0"], "results": [_row("r0")]},
    "a covered shard without a row": {"results": []},
    "a duplicate row": {"results": [_row("s0"), _row("s0")]},
    "a row of another snapshot": {"results": [_row("s0", 2)]},
    "a row of another query": {"results": [_row("s0") | {"query": "x"}]},
}


def _booking(key: str, outcome: str, start_s: float) -> history.Booking:
    results = [{"request_key": key}] if outcome == "done" else []
    return history.Booking(
        key, start_s, {"outcome": outcome, "results": results}
    )


class TestCheckSearches:
    """Every kind of wrong answer is reported."""

    def test_correct_answer_passes(self) -> None:
        # Guards against violations reported for a correct history.
        violations = history.check_searches(
            [history.Search("q", CORRECT_ANSWER)], SHARD_MAPS
        )
        assert not violations

    @pytest.mark.parametrize("name", WRONG_ANSWERS)
    def test_wrong_answer_is_reported(self, name: str) -> None:
        # Guards against a check that misses a wrong answer.
        answer = copy.deepcopy(CORRECT_ANSWER) | WRONG_ANSWERS[name]
        assert history.check_searches([history.Search("q", answer)], SHARD_MAPS)


class TestCheckBookings:
    """Every outcome that disagrees with the journals is reported."""

    def test_correct_outcomes_pass(self) -> None:
        # Guards against violations reported for a correct history.
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
        # Guards against a check that misses a duplicate run or a wrong outcome.
        bookings = [
            _booking("a", outcome, 1.0 + index)
            for index, outcome in enumerate(outcomes)
        ]
        runs = [history.Run("a", time_s) for time_s in run_times]
        assert history.check_bookings(bookings, runs)

    def test_answer_of_another_key_is_reported(self) -> None:
        # Guards against a check that misses swapped answers.
        answer = _booking("b", "done", 1.0).answer
        bookings = [history.Booking("a", 1.0, answer)]
        assert history.check_bookings(bookings, [history.Run("a", 2.0)])
