"""Authentication of operators."""

from collections.abc import Awaitable
from collections.abc import Callable
import hmac

import aiohttp.typedefs
import aiohttp.web

from lycheerock_model import exceptions

Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]

# Load balancers and process supervisors query these paths without a token.
UNAUTHENTICATED_PATHS = frozenset({"/healthz", "/readyz"})


def middleware(token: str) -> aiohttp.typedefs.Middleware:
    """Returns a middleware that authenticates operators.

    Args:
      token: Operator token of this instance.

    Returns:
      An aiohttp middleware that raises UnauthenticatedError if the token is
      missing or invalid.
    """
    expected_header = f"Bearer {token}".encode()

    @aiohttp.web.middleware
    async def authenticate(
        request: aiohttp.web.Request, handler: Handler
    ) -> aiohttp.web.StreamResponse:
        if request.path not in UNAUTHENTICATED_PATHS:
            _verify_token(
                expected_header, request.headers.get("Authorization", "")
            )
        return await handler(request)

    return authenticate


def _verify_token(expected_header: bytes, header: str) -> None:
    # aiohttp decodes bytes that are not valid UTF-8 to surrogates, which strict
    # encoding would reject.
    header_bytes = header.encode("utf-8", "surrogateescape")
    if not hmac.compare_digest(expected_header, header_bytes):
        raise exceptions.UnauthenticatedError(
            "the operator token is missing or invalid",
            "send Authorization: Bearer with the instance's operator_token",
        )
