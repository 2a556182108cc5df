"""Relays the state of the store to subscribed instances."""

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

# Maximum number of feeds that one instance serves. Each costs a few hundred
# bytes per second; the limit keeps their sum within the budget for control
# traffic in a deployment of the size that the system is designed for. A
# rejected subscriber asks the next instance.
FEEDS_MAX = 32

# Maximum number of messages queued for a subscriber that does not read. Beyond
# it the feed is closed, and the subscriber calls the store itself.
QUEUED_MESSAGES_MAX = 256

# Maximum time that a watch waits while there are subscribers. After a loss of
# the store the feeds are closed within this time plus the time allowed for the
# reply. The sum is below the time after which a leaving target must not get any
# more requests.
PUBLISHER_WATCH_WAIT_S = 1.0

# Pause between two watches while there are subscribers. It is shorter than
# without subscribers, because the subscribers share the cost.
PUBLISHER_WATCH_PAUSE_S = 0.25

# Interval of the pings to a subscriber. One that does not reply within half of
# it is closed: a connection that has gone silent without a reset would keep one
# of the FEEDS_MAX places for good.
HEARTBEAT_S = 2.0

# Maximum time for the closing handshake with a subscriber.
CLOSE_TIMEOUT_S = 0.1

# Size of the deflate window as a power of two; small, because each feed has a
# window of its own.
COMPRESSION_BITS = 12


class _Subscriber:
    """Queue of the messages that one feed has not sent yet."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue(
            QUEUED_MESSAGES_MAX
        )

    def put(self, data: bytes | None) -> None:
        if self.queue.full():
            # Queued messages are useless to the subscriber once one is lost.
            while not self.queue.empty():
                self.queue.get_nowait()
            data = None
        self.queue.put_nowait(data)


class Publisher:
    """Serves feeds of the store's state to other instances.

    An instance with subscribers watches the store itself. All feeds are closed
    when it loses the store, so that subscribers never rely on a state that is
    no longer confirmed.
    """

    def __init__(
        self, followers: Mapping[str, follower_lib.Follower], wait_s: float
    ) -> None:
        self._followers = followers
        self._idle_wait_s = wait_s
        self._subscribers: set[_Subscriber] = set()
        self._is_closed = False
        for kind, follower in followers.items():
            follower.add_observer(
                follower_lib.Observer(
                    functools.partial(self._on_listing, kind),
                    functools.partial(self._on_changes, kind),
                    self._close_all,
                )
            )

    @property
    def subscriber_count(self) -> int:
        """Number of open feeds."""
        return len(self._subscribers)

    def routes(self) -> list[aiohttp.web.RouteDef]:
        """Returns the HTTP routes that serve feeds."""
        return [aiohttp.web.get(feed.PATH, self._serve)]

    async def _serve(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        if feed.UNCONFIRMED in request.query:
            return await self._send_once(request)
        if len(self._subscribers) >= FEEDS_MAX or not self._can_publish():
            return aiohttp.web.Response(status=503, text="feed unavailable\n")
        socket = await _accept(request)
        if not self._can_publish():
            # The store was lost meanwhile, which closed the feeds that were
            # open then. This one would confirm an outdated state.
            await socket.close()
            return socket
        subscriber = _Subscriber()
        self._add(subscriber)
        _LOG.info(
            "feed_opened",
            subscriber=request.remote,
            feeds=len(self._subscribers),
        )
        sender = asyncio.create_task(_send(socket, subscriber))
        try:
            # Subscribers send no messages; this returns when the feed closes.
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
        """Sends one snapshot to an instance that has no state yet."""
        if not all(f.has_state for f in self._followers.values()):
            return aiohttp.web.Response(status=503, text="no state available\n")
        socket = await _accept(request)
        for kind in self._followers:
            await socket.send_bytes(feed.encode(self._snapshot(kind)))
        await socket.close()
        return socket

    def close(self) -> None:
        """Closes all feeds and rejects new ones, before the process ends."""
        self._is_closed = True
        self._close_all()

    def _can_publish(self) -> bool:
        return not self._is_closed and all(
            f.is_connected for f in self._followers.values()
        )

    def _add(self, subscriber: _Subscriber) -> None:
        is_first = not self._subscribers
        self._subscribers.add(subscriber)
        for kind, follower in self._followers.items():
            follower.wait_s = min(PUBLISHER_WATCH_WAIT_S, self._idle_wait_s)
            follower.watch_pause_s = PUBLISHER_WATCH_PAUSE_S
            follower.resume()
            if is_first:
                # The running watch may outlast the time after which the
                # subscriber gives up an unconfirmed feed.
                follower.restart_watch()
            subscriber.put(feed.encode(self._snapshot(kind)))

    def _remove(self, subscriber: _Subscriber) -> None:
        self._subscribers.discard(subscriber)
        if not self._subscribers:
            for follower in self._followers.values():
                follower.wait_s = self._idle_wait_s
                follower.watch_pause_s = follower_lib.WATCH_PAUSE_S

    def _snapshot(self, kind: str) -> feed.Message:
        follower = self._followers[kind]
        now_s = time.monotonic()
        connected_s = now_s - follower.reconnected_s
        age_ms = round((now_s - follower.confirmed_s) * 1000)
        return feed.Message(
            kind,
            follower.values_revision,
            follower.values,
            (),
            follower.is_connected
            and connected_s > targets_lib.RECONNECT_GRACE_S,
            age_ms if follower.is_connected else None,
            follower.era,
        )

    def _on_listing(self, kind: str) -> None:
        if self._subscribers:
            self._put(feed.encode(self._snapshot(kind)))

    def _on_changes(self, kind: str, changes: client_lib.Changes) -> None:
        if self._subscribers:
            era = self._followers[kind].era
            self._put(feed.encode(_to_message(kind, changes, era)))

    def _put(self, data: bytes | None) -> None:
        for subscriber in self._subscribers:
            subscriber.put(data)

    def _close_all(self) -> None:
        self._put(None)


def _to_message(
    kind: str, changes: client_lib.Changes, era: int | None
) -> feed.Message:
    return feed.Message(
        kind,
        changes.revision,
        None,
        tuple(
            feed.Change(change.name, change.value, change.is_removed)
            for change in changes.changes
        ),
        era=era,
    )


async def _accept(
    request: aiohttp.web.Request,
) -> aiohttp.web.WebSocketResponse:
    socket = aiohttp.web.WebSocketResponse(
        compress=True, timeout=CLOSE_TIMEOUT_S, heartbeat=HEARTBEAT_S
    )
    await socket.prepare(request)
    return socket


async def _send(
    socket: aiohttp.web.WebSocketResponse, subscriber: _Subscriber
) -> None:
    while True:
        data = await subscriber.queue.get()
        if data is None:
            await socket.close()
            return
        try:
            await socket.send_bytes(data)
        except (ConnectionError, aiohttp.ClientError) as error:
            _LOG.info("feed_send_failed", error=str(error))
            return
