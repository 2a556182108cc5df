"""Derives the outcome of a non-idempotent request from its dispatch result."""

from typing import Any
from typing import Protocol

import msgspec

from lycheerock._internal.dispatch import work as work_lib
from lycheerock_model import answers
from lycheerock_model import exceptions


class RequestIds(Protocol):
    """The ids of a request that are copied to its answer."""

    @property
    def request_id(self) -> str:
        """ID of the request."""
        ...

    @property
    def bundle_number(self) -> int:
        """Number of the bundle under which the request is served."""
        ...


class RunReply(msgspec.Struct, frozen=True):
    """Reply body of the target's `POST /v1/run`."""

    status: str
    attempt_id: str
    target_state: str = "serving"
    target_epoch: int = 0
    state_sequence: int = 0
    retry_after_ms: int = 0
    result: Any = None


_DECODER = msgspec.json.Decoder(RunReply)


def decode_reply(
    result: work_lib.TargetResult, attempt_id: str
) -> RunReply | None:
    """Decodes the reply of a target.

    Returns:
      The reply, or None if none was received, it is malformed or it answers
      another attempt.
    """
    if result.status != work_lib.Status.REPLIED:
        return None
    try:
        reply = _DECODER.decode(result.body)
    except (msgspec.DecodeError, RecursionError):
        return None
    return reply if reply.attempt_id == attempt_id else None


def build_answer(
    request: RequestIds, result: work_lib.TargetResult, reply: RunReply | None
) -> answers.Answer:
    """Builds the answer from the result of the only dispatch of a request."""
    if work_lib.proves_not_run(result.status):
        problem = result.detail or result.status.value
        return not_run(request, problem, result.retry_after_ms)
    if reply is None:
        return unknown(request, result.detail or "no valid reply")
    if reply.status in ("shed", "draining"):
        return not_run(request, "refused by the target", reply.retry_after_ms)
    if reply.status != "done":
        return unknown(request, "the target reported an error")
    return answers.Answer(
        outcome=answers.Outcome.DONE,
        request_id=request.request_id,
        bundle_number=request.bundle_number,
        results=(reply.result,),
    )


def unknown(
    request: RequestIds,
    problem: str,
    kind: exceptions.ErrorKind = exceptions.ErrorKind.TARGET,
) -> answers.Answer:
    """Builds the answer of a request that may or may not have run."""
    return answers.Answer(
        outcome=answers.Outcome.UNKNOWN,
        request_id=request.request_id,
        bundle_number=request.bundle_number,
        error=answers.ErrorBody(
            kind,
            problem,
            "look up the booking before sending it again with a new key",
        ),
    )


def not_run(
    request: RequestIds,
    problem: str,
    retry_after_ms: int = 0,
    kind: exceptions.ErrorKind = exceptions.ErrorKind.OVERLOADED,
) -> answers.Answer:
    """Builds the answer of a request that is known not to have run."""
    return answers.Answer(
        outcome=answers.Outcome.NOT_RUN,
        request_id=request.request_id,
        bundle_number=request.bundle_number,
        error=answers.ErrorBody(
            kind,
            problem,
            "retry with the same key after retry_after_ms",
            retry_after_ms,
        ),
    )
