"""Checks which bundles the answers of a run were given under."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import itertools
from typing import Any

CONTACT_LIMIT_S = 3.0


@dataclasses.dataclass(frozen=True)
class AnswerSeen:
    """An answer of an instance that admitted the request.

    Attributes:
      instance_id: Instance that answered.
      sent_s: Monotonic time before the request was sent.
      received_s: Monotonic time after the answer came.
      bundle_number: Number in the answer.
    """

    instance_id: str
    sent_s: float
    received_s: float
    bundle_number: int


@dataclasses.dataclass(frozen=True)
class Acceptance:
    """A write of the platform that put a bundle in force."""

    time_s: float
    number: int


def read_acceptances(writes: Iterable[dict[str, Any]]) -> list[Acceptance]:
    """Finds the acceptances among the writes that the platform recorded."""
    acceptances: list[Acceptance] = []
    highest = 0
    for write in writes:
        number = write["value"].get("in_force", 0)
        if write["kind"] == "rollout" and number != highest:
            acceptances.append(Acceptance(write["time_s"], number))
            highest = number
    return acceptances


def check(
    answers: Sequence[AnswerSeen],
    acceptances: Sequence[Acceptance],
    signed_numbers: Iterable[int],
) -> list[str]:
    """Checks a history.

    Args:
      answers: Answers in any order.
      acceptances: Acceptances in the order of the platform.
      signed_numbers: Numbers that were signed.

    Returns:
      Every violation; empty if the history is correct.
    """
    return [
        *_old_answers(answers, acceptances),
        *_unaccepted_answers(answers, acceptances),
        *_falling_numbers(answers),
        *_wrong_acceptances(acceptances, frozenset(signed_numbers)),
    ]


def _old_answers(
    answers: Iterable[AnswerSeen], acceptances: Sequence[Acceptance]
) -> Iterator[str]:
    for answer in answers:
        for acceptance in acceptances:
            age_s = answer.sent_s - acceptance.time_s
            is_older = answer.bundle_number < acceptance.number
            if is_older and age_s > CONTACT_LIMIT_S:
                yield (
                    f"{answer.instance_id} admitted a request under "
                    f"{answer.bundle_number}, {age_s:.2f} s after "
                    f"{acceptance.number} was accepted"
                )


def _unaccepted_answers(
    answers: Iterable[AnswerSeen], acceptances: Sequence[Acceptance]
) -> Iterator[str]:
    accepted_s = {a.number: a.time_s for a in acceptances}
    for answer in answers:
        time_s = accepted_s.get(answer.bundle_number)
        if time_s is None or answer.received_s < time_s:
            yield (
                f"{answer.instance_id} answered under {answer.bundle_number} "
                "before it was accepted"
            )


def _falling_numbers(answers: Iterable[AnswerSeen]) -> Iterator[str]:
    ordered = sorted(answers, key=lambda a: (a.instance_id, a.received_s))
    for name, group in itertools.groupby(ordered, lambda a: a.instance_id):
        highest: AnswerSeen | None = None
        for answer in group:
            if (
                highest is not None
                and answer.bundle_number < highest.bundle_number
                and answer.sent_s > highest.received_s
            ):
                yield (
                    f"{name} went from {highest.bundle_number} back to "
                    f"{answer.bundle_number}"
                )
            if highest is None or answer.bundle_number > highest.bundle_number:
                highest = answer


def _wrong_acceptances(
    acceptances: Sequence[Acceptance], signed_numbers: frozenset[int]
) -> Iterator[str]:
    for before, after in itertools.pairwise(acceptances):
        if after.number <= before.number:
            yield f"{after.number} was accepted after {before.number}"
    for acceptance in acceptances:
        if acceptance.number not in signed_numbers:
            yield f"{acceptance.number} was accepted without a sign-off"
