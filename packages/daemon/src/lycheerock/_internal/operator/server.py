"""HTTP interface for operators."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import hmac
from typing import Any

import aiohttp.web

from lycheerock._internal.bundles import actions as actions_lib
from lycheerock._internal.operator import bundle_routes

Dump = Callable[[], Mapping[str, Any]]


class OperatorServer:
    """Serves operators; every path under /ops/ needs the operator token."""

    def __init__(
        self,
        token: str,
        dump: Dump,
        is_ready: Callable[[], bool],
        actions: actions_lib.Actions,
    ):
        self._token = token
        self._actions = actions
        self._dump = dump
        self._is_ready = is_ready

    def build(self) -> aiohttp.web.Application:
        """Returns the aiohttp application."""
        app = aiohttp.web.Application(
            middlewares=[self._authenticate],
            client_max_size=bundle_routes.BODY_SIZE_MAX_BYTES,
        )
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/ops/state", self._state)
        bundle_routes.add_routes(app.router, self._actions)
        return app

    @aiohttp.web.middleware
    async def _authenticate(
        self,
        request: aiohttp.web.Request,
        handler: Callable[
            [aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]
        ],
    ) -> aiohttp.web.StreamResponse:
        if request.path.startswith("/ops/"):
            expected = f"Bearer {self._token}".encode()
            given = request.headers.get("Authorization", "").encode()
            if not hmac.compare_digest(expected, given):
                raise aiohttp.web.HTTPUnauthorized(
                    text="send Authorization: Bearer with operator_token"
                )
        return await handler(request)

    async def _health(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return aiohttp.web.Response(text="ok\n")

    async def _ready(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        if self._is_ready():
            return aiohttp.web.Response(text="ready\n")
        return aiohttp.web.Response(status=503, text="not ready\n")

    async def _state(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return aiohttp.web.json_response(self._dump())
