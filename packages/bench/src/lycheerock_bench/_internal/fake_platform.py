"""Fake of the platform: object API and a lagging list of instances."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import Any

import aiohttp.web
import msgspec

VALUE_SIZE_MAX_BYTES = 1_048_576
WATCH_TIMEOUT_S = 30.0

_Handler = Callable[
    [aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]
]


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults that the platform shows.

    Attributes:
      down: Every call is answered with status 503.
      delay_ms: Added to every call.
      reply_lost_ratio: Share of writes that take effect without a reply.
    """

    down: bool = False
    delay_ms: float = 0.0
    reply_lost_ratio: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Stored:
    version: int
    value: Any


class FakePlatform:
    """Keeps objects in memory and serves them over HTTP."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        self._objects: dict[tuple[str, str], _Stored] = {}
        self._instances: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self._faults = Faults()
        self._counts: dict[str, int] = {}

    def build(self) -> aiohttp.web.Application:
        """Returns the aiohttp application."""
        app = aiohttp.web.Application(
            client_max_size=2 * VALUE_SIZE_MAX_BYTES,
            middlewares=[self._apply_faults],
        )
        router = app.router
        router.add_get("/objects/{kind}/{name}", self._get)
        router.add_put("/objects/{kind}/{name}", self._put)
        router.add_get("/objects/{kind}", self._list)
        router.add_get("/instances", self._list_instances)
        router.add_put("/control/instances", self._set_instances)
        router.add_put("/control/faults", self._set_faults)
        router.add_get("/control/counts", self._get_counts)
        return app

    @aiohttp.web.middleware
    async def _apply_faults(
        self, request: aiohttp.web.Request, handler: _Handler
    ) -> aiohttp.web.StreamResponse:
        if request.path.startswith("/control/"):
            return await handler(request)
        kind = self._call_kind(request)
        self._counts[kind] = self._counts.get(kind, 0) + 1
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000)
        if self._faults.down:
            raise aiohttp.web.HTTPServiceUnavailable()
        response = await handler(request)
        lost = self._random.random() < self._faults.reply_lost_ratio
        if request.method == "PUT" and lost and request.transport:
            request.transport.abort()
        return response

    def _call_kind(self, request: aiohttp.web.Request) -> str:
        if "watch_after" in request.query:
            return "watch"
        return "write" if request.method == "PUT" else "read"

    async def _get(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        key = (request.match_info["kind"], request.match_info["name"])
        if "watch_after" in request.query:
            await self._wait_for(key, int(request.query["watch_after"]))
        stored = self._objects.get(key)
        if stored is None:
            raise aiohttp.web.HTTPNotFound()
        return _respond(200, stored)

    async def _wait_for(self, key: tuple[str, str], version: int) -> None:
        def is_newer() -> bool:
            stored = self._objects.get(key)
            return stored is not None and stored.version > version

        try:
            async with asyncio.timeout(WATCH_TIMEOUT_S), self._changed:
                await self._changed.wait_for(is_newer)
        except TimeoutError:
            pass

    async def _put(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        key = (request.match_info["kind"], request.match_info["name"])
        expected = int(request.query["if_version"])
        body = await request.read()
        if len(body) > VALUE_SIZE_MAX_BYTES:
            raise aiohttp.web.HTTPRequestEntityTooLarge(
                VALUE_SIZE_MAX_BYTES, len(body)
            )
        value = msgspec.json.decode(body)
        stored = self._objects.get(key, _Stored(0, None))
        if stored.version != expected:
            return _respond(409, stored)
        async with self._changed:
            updated = _Stored(stored.version + 1, value)
            self._objects[key] = updated
            self._changed.notify_all()
        return _respond(200, updated)

    async def _list(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        kind = request.match_info["kind"]
        names = sorted(name for k, name in self._objects if k == kind)
        return aiohttp.web.json_response({"names": names})

    async def _list_instances(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return aiohttp.web.json_response({"instances": self._instances})

    async def _set_instances(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        self._instances = (await request.json())["instances"]
        return aiohttp.web.json_response({})

    async def _set_faults(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        self._faults = msgspec.json.decode(await request.read(), type=Faults)
        return aiohttp.web.json_response({})

    async def _get_counts(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return aiohttp.web.json_response(self._counts)


def _respond(status: int, stored: _Stored) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status,
        body=msgspec.json.encode(stored),
        content_type="application/json",
    )
