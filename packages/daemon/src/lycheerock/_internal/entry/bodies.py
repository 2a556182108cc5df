"""Reads request bodies within limits on size and time."""

import asyncio
import time
from typing import Any
from typing import TypeVar

import aiohttp.web
import msgspec

from lycheerock._internal.ingress import callers as callers_lib
from lycheerock_model import exceptions

BODY_SIZE_MAX_BYTES = 262_144


class SearchBody(msgspec.Struct, frozen=True):
    """Body of a search request; the query is kept as raw JSON."""

    query: msgspec.Raw


class RunBody(msgspec.Struct, frozen=True):
    """Body of a non-idempotent request."""

    shard_key: str
    payload: Any = None


T = TypeVar("T")


def max_size_bytes(request: aiohttp.web.Request) -> int:
    """Returns the maximum size of the body in memory."""
    length = request.content_length
    if length is None:
        return BODY_SIZE_MAX_BYTES if request.body_exists else 0
    return min(length, BODY_SIZE_MAX_BYTES)


async def read(
    request: aiohttp.web.Request, body_type: type[T], deadline_s: float
) -> T:
    """Reads and decodes a JSON body.

    Args:
      request: The request.
      body_type: Type to decode the body into.
      deadline_s: Monotonic time by which the body must have arrived.

    Returns:
      The decoded body.

    Raises:
      BadRequestError: The body is not valid JSON or not of `body_type`.
      BodyTooLargeError: The body exceeds the size limit.
      DeadlineError: The body did not arrive in time.
    """
    too_large = exceptions.BodyTooLargeError(
        f"the body is larger than {BODY_SIZE_MAX_BYTES} bytes",
        "send a smaller body",
    )
    if (request.content_length or 0) > BODY_SIZE_MAX_BYTES:
        raise too_large
    try:
        async with asyncio.timeout(max(0.0, deadline_s - time.monotonic())):
            text = await request.read()
    except aiohttp.web.HTTPRequestEntityTooLarge as error:
        raise too_large from error
    except callers_lib.RequestRefusedError as error:
        if error.status == 413:
            raise too_large from error
        raise exceptions.BadRequestError(
            f"the body exceeds a limit of this interface ({error.reason})",
            "send the body without delay, in fewer and larger chunks",
        ) from error
    except TimeoutError as error:
        raise exceptions.DeadlineError(
            "the body did not arrive before the deadline",
            "send the body without delay, or set a longer X-Deadline-Ms",
        ) from error
    return decode(text, body_type)


def decode(text: bytes, body_type: type[T]) -> T:
    """Decodes a JSON body.

    Raises:
      BadRequestError: The body is not valid JSON or not of `body_type`.
    """
    try:
        # The JSON decoder does not check the encoding of raw fields.
        text.decode()
        return msgspec.json.decode(text, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise exceptions.BadRequestError(
            f"the body is invalid ({str(error)[:200]})",
            "send a JSON object with the fields that this path requires",
        ) from error
    except RecursionError as error:
        raise exceptions.BadRequestError(
            "the body is nested too deeply", "send a flatter JSON value"
        ) from error
