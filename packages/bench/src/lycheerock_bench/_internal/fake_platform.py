"""Fake object store of the platform, with fault injection.

An object is identified by its kind and name. Every change of an object
increments one global revision. A watch of a kind returns the changes after a
given revision, as long as the store still has them.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import random
import time
from typing import Any

import aiohttp.web
import msgspec

VALUE_SIZE_MAX_BYTES = 1_048_576
WATCH_WAIT_MAX_S = 30.0
PAGE_OBJECTS_MAX = 500
INSTANCE_KIND = "instances"

_Handler = Callable[
    [aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]
]


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults to inject into platform calls.

    Attributes:
      down: Whether every call fails with status 503.
      delay_ms: Delay added to every call.
      reply_lost_ratio: Share of writes that take effect but whose connection is
        closed without a reply.
      down_after_write: Whether the next write takes effect without a reply and
        the platform is down from then on.
      client: ID of the instance whose calls are affected; all if empty.
      path_prefix: Path prefix of the affected calls.
      method: HTTP method of the affected calls; all methods if empty.
    """

    down: bool = False
    delay_ms: float = 0.0
    reply_lost_ratio: float = 0.0
    down_after_write: bool = False
    client: str = ""
    path_prefix: str = ""
    method: str = ""

    def apply_to(self, request: aiohttp.web.Request) -> bool:
        """Returns whether the faults apply to a request."""
        return (
            self.client in ("", _client_id(request))
            and request.path.startswith(self.path_prefix)
            and self.method in ("", request.method)
        )


def _client_id(request: aiohttp.web.Request) -> str:
    agent = request.headers.get("User-Agent", "")
    return agent.removeprefix("lycheerock/")


