"""Passes the state of the store on to the instances that ask for it."""

import asyncio
from collections.abc import Mapping
import functools
import time

import aiohttp
import aiohttp.web
import structlog

from lycheerock._internal.discovery import follower as follower_lib
from lycheerock._internal.discovery import targets as targets_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_protocol import feed

_LOG = structlog.get_logger()

# Feeds of one instance. Each costs some hundred bytes a second; the bound keeps
# the sum at the size to design for within the limit for control. Whoever finds
# no room asks the next instance.
FEEDS_MAX = 32

# Messages that may wait for a subscriber which does not read. It is cut off
# then and calls the store itself.
BACKLOG_MAX = 256

# Longest wait of a watch while others depend on it. They notice a silent path
# within this time and the time limit of the call, which together stay under the
# time in which a leaving target must get no more requests.
SERVING_WAIT_S = 1.0

# Pause between two watches on which others depend: shorter than that of one
# instance alone, since the price is shared.
SERVING_PACE_S = 0.25

# Window of deflate as a power of two: small, since each feed has its own.
COMPRESSION_BITS = 12


class _Subscriber:
    """What one feed still has to send."""

    def __init__(self) -> None:
        self.outbox: asyncio.Queue[bytes | None] = asyncio.Queue(BACKLOG_MAX)

    def put(self, data: bytes | None) -> None:
        if self.outbox.full():
            # Everything in it is worthless once a message is missing.
            while not self.outbox.empty():
                self.outbox.get_nowait()
            data = None
        self.outbox.put_nowait(data)


class Publisher:
    """Serves feeds; an instance that has subscribers watches the store itself.

    Feeds end when this instance loses the store, so that subscribers never
    trust a state that nobody confirms.
    """

    def __init__(
        self, followers: Mapping[str, follower_lib.Follower], wait_s: float
    ) -> None:
        self._followers = followers
        self._idle_wait_s = wait_s
        self._subscribers: set[_Subscriber] = set()
        for kind, follower in followers.items():
            follower.observe(
                follower_lib.Observers(
                    functools.partial(self._on_listing, kind),
                    functools.partial(self._on_changes, kind),
                    self._end_all,
                )
            )

    @property
    def subscriber_count(self) -> int:
        """Feeds that are open."""
        return len(self._subscribers)

    def routes(self) -> list[aiohttp.web.RouteDef]:
        """Returns the routes for other instances."""
        return [aiohttp.web.get(feed.PATH, self._serve)]

    async def _serve(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        if feed.UNCONFIRMED in request.query:
            return await self._send_once(request)
        if len(self._subscribers) >= FEEDS_MAX or not self._is_connected():
            return aiohttp.web.Response(status=503, text="no feed here now\n")
        socket = await _accept(request)
        subscriber = _Subscriber()
        self._add(subscriber)
        _LOG.info(
            "feed_opened",
            subscriber=request.remote,
            feeds=len(self._subscribers),
        )
        sender = asyncio.create_task(_send(socket, subscriber))
        try:
            # Subscribers send nothing; this returns when the feed has ended.
            await socket.receive()
        finally:
            sender.cancel()
            self._remove(subscriber)
            _LOG.info(
                "feed_closed",
                subscriber=request.remote,
                feeds=len(self._subscribers),
            )
        return socket

    async def _send_once(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        """Sends what is known, for an instance that knows nothing."""
        if any(not follower.values for follower in self._followers.values()):
            return aiohttp.web.Response(status=503, text="nothing known yet\n")
        socket = await _accept(request)
        for kind in self._followers:
            await socket.send_bytes(feed.encode(self._snapshot(kind)))
        await socket.close()
        return socket

    def _is_connected(self) -> bool:
        return all(f.is_connected for f in self._followers.values())

    def _add(self, subscriber: _Subscriber) -> None:
        self._subscribers.add(subscriber)
        for kind, follower in self._followers.items():
            follower.wait_s = min(SERVING_WAIT_S, self._idle_wait_s)
            follower.pace_s = SERVING_PACE_S
            follower.resume()
            subscriber.put(feed.encode(self._snapshot(kind)))

    def _remove(self, subscriber: _Subscriber) -> None:
        self._subscribers.discard(subscriber)
        if not self._subscribers:
            for follower in self._followers.values():
                follower.wait_s = self._idle_wait_s
                follower.pace_s = follower_lib.PACE_S

    def _snapshot(self, kind: str) -> feed.Message:
        follower = self._followers[kind]
        connected_s = time.monotonic() - follower.regained_s
        return feed.Message(
            kind,
            follower.revision or 0,
            follower.values,
            (),
            follower.is_connected
            and connected_s > targets_lib.RECONNECT_GRACE_S,
        )

    def _on_listing(self, kind: str) -> None:
        if self._subscribers:
            self._put(feed.encode(self._snapshot(kind)))

    def _on_changes(self, kind: str, changes: client_lib.Changes) -> None:
        if self._subscribers:
            self._put(feed.encode(_to_message(kind, changes)))

    def _put(self, data: bytes | None) -> None:
        for subscriber in self._subscribers:
            subscriber.put(data)

    def _end_all(self) -> None:
        self._put(None)


def _to_message(kind: str, changes: client_lib.Changes) -> feed.Message:
    return feed.Message(
        kind,
        changes.revision,
        None,
        tuple(
            feed.Change(change.name, change.value, change.is_removed)
            for change in changes.changes
        ),
    )


async def _accept(
    request: aiohttp.web.Request,
) -> aiohttp.web.WebSocketResponse:
    socket = aiohttp.web.WebSocketResponse(compress=True, timeout=0.1)
    await socket.prepare(request)
    return socket


async def _send(
    socket: aiohttp.web.WebSocketResponse, subscriber: _Subscriber
) -> None:
    while True:
        data = await subscriber.outbox.get()
        if data is None:
            await socket.close()
            return
        try:
            await socket.send_bytes(data)
        except (ConnectionError, aiohttp.ClientError) as error:
            _LOG.info("feed_send_failed", error=str(error))
            return
