"""Turns errors into typed JSON bodies that name a remedy."""

import aiohttp.web
import structlog

from lycheerock._internal.operator import access
from lycheerock._internal.operator import bodies
from lycheerock_model import answers
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

_HTTP_STATUS = {
    exceptions.ErrorKind.BAD_REQUEST: 400,
    exceptions.ErrorKind.UNAUTHENTICATED: 401,
    exceptions.ErrorKind.FORBIDDEN: 403,
    exceptions.ErrorKind.NOT_FOUND: 404,
    exceptions.ErrorKind.CONFLICT: 409,
    exceptions.ErrorKind.BODY_TOO_LARGE: 413,
    exceptions.ErrorKind.OVERLOADED: 429,
    exceptions.ErrorKind.PLATFORM: 503,
    exceptions.ErrorKind.NOT_ADMITTING: 503,
}


@aiohttp.web.middleware
async def middleware(
    request: aiohttp.web.Request, handler: access.Handler
) -> aiohttp.web.StreamResponse:
    """Answers every failed request with a typed error."""
    try:
        return await handler(request)
    except exceptions.LycheerockError as error:
        _LOG.info(
            "operator_request_refused",
            path=request.path,
            kind=error.kind,
            problem=error.problem,
        )
        return _respond(error)
    except aiohttp.web.HTTPException as error:
        return _respond(_to_typed(request, error))
    except Exception:
        # The text of an unexpected error may hold values of the settings, so
        # that only the log names it.
        _LOG.exception("operator_request_failed", path=request.path)
        return _respond(
            exceptions.LycheerockError(
                "the request failed inside the instance",
                "read the instance's log at this time",
            )
        )


def _to_typed(
    request: aiohttp.web.Request, error: aiohttp.web.HTTPException
) -> exceptions.LycheerockError:
    if error.status == 404:
        return exceptions.NotFoundError(
            f"no path {request.path[:80]!r}", "see docs/OPERATIONS.md for paths"
        )
    if error.status == 405:
        return exceptions.BadRequestError(
            f"{request.method} is not allowed on this path",
            f"use {error.headers.get('Allow', 'another method')}",
        )
    if error.status == 413:
        return exceptions.BodyTooLargeError(
            f"the body is over {bodies.BODY_SIZE_MAX_BYTES} bytes",
            "send a smaller body",
        )
    return exceptions.BadRequestError(
        f"HTTP status {error.status}", "correct the request"
    )


def _respond(error: exceptions.LycheerockError) -> aiohttp.web.Response:
    body: dict[str, object] = {
        "error": answers.ErrorBody(
            error.kind, error.problem, error.remedy, error.retry_after_ms
        )
    }
    if isinstance(error, exceptions.DocumentError):
        body["faults"] = error.faults
    return bodies.respond(body, _HTTP_STATUS.get(error.kind, 500))