@dataclasses.dataclass(frozen=True)
class _StoredObject:
    """A stored object; `revision` is the revision of its last change."""

    name: str
    revision: int
    created: int
    spec: Any

    def to_wire(self) -> dict[str, Any]:
        return {
            "meta": {
                "name": self.name,
                "revision": self.revision,
                "created": self.created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": self.spec,
            "status": None,
        }


@dataclasses.dataclass(frozen=True)
class _Event:
    """A change of one object, as a watch returns it."""

    kind: str
    stored: _StoredObject
    removed: bool


class FakePlatform:
    """Keeps objects in memory and serves them over HTTP."""

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        self._objects: dict[tuple[str, str], _StoredObject] = {}
        self._revision = 0
        self._events: list[_Event] = []
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self._faults = Faults()
        # Objects and revision that stale lists return, or None if they return
        # the current ones.
        self._stale_snapshot: (
            tuple[dict[tuple[str, str], _StoredObject], int] | None
        ) = None
        # Era in all replies, or None if the store states none, and the copy to
        # which the store can return.
        self.era: int | None = None
        self._copy: tuple[dict[tuple[str, str], _StoredObject], int] | None = (
            None
        )
        self._counts: dict[str, int] = {}
        self._client_counts: dict[str, dict[str, int]] = {}
        self._writes: list[dict[str, Any]] = []

    def build(self) -> aiohttp.web.Application:
        """Returns the aiohttp application."""
        app = aiohttp.web.Application(
            client_max_size=2 * VALUE_SIZE_MAX_BYTES,
            middlewares=[self._apply_faults],
        )
        app.on_response_prepare.append(self._add_era)
        router = app.router
        router.add_get("/objects/{kind}", self._list_or_watch)
        router.add_post("/objects/{kind}", self._post)
        router.add_get("/objects/{kind}/{name}", self._get)
        router.add_put("/objects/{kind}/{name}", self._put)
        router.add_delete("/objects/{kind}/{name}", self._delete)
        router.add_put("/control/instances", self._set_instances)
        router.add_put("/control/faults", self._set_faults)
        router.add_get("/control/counts", self._get_counts)
        router.add_get("/control/client_counts", self._get_client_counts)
        router.add_get("/control/writes", self._get_writes)
        return app

    async def _add_era(
        self,
        _request: aiohttp.web.Request,
        response: aiohttp.web.StreamResponse,
    ) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)

    @aiohttp.web.middleware
    async def _apply_faults(
        self, request: aiohttp.web.Request, handler: _Handler
    ) -> aiohttp.web.StreamResponse:
        if request.path.startswith("/control/"):
            return await handler(request)
        self._count(request)
        faults = self._faults if self._faults.apply_to(request) else Faults()
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.down:
            raise aiohttp.web.HTTPServiceUnavailable()
        response = await handler(request)
        is_write = request.method in _WRITE_METHODS
        reply_lost = self._random.random() < faults.reply_lost_ratio
        if is_write and faults.down_after_write:
            self._faults = dataclasses.replace(faults, down=True)
            reply_lost = True
        if is_write and reply_lost and request.transport:
            request.transport.abort()
        # A read that was pending when the outage began, such as a watch, also
        # fails.
        is_down = self._faults.down and self._faults.apply_to(request)
        if request.method == "GET" and is_down:
            raise aiohttp.web.HTTPServiceUnavailable()
        return response

    def _count(self, request: aiohttp.web.Request) -> None:
        kind = self._call_kind(request)
        self._counts[kind] = self._counts.get(kind, 0) + 1
        counts = self._client_counts.setdefault(_client_id(request), {})
        counts[kind] = counts.get(kind, 0) + 1

    def _call_kind(self, request: aiohttp.web.Request) -> str:
        if "watch" in request.query:
            return "watch"
        return "write" if request.method in _WRITE_METHODS else "read"

    async def _get(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        stored = self._objects.get(_object_key(request))
        if stored is None:
            raise aiohttp.web.HTTPNotFound()
        return _respond(200, stored.to_wire())

    async def _list_or_watch(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            wait_s = int(request.query.get("wait_ms", "0")) / 1000
            return await self._watch(
                kind,
                int(request.query["watch"]),
                min(WATCH_WAIT_MAX_S, wait_s),
            )
        objects, revision = self._objects, self._revision
        if (
            self._stale_snapshot is not None
            and request.query.get("allow_stale") == "1"
        ):
            objects, revision = self._stale_snapshot
        after = request.query.get("after", "")
        matching = sorted(
            name for k, name in objects if k == kind and name > after
        )
        page = matching[:PAGE_OBJECTS_MAX]
        return _respond(
            200,
            {
                "items": [objects[kind, n].to_wire() for n in page],
                "more": len(matching) > len(page),
                "at_rev": revision,
            },
        )

    async def _watch(
        self, kind: str, after_revision: int, wait_s: float
    ) -> aiohttp.web.Response:
        def find_events() -> list[_Event]:
            return [
                event
                for event in self._events
                if event.kind == kind and event.stored.revision > after_revision
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: find_events() or self._is_unknown(after_revision)
                )
        except TimeoutError:
            # No change arrived in time; the reply then has no events.
            pass
        if self._is_unknown(after_revision):
            raise aiohttp.web.HTTPGone()
        events = [
            {"object": event.stored.to_wire(), "removed": event.removed}
            for event in find_events()
        ]
        return _respond(200, {"events": events, "at_rev": self._revision})

    def _is_unknown(self, revision: int) -> bool:
        """Whether the history after a revision is gone or does not exist."""
        return not self._compacted_revision <= revision <= self._revision

    async def _post(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        document = await _read_document(request)
        key = (request.match_info["kind"], document["meta"]["name"])
        stored = self._objects.get(key)
        if stored is not None:
            return _respond(409, stored.to_wire())
        updated = await self.store(*key, document.get("spec"))
        return _respond(200, updated.to_wire())

    async def _put(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        document = await _read_document(request)
        stored = self._objects.get(_object_key(request))
        if stored is None:
            raise aiohttp.web.HTTPNotFound()
        expected = document["meta"].get("revision")
        if expected is not None and stored.revision != expected:
            return _respond(409, stored.to_wire())
        if stored.spec != document.get("spec"):
            stored = await self.store(
                *_object_key(request), document.get("spec")
            )
        return _respond(200, stored.to_wire())

    async def _delete(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        await self.remove(*_object_key(request))
        return _respond(200, {})

    async def store(self, kind: str, name: str, spec: Any) -> _StoredObject:
        """Creates or replaces an object and returns it."""
        async with self._changed:
            self._revision += 1
            existing = self._objects.get((kind, name))
            created = existing.created if existing else self._revision
            updated = _StoredObject(name, self._revision, created, spec)
            self._objects[kind, name] = updated
            self._events.append(_Event(kind, updated, removed=False))
            self._record_write(kind, updated)
            self._changed.notify_all()
        return updated

    async def store_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Creates or replaces an object, as a writer of malformed JSON does.

        Args:
          kind: Kind of the object.
          name: Name within the kind.
          spec: Content, which is sent as it is.
        """
        async with self._changed:
            self._revision += 1
            stored = _StoredObject(
                name, self._revision, self._revision, msgspec.Raw(spec)
            )
            self._objects[kind, name] = stored
            self._events.append(_Event(kind, stored, removed=False))
            self._changed.notify_all()

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""
        async with self._changed:
            existing = self._objects.pop((kind, name), None)
            if existing is None:
                return
            self._revision += 1
            deleted = dataclasses.replace(existing, revision=self._revision)
            self._events.append(_Event(kind, deleted, removed=True))
            self._changed.notify_all()

    async def compact_history(self) -> None:
        """Drops all past changes; watches from an earlier revision fail."""
        async with self._changed:
            self._revision += 1
            self._compacted_revision = self._revision
            self._events.clear()
            self._changed.notify_all()

    def save_copy(self) -> None:
        """Keeps the current objects and revision as the copy."""
        self._copy = dict(self._objects), self._revision

    async def return_to_copy(self) -> None:
        """Continues from the copy in a new era.

        Changes since the copy are gone, and their revisions are given out
        again. A watch from a revision that does not exist fails with 410 while
        that is so.
        """
        assert self._copy is not None
        assert self.era is not None
        async with self._changed:
            objects, self._revision = self._copy
            self._objects = dict(objects)
            self._events = [
                event
                for event in self._events
                if event.stored.revision <= self._revision
            ]
            self.era += 1
            self._changed.notify_all()

    def freeze_stale_lists(self) -> None:
        """Makes later stale lists return the state as of this call."""
        self._stale_snapshot = dict(self._objects), self._revision

    def client_counts(self, client: str) -> Mapping[str, int]:
        """Returns the number of calls of one client by kind of call."""
        return self._client_counts.get(client, {})

    def set_faults(self, faults: Faults) -> None:
        """Sets the faults to inject; replaces the previous ones."""
        self._faults = faults

    def _record_write(self, kind: str, stored: _StoredObject) -> None:
        if kind not in ("bundles", INSTANCE_KIND):
            self._writes.append(
                {
                    "time_s": time.monotonic(),
                    "kind": kind,
                    "name": stored.name,
                    "version": stored.revision,
                    "value": stored.spec,
                }
            )

    async def _set_instances(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        listed = {
            entry["instance_id"]: entry
            for entry in (await request.json())["instances"]
        }
        existing = [name for k, name in self._objects if k == INSTANCE_KIND]
        for name in existing:
            if name not in listed:
                await self.remove(INSTANCE_KIND, name)
        for name, entry in listed.items():
            await self.store(INSTANCE_KIND, name, entry)
        return aiohttp.web.json_response({})

    async def _set_faults(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        self.set_faults(msgspec.json.decode(await request.read(), type=Faults))
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


_WRITE_METHODS = frozenset({"PUT", "POST", "DELETE"})


def _object_key(request: aiohttp.web.Request) -> tuple[str, str]:
    return request.match_info["kind"], request.match_info["name"]


async def _read_document(request: aiohttp.web.Request) -> dict[str, Any]:
    body = await request.read()
    if len(body) > VALUE_SIZE_MAX_BYTES:
        raise aiohttp.web.HTTPRequestEntityTooLarge(
            VALUE_SIZE_MAX_BYTES, len(body)
        )
    document: dict[str, Any] = msgspec.json.decode(body)
    return document


def _respond(status: int, document: dict[str, Any]) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status,
        body=msgspec.json.encode(document),
        content_type="application/json",
    )
