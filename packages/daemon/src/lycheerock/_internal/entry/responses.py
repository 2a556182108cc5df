"""Builds HTTP responses from answers and errors."""

import aiohttp.web
import msgspec

from lycheerock_model import answers
from lycheerock_model import exceptions

_HTTP_STATUSES = {
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


def answer_response(answer: answers.Answer) -> aiohttp.web.Response:
    """Returns the response for the answer of a search or a booking."""
    status = 200
    if answer.error is not None and answer.outcome != answers.Outcome.DONE:
        status = 503
    return json_response(answer, status)


def refusal_response(
    answer: answers.Answer, http_status: int | None = None
) -> aiohttp.web.Response:
    """Returns the response for a refused request.

    Args:
      answer: Answer that contains an error.
      http_status: Overrides the HTTP status for the kind of the error.
    """
    assert answer.error is not None
    kind = exceptions.ErrorKind(answer.error.kind)
    return json_response(answer, http_status or _HTTP_STATUSES.get(kind, 500))


def json_response(value: object, status: int = 200) -> aiohttp.web.Response:
    """Returns a response with `value` encoded as JSON."""
    return aiohttp.web.Response(
        body=msgspec.json.encode(value),
        content_type="application/json",
        status=status,
    )


def build_error_answer(
    request_id: str,
    bundle_number: int,
    outcome: answers.Outcome,
    error: exceptions.LycheerockError,
) -> answers.Answer:
    """Builds an answer that contains an error."""
    return answers.Answer(
        outcome=outcome,
        request_id=request_id,
        bundle_number=bundle_number,
        error=answers.ErrorBody(
            error.kind, error.problem, error.remedy, error.retry_after_ms
        ),
    )
