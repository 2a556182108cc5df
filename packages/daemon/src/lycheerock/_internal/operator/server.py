"""HTTP interface for operators."""

from collections.abc import Iterable

import aiohttp.web

from lycheerock._internal.operator import access
from lycheerock._internal.operator import bodies
from lycheerock._internal.operator import errors


def build(
    token: str, routes: Iterable[aiohttp.web.RouteDef]
) -> aiohttp.web.Application:
    """Builds the web application for operators.

    Args:
      token: Token that operators must send.
      routes: All routes except those for bundles, which
        `bundle_routes.add_routes` adds.

    Returns:
      The aiohttp application. All paths except the health checks require the
      token.
    """
    app = aiohttp.web.Application(
        client_max_size=bodies.BODY_SIZE_MAX_BYTES,
        middlewares=[errors.middleware, access.middleware(token)],
    )
    app.router.add_routes(list(routes))
    return app
