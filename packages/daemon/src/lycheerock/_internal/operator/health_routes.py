"""Health and readiness, for balancers and supervisors."""

from collections.abc import Callable

import aiohttp.web


def routes(is_ready: Callable[[], bool]) -> list[aiohttp.web.RouteDef]:
    """Returns the routes that need no token.

    Args:
      is_ready: Whether the instance takes new requests.

    Returns:
      Routes of /healthz and /readyz.
    """

    async def health(_request: aiohttp.web.Request) -> aiohttp.web.Response:
        return aiohttp.web.Response(text="ok\n")

    async def ready(_request: aiohttp.web.Request) -> aiohttp.web.Response:
        if is_ready():
            return aiohttp.web.Response(text="ready\n")
        return aiohttp.web.Response(status=503, text="not ready\n")

    return [
        aiohttp.web.get("/healthz", health),
        aiohttp.web.get("/readyz", ready),
    ]
