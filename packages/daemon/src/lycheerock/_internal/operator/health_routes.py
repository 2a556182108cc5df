"""Health and readiness checks for load balancers and supervisors."""

from collections.abc import Callable

import aiohttp.web


def routes(is_ready: Callable[[], bool]) -> list[aiohttp.web.RouteDef]:
    """Returns the routes of the health checks, which require no token.

    Args:
      is_ready: Returns whether the instance accepts new requests.

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
