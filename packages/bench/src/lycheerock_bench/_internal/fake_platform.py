"""Fake of the platform: object API and a lagging list of instances."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import time
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
      down_after_write: The next write takes effect without a reply, and the
        platform is down from then on.
      client: Instance id that the faults are limited to; all if empty.
      path_prefix: Start of the paths that the faults are limited to.
      method: HTTP method that the faults are limited to; all if empty.
    """

    down: bool = False
    delay_ms: float = 0.0
    reply_lost_ratio: float = 0.0
    down_after_write: bool = False
    client: str = ""
    path_prefix: str = ""
    method: str = ""

    def concern(self, request: aiohttp.web.Request) -> bool:
        """Whether the faults concern a call."""
        return (
            self.client in ("", _client(request))
            and request.path.startswith(self.path_prefix)
            and self.method in ("", request.method)
        )


def _client(request: aiohttp.web.Request) -> str:
    agent = request.headers.get("User-Agent", "")
    return agent.removeprefix("lycheerock/")


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
        self._client_counts: dict[str, dict[str, int]] = {}
        self._writes: list[dict[str, Any]] = []

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
        router.add_get("/control/client_counts", self._get_client_counts)
        router.add_get("/control/writes", self._get_writes)
        return app

    @aiohttp.web.middleware
    async def _apply_faults(
        self, request: aiohttp.web.Request, handler: _Handler
    ) -> aiohttp.web.StreamResponse:
        if request.path.startswith("/control/"):
            return await handler(request)
        self._count(request)
        faults = self._faults if self._faults.concern(request) else Faults()
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.down:
            raise aiohttp.web.HTTPServiceUnavailable()
        response = await handler(request)
        lost = self._random.random() < faults.reply_lost_ratio
        if request.method == "PUT" and faults.down_after_write:
            self._faults = dataclasses.replace(faults, down=True)
            lost = True
        if request.method == "PUT" and lost and request.transport:
            request.transport.abort()
        # A watch that was pending when the outage began tells nothing either.
        is_down = self._faults.down and self._faults.concern(request)
        if request.method == "GET" and is_down:
            raise aiohttp.web.HTTPServiceUnavailable()
        return response

    def _count(self, request: aiohttp.web.Request) -> None:
        kind = self._call_kind(request)
        self._counts[kind] = self._counts.get(kind, 0) + 1
        counts = self._client_counts.setdefault(_client(request), {})
        counts[kind] = counts.get(kind, 0) + 1

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
            self._record_write(key, updated)
            self._changed.notify_all()
        return _respond(200, updated)

    def _record_write(self, key: tuple[str, str], stored: _Stored) -> None:
        if key[0] != "bundles":
            self._writes.append(
                {
                    "time_s": time.monotonic(),
                    "kind": key[0],
                    "name": key[1],
                    "version": stored.version,
                    "value": stored.value,
                }
            )

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

    async def _get_client_counts(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return aiohttp.web.json_response(self._client_counts)

    async def _get_writes(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return aiohttp.web.json_response(self._writes)


def _respond(status: int, stored: _Stored) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status,
        body=msgspec.json.encode(stored),
        content_type="application/json",
    )
