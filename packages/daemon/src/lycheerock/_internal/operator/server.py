"""HTTP interface for operators."""

from collections.abc import Iterable

import aiohttp.web

from lycheerock._internal.operator import access
from lycheerock._internal.operator import bodies
from lycheerock._internal.operator import errors


def build(
    token: str, routes: Iterable[aiohttp.web.RouteDef]
) -> aiohttp.web.Application:
    """Builds the application of the operator address.

    Args:
      token: Token that operators present.
      routes: Routes of all concerns.

    Returns:
      The aiohttp application; every path but the health checks needs the token.
    """
    app = aiohttp.web.Application(
        client_max_size=bodies.BODY_SIZE_MAX_BYTES,
        middlewares=[errors.middleware, access.middleware(token)],
    )
    app.router.add_routes(list(routes))
    return app
