"""Checks the bundle numbers in the answers that a run recorded."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import itertools
from typing import Any

# An instance may admit requests under an older bundle until its lease expires.
LEASE_DURATION_S = 3.0


@dataclasses.dataclass(frozen=True)
class ObservedAnswer:
    """Answer to a request that an instance admitted.

    Attributes:
      instance_id: ID of the instance that answered.
      sent_s: Monotonic time before the request was sent.
      received_s: Monotonic time after the answer was received.
      bundle_number: Bundle number in the answer.
    """

    instance_id: str
    sent_s: float
    received_s: float
    bundle_number: int


@dataclasses.dataclass(frozen=True)
class Acceptance:
    """Write to the platform that put a bundle in force.

    Attributes:
      time_s: Monotonic time of the write.
      number: Number of the bundle.
    """

    time_s: float
    number: int


def read_acceptances(writes: Iterable[dict[str, Any]]) -> list[Acceptance]:
    """Returns the acceptances among the writes recorded by the platform."""
    acceptances: list[Acceptance] = []
    current = 0
    for write in writes:
        number = write["value"].get("in_force", 0)
        if write["kind"] == "rollout" and number != current:
            acceptances.append(Acceptance(write["time_s"], number))
            current = number
    return acceptances


def check(
    answers: Sequence[ObservedAnswer],
    acceptances: Sequence[Acceptance],
    signed_numbers: Iterable[int],
) -> list[str]:
    """Checks recorded answers and acceptances for violations.

    Args:
      answers: Answers in any order.
      acceptances: Acceptances in the order the platform recorded them.
      signed_numbers: Numbers of the bundles that were signed off.

    Returns:
      A message for each violation; empty if there are none.
    """
    return [
        *_find_outdated_answers(answers, acceptances),
        *_find_unaccepted_answers(answers, acceptances),
        *_find_decreasing_numbers(answers),
        *_find_invalid_acceptances(acceptances, frozenset(signed_numbers)),
    ]


def _find_outdated_answers(
    answers: Iterable[ObservedAnswer], acceptances: Sequence[Acceptance]
) -> Iterator[str]:
    for answer in answers:
        for acceptance in acceptances:
            elapsed_s = answer.sent_s - acceptance.time_s
            is_outdated = answer.bundle_number < acceptance.number
            if is_outdated and elapsed_s > LEASE_DURATION_S:
                yield (
                    f"{answer.instance_id} admitted a request under bundle "
                    f"{answer.bundle_number}, {elapsed_s:.2f} s after "
                    f"{acceptance.number} was accepted"
                )


def _find_unaccepted_answers(
    answers: Iterable[ObservedAnswer], acceptances: Sequence[Acceptance]
) -> Iterator[str]:
    accepted_at_s = {a.number: a.time_s for a in acceptances}
    for answer in answers:
        time_s = accepted_at_s.get(answer.bundle_number)
        if time_s is None or answer.received_s < time_s:
            yield (
                f"{answer.instance_id} answered under bundle "
                f"{answer.bundle_number} before it was accepted"
            )


def _find_decreasing_numbers(
    answers: Iterable[ObservedAnswer],
) -> Iterator[str]:
    ordered = sorted(answers, key=lambda a: (a.instance_id, a.received_s))
    for instance_id, group in itertools.groupby(
        ordered, lambda a: a.instance_id
    ):
        highest: ObservedAnswer | None = None
        for answer in group:
            if (
                highest is not None
                and answer.bundle_number < highest.bundle_number
                and answer.sent_s > highest.received_s
            ):
                yield (
                    f"{instance_id} went from {highest.bundle_number} back to "
                    f"{answer.bundle_number}"
                )
            if highest is None or answer.bundle_number > highest.bundle_number:
                highest = answer


def _find_invalid_acceptances(
    acceptances: Sequence[Acceptance], signed_numbers: frozenset[int]
) -> Iterator[str]:
    for previous, current in itertools.pairwise(acceptances):
        if current.number <= previous.number:
            yield (
                f"bundle {current.number} was accepted after "
                f"bundle {previous.number}"
            )
    for acceptance in acceptances:
        if acceptance.number not in signed_numbers:
            yield f"bundle {acceptance.number} was accepted without a sign-off"
