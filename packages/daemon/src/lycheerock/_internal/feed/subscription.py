"""Receives the state of the store through a feed of another instance."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import enum
import random
import time

import aiohttp
import structlog

from lycheerock._internal.discovery import follower as follower_lib
from lycheerock._internal.discovery import positions
from lycheerock._internal.feed import ranking
from lycheerock._internal.feed import seed_evidence
from lycheerock._internal.platform import client as client_lib
from lycheerock_protocol import feed

_LOG = structlog.get_logger()

# Time limit for opening a connection, which takes a few round trips between
# regions. A lost instance does not reply.
CONNECT_TIMEOUT_S = 0.4

# Time limit for the response to the request for a feed. A frozen instance
# accepts connections but does not respond.
HANDSHAKE_TIMEOUT_S = 1.0

# Time limit for the first message of each kind, until which this instance still
# watches the store itself. With the default settings it is longer than any
# watch that the publisher may have started before it had subscribers.
FIRST_MESSAGE_TIMEOUT_S = 5.0

# Time without a message of some kind after which the feed is given up and the
# store is watched again, early enough for changes that must be known within
# three seconds. A publisher sends a message of each kind after each watch, that
# is at least every 1.3 s plus the store's latency; a watch for which the store
# no longer has the history adds a second.
SILENCE_TIMEOUT_S = 2.2

# Pause after a feed has ended or no publisher was found, and time for which a
# failed publisher is not tried again. The jitter keeps the subscribers of a
# lost publisher from all connecting to the next one at once.
PAUSE_MIN_S = 2.0
PAUSE_MAX_S = 4.0
PUBLISHER_BACKOFF_S = 10.0

# Time for which a publisher that has rejected a subscriber is not tried again,
# and number of rejections in a row without a pause. A publisher rejects at
# once, because it has too many subscribers or has lost the store, so trying the
# next one is cheaper than watching the store during the pause.
REJECTED_BACKOFF_S = 3.0
REJECTIONS_MAX = 4

# Pause between attempts to fetch an initial state from the seeds while the
# store does not reply. An instance without any state refuses all requests.
SEED_PAUSE_S = 0.2

# Delay before the seeds are tried: the store normally replies to a starting
# instance within a few round trips.
SEED_DELAY_S = 0.15

# Time for which the other seeds may still reply after the first one has. The
# newest state is used, since a seed may have lost the store before the others.
SEED_REPLIES_WAIT_S = 0.1


class _FeedEndedError(Exception):
    """The feed has ended or must not be used any longer."""


class _FeedEnd(enum.Enum):
    """How a feed has ended."""

    # The publisher has too many subscribers or has lost the store.
    REJECTED = "rejected"
    FAILED = "failed"
    # Another publisher is preferred.
    REPLACED = "replaced"


_FEED_ERRORS = (
    _FeedEndedError,
    TimeoutError,
    aiohttp.ClientError,
    OSError,
    # An address that is no address, in the entry of another writer.
    ValueError,
    *feed.DECODE_ERRORS,
)


class Subscription:
    """Selects a publisher and updates the followers from its feed.

    While no feed is confirmed to be current, the followers watch the store.
    """

    def __init__(
        self,
        followers: Mapping[str, follower_lib.Follower],
        own_address: str,
        seed_addresses: tuple[str, ...],
        is_publishing: Callable[[], bool],
        needs_evidence: Callable[[feed.Message], bool] = lambda _message: False,
    ) -> None:
        """Initializes the subscription.

        Args:
          followers: Followers by kind, which are updated.
          own_address: Feed address of this instance.
          seed_addresses: Feed addresses that are asked for an initial state.
          is_publishing: Returns whether this instance has subscribers.
          needs_evidence: Returns whether a snapshot from a seed must not be
            used while a newer one may exist.
        """
        self._needs_evidence = needs_evidence
        self._followers = followers
        self._own_address = own_address
        self._seeds = [a for a in seed_addresses if a != own_address]
        self._is_publishing = is_publishing
        self._candidates: tuple[str, ...] = ()
        self._others: tuple[str, ...] = ()
        self._is_store_lost = asyncio.Event()
        self._have_candidates_changed = False
        self._are_candidates_known = asyncio.Event()
        self._backoff_until_s: dict[str, float] = {}
        self.publisher: str | None = None
        for follower in followers.values():
            follower.add_observer(
                follower_lib.Observer(
                    lambda: None,
                    lambda _changes: None,
                    self._is_store_lost.set,
                )
            )

    def set_instances(self, address_by_name: Mapping[str, str]) -> None:
        """Sets the instances that may serve as publishers.

        Args:
          address_by_name: Feed addresses of all instances by name.
        """
        candidates = ranking.predecessors(
            self._own_address, address_by_name.values()
        )
        self._have_candidates_changed = candidates != self._candidates
        self._candidates = candidates
        self._others = ranking.others(
            self._own_address, address_by_name.values()
        )
        self._are_candidates_known.set()

    async def run(self) -> None:
        """Subscribes to a publisher whenever there is one, until cancelled."""
        await self._fetch_initial_state()
        await self._are_candidates_known.wait()
        rejection_count = 0
        while True:
            address = self._select_publisher()
            end = None if address is None else await self._follow(address)
            # Without the store, most instances would reject this one, and the
            # others are about to notice that they have lost the store as well.
            if end == _FeedEnd.REJECTED and self._is_connected():
                rejection_count += 1
                if rejection_count < REJECTIONS_MAX:
                    continue
            rejection_count = 0
            if end != _FeedEnd.REPLACED:
                await self._pause()

    async def _pause(self) -> None:
        """Waits for a random time, or until the store is lost."""
        self._is_store_lost.clear()
        pause_s = random.uniform(PAUSE_MIN_S, PAUSE_MAX_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._is_store_lost.wait()

    def _select_publisher(self) -> str | None:
        if self._is_publishing():
            return None
        now_s = time.monotonic()
        connected = self._is_connected()
        for address in self._candidates if connected else self._others:
            if self._backoff_until_s.get(address, 0.0) <= now_s:
                return address
        return None

    def _is_connected(self) -> bool:
        return all(f.is_connected for f in self._followers.values())

    def _should_switch_from(self, address: str) -> bool:
        """Returns whether to leave the publisher for a preferred one.

        This is decided only after the candidates have changed. Returning to an
        earlier publisher that failed would cost calls to the store with each
        switch, without any benefit.
        """
        if not self._have_candidates_changed:
            return False
        self._have_candidates_changed = False
        return self._select_publisher() not in (None, address)

    async def _follow(self, address: str) -> _FeedEnd:
        self._backoff_until_s.pop(address, None)
        end, reason = _FeedEnd.REPLACED, "another publisher is preferred"
        opened_s = time.monotonic()
        try:
            async with _new_session() as session:
                await self._receive(session, address)
        except aiohttp.WSServerHandshakeError as error:
            end, reason = _FeedEnd.REJECTED, f"status {error.status}"
            self._back_off(address, REJECTED_BACKOFF_S)
        except _FEED_ERRORS as error:
            end, reason = _FeedEnd.FAILED, f"{type(error).__name__}: {error}"
            self._back_off(address, PUBLISHER_BACKOFF_S)
        finally:
            for follower in self._followers.values():
                follower.resume()
            self.publisher = None
        _LOG.info(
            "feed_lost",
            publisher=address,
            reason=reason,
            used_ms=round((time.monotonic() - opened_s) * 1000),
        )
        return end

    def _back_off(self, address: str, backoff_s: float) -> None:
        self._backoff_until_s[address] = time.monotonic() + backoff_s

    async def _receive(
        self, session: aiohttp.ClientSession, address: str
    ) -> None:
        timeout = aiohttp.ClientWSTimeout(ws_close=0.1)
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            opened = await session.ws_connect(
                f"http://{address}{feed.PATH}",
                compress=15,
                timeout=timeout,
                max_msg_size=client_lib.REPLY_SIZE_MAX_BYTES,
            )
        async with opened as socket:
            missing_kinds = set(self._followers)
            last_message_s = dict.fromkeys(self._followers, time.monotonic())
            while not self._should_switch_from(address):
                limit_s = (
                    FIRST_MESSAGE_TIMEOUT_S
                    if missing_kinds
                    else SILENCE_TIMEOUT_S
                )
                wait_s = (
                    min(last_message_s.values()) + limit_s - time.monotonic()
                )
                async with asyncio.timeout(max(0.0, wait_s)):
                    received = await socket.receive()
                message = _read(received)
                if self._apply(message):
                    last_message_s[message.kind] = time.monotonic()
                    missing_kinds.discard(message.kind)
                if not missing_kinds:
                    self._start_using(address)
                if self._is_publishing():
                    raise _FeedEndedError("this instance has subscribers")

    def _start_using(self, address: str) -> None:
        if self.publisher == address:
            return
        self.publisher = address
        for follower in self._followers.values():
            follower.pause()
        _LOG.info(
            "feed_in_use",
            publisher=address,
            revisions={k: f.revision for k, f in self._followers.items()},
        )

    def _apply(self, message: feed.Message) -> bool:
        """Applies a message unless the follower is ahead of it.

        Returns:
          Whether the message confirms the state of its kind. One of an older
          era does not: its publisher has not noticed that the store has
          returned from a copy.
        """
        follower = self._followers.get(message.kind)
        if follower is None:
            return False
        if positions.is_older(_position(message), follower.position):
            # The store is still watched while a feed opens, so the follower may
            # be ahead of the feed.
            return not positions.is_older_era(message.era, follower.era)
        is_new_era = positions.is_other_era(message.era, follower.era)
        if message.snapshot is not None:
            listing = client_lib.Listing(
                message.snapshot, message.revision, message.era
            )
            was_lost = is_new_era or not (
                message.is_settled and follower.is_connected
            )
            follower.apply_listing(listing, was_lost=was_lost)
            return True
        if is_new_era:
            raise _FeedEndedError("changes of a new era without its list")
        # Some of the changes may already be known. Applying them again is
        # harmless, because the message ends with the newest change.
        follower.apply_changes(_to_changes(message))
        return True

    async def _fetch_initial_state(self) -> None:
        """Fetches the state from the seeds while the store is unreachable.

        The seeds are the instances whose addresses the settings list.
        """
        await asyncio.sleep(SEED_DELAY_S)
        while self._seeds and not self._has_state():
            replies = await self._ask_seeds()
            messages = [m for reply in replies for m in reply.messages]
            for message in newest_by_kind(messages):
                if self._is_usable(message, replies):
                    self._apply_unconfirmed(message)
                else:
                    _LOG.warning(
                        "seed_state_unproved",
                        kind=message.kind,
                        revision=message.revision,
                        heard=sum(reply.is_heard for reply in replies),
                        seeds=len(self._seeds),
                    )
            if not self._has_state():
                await asyncio.sleep(SEED_PAUSE_S)

    def _has_state(self) -> bool:
        return all(
            f.has_state or f.is_connected for f in self._followers.values()
        )

    def _is_usable(
        self, message: feed.Message, replies: Sequence[seed_evidence.SeedReply]
    ) -> bool:
        return not self._needs_evidence(message) or seed_evidence.is_proved(
            message.kind, replies, len(self._seeds)
        )

    async def _ask_seeds(self) -> list[seed_evidence.SeedReply]:
        """Returns the replies of the seeds that reply in time.

        Seeds that are late are waited for only if the state needs evidence that
        the others do not provide.
        """
        requests = [
            asyncio.create_task(self._fetch_state_from(address))
            for address in self._seeds
        ]
        try:
            for first in asyncio.as_completed(requests):
                if (await first).messages:
                    await asyncio.wait(requests, timeout=SEED_REPLIES_WAIT_S)
                    break
            replies = _replies(requests)
            if not all(
                self._is_usable(message, replies)
                for reply in replies
                for message in reply.messages
            ):
                await asyncio.wait(requests)
            return _replies(requests)
        finally:
            for request in requests:
                request.cancel()

    async def _fetch_state_from(self, address: str) -> seed_evidence.SeedReply:
        """Returns the reply of a seed; it has no messages if the seed fails."""
        try:
            async with (
                _new_session() as session,
                asyncio.timeout(2 * CONNECT_TIMEOUT_S),
                session.ws_connect(
                    f"http://{address}{feed.PATH}",
                    params={feed.UNCONFIRMED: "1"},
                    compress=15,
                    timeout=aiohttp.ClientWSTimeout(ws_close=0.1),
                    max_msg_size=client_lib.REPLY_SIZE_MAX_BYTES,
                ) as socket,
            ):
                messages = [
                    self._read_snapshot(await socket.receive())
                    for _ in self._followers
                ]
        except _FEED_ERRORS as error:
            _LOG.info(
                "seed_gave_no_state",
                seed=address,
                reason=f"{type(error).__name__}: {error}",
            )
            is_heard = isinstance(
                error, (ConnectionRefusedError, aiohttp.WSServerHandshakeError)
            )
            return seed_evidence.SeedReply(is_heard)
        _LOG.info(
            "seed_gave_state",
            seed=address,
            revisions={m.kind: m.revision for m in messages},
        )
        return seed_evidence.SeedReply(True, tuple(messages))

    def _read_snapshot(self, received: aiohttp.WSMessage) -> feed.Message:
        message = _read(received)
        if message.kind not in self._followers or message.snapshot is None:
            raise _FeedEndedError(f"no snapshot, or of kind {message.kind}")
        return message

    def _apply_unconfirmed(self, message: feed.Message) -> None:
        follower = self._followers[message.kind]
        if follower.has_state or follower.is_connected:
            return
        assert message.snapshot is not None
        _LOG.warning(
            "state_taken_from_seed",
            kind=message.kind,
            revision=message.revision,
        )
        follower.apply_unconfirmed(
            client_lib.Listing(message.snapshot, message.revision, message.era)
        )


def newest_by_kind(messages: Iterable[feed.Message]) -> list[feed.Message]:
    """Returns the snapshot with the latest position for each kind.

    Revisions count all changes of the store in an era, so the highest one
    belongs to the instance that has read the store last.
    """
    newest: dict[str, feed.Message] = {}
    for message in messages:
        known = newest.get(message.kind)
        if known is None or positions.is_older(
            _position(known), _position(message)
        ):
            newest[message.kind] = message
    return list(newest.values())


def _position(message: feed.Message) -> positions.Position:
    return positions.Position(message.era, message.revision)


def _replies(
    requests: Iterable[asyncio.Task[seed_evidence.SeedReply]],
) -> list[seed_evidence.SeedReply]:
    return [request.result() for request in requests if request.done()]


def _new_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
    )


def _read(received: aiohttp.WSMessage) -> feed.Message:
    if received.type != aiohttp.WSMsgType.BINARY:
        raise _FeedEndedError(
            f"the publisher closed the feed ({received.type.name})"
        )
    return feed.decode(received.data)


def _to_changes(message: feed.Message) -> client_lib.Changes:
    return client_lib.Changes(
        tuple(
            client_lib.Change(
                change.name, message.revision, change.value, change.is_removed
            )
            for change in message.changes
        ),
        message.revision,
    )
