"""Stand-in of the platform's store, as PROTOCOL.md describes it.

Objects are kept by kind and name. It answers lists, watches, creations,
replacements and removals, and keeps its whole history.
"""

import asyncio
import contextlib
import dataclasses
import json
import time
from typing import Any
import urllib.parse

import http11
import record as record_lib

ANSWER_DELAY_S = 0.004
JSON_HEADERS = {"Content-Type": "application/json"}


@dataclasses.dataclass
class Event:
    """A change of one object."""

    revision: int
    kind: str
    document: dict[str, Any]
    is_removed: bool


class Store:
    """The store; all methods besides the server's are for the test."""

    def __init__(self, record: record_lib.Record) -> None:
        self._record = record
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[Event] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self._connections: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._watching: dict[asyncio.StreamWriter, str] = {}
        self._server: asyncio.Server | None = None
        self.calls: list[tuple[float, str]] = []

    async def start(self, port: int) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    # What the operator, the leafs and the test do

    def put(self, kind: str, name: str, spec: Any) -> float:
        """Creates or replaces an object; returns the time of the answer."""
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return time.monotonic()
        self._revision += 1
        created = known["meta"]["created"] if known else self._revision
        document = {
            "meta": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        objects[name] = document
        self._announce(Event(self._revision, kind, document, False))
        return time.monotonic()

    def remove(self, kind: str, name: str) -> float:
        """Removes an object; returns the time of the answer."""
        document = self._objects.get(kind, {}).pop(name, None)
        if document is not None:
            self._revision += 1
            self._announce(Event(self._revision, kind, document, True))
        return time.monotonic()

    def _announce(self, event: Event) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def names(self, kind: str) -> list[str]:
        """Returns the names of all objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    # Disruptions

    def silence_open_connections(self) -> int:
        """Lets all open connections go silent; new ones work."""
        self._silent |= self._connections
        return len(self._connections)

    def watching_kinds(self) -> list[str]:
        """Returns the kinds of the watches that wait now."""
        return sorted(self._watching.values())

    def cut_watches(self) -> int:
        """Cuts off all watches that wait now."""
        writers = list(self._watching)
        for writer in writers:
            writer.close()
        return len(writers)

    # Server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while (request := await http11.read(reader)) is not None:
                if writer in self._silent:
                    continue
                answer = await self._answer(request, reader, writer)
                if writer in self._silent or answer is None:
                    continue
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            self._silent.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(
        self,
        request: http11.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        method, target, _ = request.start.split(" ")
        self.calls.append((time.monotonic(), f"{method} {target}"))
        await asyncio.sleep(ANSWER_DELAY_S)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, kind, *rest = url.path.split("/")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query, writer)
        if method == "GET" and not rest:
            return self._list(kind)
        if method == "GET":
            return self._read(kind, rest[0])
        document = json.loads(request.body) if request.body else {}
        return self._change(method, kind, rest, document)

    def _list(self, kind: str) -> bytes:
        items = [self._objects[kind][name] for name in self.names(kind)]
        page = {"items": items, "more": False, "at_rev": self._revision}
        return _json_response(200, page)

    def _read(self, kind: str, name: str) -> bytes:
        found = self._objects.get(kind, {}).get(name)
        if found is None:
            return _json_response(404, {})
        return _json_response(200, found)

    async def _watch(
        self, kind: str, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> bytes | None:
        after = int(query["watch"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        self._watching[writer] = kind
        try:
            while True:
                found = [
                    e
                    for e in self._events
                    if e.kind == kind and e.revision > after
                ]
                wait_s = end_s - time.monotonic()
                if found or wait_s <= 0 or writer.is_closing():
                    break
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_s)
        finally:
            self._watching.pop(writer, None)
        if writer.is_closing():
            return None
        events = [
            {"removed": e.is_removed, "object": e.document} for e in found
        ]
        return _json_response(200, {"events": events, "at_rev": self._revision})

    def _change(
        self,
        method: str,
        kind: str,
        rest: list[str],
        document: dict[str, Any],
    ) -> bytes:
        meta = document.get("meta", {})
        name = rest[0] if rest else str(meta.get("name"))
        known = self._objects.get(kind, {}).get(name)
        if method == "POST" and known is not None:
            return _json_response(409, known)
        if method == "PUT" and known is None:
            return _json_response(404, {})
        revision = meta.get("revision")
        if known is not None and revision not in (
            None,
            known["meta"]["revision"],
        ):
            return _json_response(409, known)
        if method == "DELETE":
            self.remove(kind, name)
            return _json_response(200, {})
        self.put(kind, name, document.get("spec"))
        return _json_response(200, self._objects[kind][name])


def _json_response(status: int, value: Any) -> bytes:
    return http11.response(status, JSON_HEADERS, json.dumps(value).encode())
