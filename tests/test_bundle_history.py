"""Tests of the checks on bundle numbers in recorded answers."""

import pytest

from lycheerock_bench._internal import bundle_history

ACCEPTANCES = [
    bundle_history.Acceptance(0.0, 1),
    bundle_history.Acceptance(10.0, 2),
]
SIGNED = (1, 2)


def make_answer(
    number: int, sent_s: float, name: str = "i0"
) -> bundle_history.ObservedAnswer:
    return bundle_history.ObservedAnswer(name, sent_s, sent_s + 0.1, number)


class TestCheck:
    """Each kind of violation is reported, and a correct history passes."""

    def test_correct_history_passes(self) -> None:
        # Guards against a check that reports answers within the time limit.
        answers = [
            make_answer(1, 5.0),
            make_answer(2, 10.5),
            make_answer(1, 12.9, "i1"),
        ]
        assert not bundle_history.check(answers, ACCEPTANCES, SIGNED)

    @pytest.mark.parametrize(
        ("answers", "problem"),
        [
            ([make_answer(1, 13.1)], "after 2 was accepted"),
            ([make_answer(2, 9.0)], "before it was accepted"),
            ([make_answer(3, 11.0)], "before it was accepted"),
            (
                [make_answer(2, 11.0), make_answer(1, 11.5)],
                "went from 2 back to 1",
            ),
        ],
    )
    def test_wrong_answers_are_reported(
        self, answers: list[bundle_history.ObservedAnswer], problem: str
    ) -> None:
        # Guards against a check that accepts outdated, unaccepted or decreasing
        # bundle numbers.
        violations = bundle_history.check(answers, ACCEPTANCES, SIGNED)
        assert any(problem in violation for violation in violations), violations

    def test_unsigned_and_decreasing_acceptances_are_reported(self) -> None:
        # Guards against a check that trusts the platform's writes.
        decreasing = [*ACCEPTANCES, bundle_history.Acceptance(20.0, 1)]
        assert bundle_history.check([], decreasing, SIGNED)
        assert bundle_history.check([], ACCEPTANCES, (1,))
