"""Reads and writes the JSON bodies of the operator interface."""

from typing import Any

import aiohttp.web
import msgspec

from lycheerock_model import bundle_check
from lycheerock_model import exceptions

# The largest body is a bundle. The factor leaves room for white space.
BODY_SIZE_MAX_BYTES = 2 * bundle_check.BUNDLE_SIZE_MAX_BYTES


async def read(request: aiohttp.web.Request) -> dict[str, Any]:
    """Reads the body as a JSON object; an empty body is an empty object.

    Args:
      request: The request.

    Returns:
      The parsed object.

    Raises:
      BadRequestError: The body is not a JSON object.
    """
    text = await request.read()
    if not text:
        return {}
    try:
        body = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise exceptions.BadRequestError(
            f"the body is not valid JSON ({error})", "send a JSON object"
        ) from error
    if not isinstance(body, dict):
        raise exceptions.BadRequestError(
            "the body is not a JSON object", "send a JSON object"
        )
    return body


def respond(value: Any, status: int = 200) -> aiohttp.web.Response:
    """Returns a JSON response; data classes are encoded as objects."""
    return aiohttp.web.Response(
        body=msgspec.json.encode(value),
        content_type="application/json",
        status=status,
    )
