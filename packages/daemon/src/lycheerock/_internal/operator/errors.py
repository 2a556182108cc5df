"""Converts errors to JSON responses with a kind, a message and a remedy."""

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
    """Converts every exception of a handler to a JSON error response."""
    try:
        return await handler(request)
    except exceptions.LycheerockError as error:
        _LOG.info(
            "operator_request_refused",
            path=request.path,
            kind=error.kind,
            problem=error.problem,
        )
        return _error_response(error)
    except aiohttp.web.HTTPException as error:
        return _error_response(_to_lycheerock_error(request, error))
    except Exception:
        # The message of an unexpected error may contain values of the settings,
        # so it is written only to the log.
        _LOG.exception("operator_request_failed", path=request.path)
        return _error_response(
            exceptions.LycheerockError(
                "the request failed with an internal error",
                "check the instance's log for the time of the request",
            )
        )


def _to_lycheerock_error(
    request: aiohttp.web.Request, error: aiohttp.web.HTTPException
) -> exceptions.LycheerockError:
    if error.status == 404:
        return exceptions.NotFoundError(
            f"path {request.path[:80]!r} does not exist",
            "see docs/OPERATIONS.md for the available paths",
        )
    if error.status == 405:
        return exceptions.BadRequestError(
            f"{request.method} is not allowed on this path",
            f"use {error.headers.get('Allow', 'another method')}",
        )
    if error.status == 413:
        return exceptions.BodyTooLargeError(
            f"the body is larger than {bodies.BODY_SIZE_MAX_BYTES} bytes",
            "send a smaller body",
        )
    return exceptions.BadRequestError(
        f"the request was rejected with HTTP status {error.status}",
        "correct the request",
    )


def _error_response(error: exceptions.LycheerockError) -> aiohttp.web.Response:
    body: dict[str, object] = {
        "error": answers.ErrorBody(
            error.kind, error.problem, error.remedy, error.retry_after_ms
        )
    }
    if isinstance(error, exceptions.DocumentError):
        body["faults"] = error.faults
    return bodies.respond(body, _HTTP_STATUS.get(error.kind, 500))
