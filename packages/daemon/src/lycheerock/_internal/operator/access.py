"""Checks the token of operators."""

from collections.abc import Awaitable
from collections.abc import Callable
import hmac

import aiohttp.typedefs
import aiohttp.web

from lycheerock_model import exceptions

Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]

# Balancers and supervisors ask these without a token.
OPEN_PATHS = frozenset({"/healthz", "/readyz"})


def middleware(token: str) -> aiohttp.typedefs.Middleware:
    """Returns a middleware that lets only operators through.

    Args:
      token: The operator token of this instance.

    Returns:
      An aiohttp middleware; it raises UnauthenticatedError.
    """
    expected = f"Bearer {token}".encode()

    @aiohttp.web.middleware
    async def authenticate(
        request: aiohttp.web.Request, handler: Handler
    ) -> aiohttp.web.StreamResponse:
        if request.path not in OPEN_PATHS:
            _check(expected, request.headers.get("Authorization", ""))
        return await handler(request)

    return authenticate


def _check(expected: bytes, header: str) -> None:
    # A header that is not UTF-8 holds surrogates, which strict encoding
    # rejects.
    given = header.encode("utf-8", "surrogateescape")
    if not hmac.compare_digest(expected, given):
        raise exceptions.UnauthenticatedError(
            "the operator token is missing or wrong",
            "send Authorization: Bearer with the instance's operator_token",
        )
