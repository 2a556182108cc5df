"""Turns answers and errors into HTTP responses."""

import aiohttp.web
import msgspec

from lycheerock_model import answers
from lycheerock_model import exceptions

_HTTP_STATUS = {
    exceptions.ErrorKind.BAD_REQUEST: 400,
    exceptions.ErrorKind.KEY: 400,
    exceptions.ErrorKind.UNAUTHENTICATED: 401,
    exceptions.ErrorKind.FORBIDDEN: 403,
    exceptions.ErrorKind.UNKNOWN_SERVICE: 404,
    exceptions.ErrorKind.DEADLINE: 408,
    exceptions.ErrorKind.BODY_TOO_LARGE: 413,
    exceptions.ErrorKind.OVERLOADED: 429,
    exceptions.ErrorKind.NOT_ADMITTING: 503,
    exceptions.ErrorKind.COVERAGE: 503,
}


def respond(answer: answers.Answer) -> aiohttp.web.Response:
    """Returns the response for the answer of a search or a booking."""
    status = 200
    if answer.error is not None and answer.outcome != answers.Outcome.DONE:
        status = 503
    return to_json(answer, status)


def refuse(
    answer: answers.Answer, http_status: int | None = None
) -> aiohttp.web.Response:
    """Returns the response for a request that was refused.

    Args:
      answer: Answer with an error.
      http_status: Status to use instead of the one of the error's kind.
    """
    assert answer.error is not None
    kind = exceptions.ErrorKind(answer.error.kind)
    return to_json(answer, http_status or _HTTP_STATUS.get(kind, 500))


def to_json(value: object, status: int = 200) -> aiohttp.web.Response:
    """Returns a JSON response."""
    return aiohttp.web.Response(
        body=msgspec.json.encode(value),
        content_type="application/json",
        status=status,
    )


def error_answer(
    request_id: str,
    bundle_number: int,
    outcome: answers.Outcome,
    error: exceptions.LycheerockError,
) -> answers.Answer:
    """Builds the answer that carries an error."""
    return answers.Answer(
        outcome=outcome,
        request_id=request_id,
        bundle_number=bundle_number,
        error=answers.ErrorBody(
            error.kind, error.problem, error.remedy, error.retry_after_ms
        ),
    )
