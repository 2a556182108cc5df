"""Tests of the checker of recorded answers."""

import pytest

from lycheerock_bench._internal import bundle_history

ACCEPTANCES = [
    bundle_history.Acceptance(0.0, 1),
    bundle_history.Acceptance(10.0, 2),
]
SIGNED = (1, 2)


def seen(
    number: int, sent_s: float, name: str = "i0"
) -> bundle_history.AnswerSeen:
    return bundle_history.AnswerSeen(name, sent_s, sent_s + 0.1, number)


class TestCheck:
    """Each kind of violation is found, and a correct history passes."""

    def test_correct_history_passes(self) -> None:
        # Guards against a checker that reports answers within the limit.
        answers = [seen(1, 5.0), seen(2, 10.5), seen(1, 12.9, "i1")]
        assert not bundle_history.check(answers, ACCEPTANCES, SIGNED)

    @pytest.mark.parametrize(
        ("answers", "problem"),
        [
            ([seen(1, 13.1)], "after 2 was accepted"),
            ([seen(2, 9.0)], "before it was accepted"),
            ([seen(3, 11.0)], "before it was accepted"),
            ([seen(2, 11.0), seen(1, 11.5)], "went from 2 back to 1"),
        ],
    )
    def test_wrong_answers_are_found(
        self, answers: list[bundle_history.AnswerSeen], problem: str
    ) -> None:
        # Guards against a checker that accepts old, early or falling numbers.
        found = bundle_history.check(answers, ACCEPTANCES, SIGNED)
        assert any(problem in line for line in found), found

    def test_unsigned_and_falling_acceptances_are_found(self) -> None:
        # Guards against a checker that trusts the platform's writes.
        falling = [*ACCEPTANCES, bundle_history.Acceptance(20.0, 1)]
        assert bundle_history.check([], falling, SIGNED)
        assert bundle_history.check([], ACCEPTANCES, (1,))
