"""Takes the state of the store from another instance in place of the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import random
import time

import aiohttp
import msgspec
import structlog

from lycheerock._internal.discovery import follower as follower_lib
from lycheerock._internal.feed import ranking
from lycheerock._internal.platform import client as client_lib
from lycheerock_protocol import feed

_LOG = structlog.get_logger()

# A few round trips between regions; instances that are gone do not reply.
CONNECT_TIMEOUT_S = 0.4

# Time for the first confirmations, during which the store is still watched: the
# longest watch that a publisher may have begun before it had subscribers.
FIRST_TIMEOUT_S = 5.0

# A publisher confirms each kind after each watch, so at least every 1.3 s plus
# the store's latency; a watch that hears nothing before the history is dropped
# adds a second. After this silence the store is watched again, in time for what
# must be known within three seconds.
SILENCE_MAX_S = 2.2

# Pause after a feed that has ended, and for an instance that gave none. The
# spread keeps subscribers of a lost publisher from asking the next as one.
PAUSE_MIN_S = 2.0
PAUSE_MAX_S = 4.0
AVOID_S = 10.0

# Pause between attempts to learn a first state from the seeds while the store
# does not answer. An instance without any state refuses all requests.
SEED_PAUSE_S = 0.2

# The store answers a start in some round trips; seeds are asked after that.
SEED_DELAY_S = 0.15


class _FeedEndedError(Exception):
    """The feed is of no more use."""


class Subscription:
    """Chooses a publisher and keeps the followers up to date from its feed.

    Whenever the feed is not proven to be fresh the followers watch the store.
    """

    def __init__(
        self,
        followers: Mapping[str, follower_lib.Follower],
        own_address: str,
        seed_addresses: tuple[str, ...],
        is_publishing: Callable[[], bool],
    ) -> None:
        self._followers = followers
        self._own_address = own_address
        self._seeds = [a for a in seed_addresses if a != own_address]
        self._is_publishing = is_publishing
        self._candidates: tuple[str, ...] = ()
        self._others: tuple[str, ...] = ()
        self._is_store_lost = asyncio.Event()
        self._is_list_new = False
        self._are_candidates_known = asyncio.Event()
        self._avoid_until_s: dict[str, float] = {}
        self.publisher: str | None = None
        for follower in followers.values():
            follower.observe(
                follower_lib.Observers(
                    lambda: None,
                    lambda _changes: None,
                    self._is_store_lost.set,
                )
            )

    def set_instances(self, address_by_name: Mapping[str, str]) -> None:
        """Takes the instances that may publish, with their addresses."""
        candidates = ranking.before(self._own_address, address_by_name.values())
        self._is_list_new = candidates != self._candidates
        self._candidates = candidates
        self._others = ranking.others(
            self._own_address, address_by_name.values()
        )
        self._are_candidates_known.set()

    async def run(self) -> None:
        """Subscribes where possible until cancelled."""
        await self._learn_from_seeds()
        await self._are_candidates_known.wait()
        while True:
            address = self._choose()
            if address is not None:
                await self._follow(address)
            if address is None or address in self._avoid_until_s:
                await self._pause()

    async def _pause(self) -> None:
        """Waits for a while, or until the store is lost."""
        self._is_store_lost.clear()
        pause_s = random.uniform(PAUSE_MIN_S, PAUSE_MAX_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._is_store_lost.wait()

    def _choose(self) -> str | None:
        if self._is_publishing():
            return None
        now_s = time.monotonic()
        is_connected = all(f.is_connected for f in self._followers.values())
        for address in self._candidates if is_connected else self._others:
            if self._avoid_until_s.get(address, 0.0) <= now_s:
                return address
        return None

    def _has_better(self, address: str) -> bool:
        """Whether a new list names an instance before the publisher in use.

        To return to an earlier publisher that failed would cost calls to the
        store with each change and gain nothing.
        """
        if not self._is_list_new:
            return False
        self._is_list_new = False
        return self._choose() not in (None, address)

    async def _follow(self, address: str) -> None:
        self._avoid_until_s.pop(address, None)
        reason = "another instance comes before it"
        opened_s = time.monotonic()
        try:
            async with _new_session() as session:
                await self._receive(session, address)
        except (
            _FeedEndedError,
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.DecodeError,
        ) as error:
            reason = f"{type(error).__name__}: {error}"
            self._avoid_until_s[address] = time.monotonic() + AVOID_S
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

    async def _receive(
        self, session: aiohttp.ClientSession, address: str
    ) -> None:
        timeout = aiohttp.ClientWSTimeout(ws_close=0.1)
        async with session.ws_connect(
            f"http://{address}{feed.PATH}",
            compress=15,
            timeout=timeout,
        ) as socket:
            waiting = set(self._followers)
            heard_s = dict.fromkeys(self._followers, time.monotonic())
            while not self._has_better(address):
                limit_s = FIRST_TIMEOUT_S if waiting else SILENCE_MAX_S
                wait_s = min(heard_s.values()) + limit_s - time.monotonic()
                async with asyncio.timeout(max(0.0, wait_s)):
                    received = await socket.receive()
                message = _read(received)
                self._apply(message)
                heard_s[message.kind] = time.monotonic()
                waiting.discard(message.kind)
                if not waiting:
                    self._use(address)
                if self._is_publishing():
                    raise _FeedEndedError("others subscribe here")

    def _use(self, address: str) -> None:
        if self.publisher == address:
            return
        self.publisher = address
        for follower in self._followers.values():
            follower.rest()
        _LOG.info(
            "feed_in_use",
            publisher=address,
            revisions={k: f.revision for k, f in self._followers.items()},
        )

    def _apply(self, message: feed.Message) -> None:
        follower = self._followers.get(message.kind)
        if follower is None:
            return
        if message.revision < (follower.revision or 0):
            # While a feed opens, the store is still watched and may be ahead.
            return
        if message.snapshot is not None:
            listing = client_lib.Listing(message.snapshot, message.revision)
            was_lost = not (message.is_settled and follower.is_connected)
            follower.take_listing(listing, was_lost=was_lost)
            return
        # Some of the changes may be known. To apply them once more is harmless,
        # since the last ones are new.
        follower.take_changes(_to_changes(message))

    async def _learn_from_seeds(self) -> None:
        """Takes a first state from another instance if the store is away."""
        await asyncio.sleep(SEED_DELAY_S)
        while self._seeds and not self._has_state():
            for address in self._seeds:
                if await self._learn_from(address):
                    return
            await asyncio.sleep(SEED_PAUSE_S)

    def _has_state(self) -> bool:
        return all(f.values or f.is_connected for f in self._followers.values())

    async def _learn_from(self, address: str) -> bool:
        try:
            async with (
                _new_session() as session,
                asyncio.timeout(2 * CONNECT_TIMEOUT_S),
                session.ws_connect(
                    f"http://{address}{feed.PATH}",
                    params={feed.UNCONFIRMED: "1"},
                    compress=15,
                    timeout=aiohttp.ClientWSTimeout(ws_close=0.1),
                ) as socket,
            ):
                for _ in self._followers:
                    self._take_unconfirmed(_read(await socket.receive()))
        except (
            _FeedEndedError,
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.DecodeError,
        ) as error:
            _LOG.info(
                "seed_gave_no_state",
                seed=address,
                reason=f"{type(error).__name__}: {error}",
            )
            return False
        _LOG.warning("state_taken_from_seed", seed=address)
        return True

    def _take_unconfirmed(self, message: feed.Message) -> None:
        follower = self._followers[message.kind]
        if follower.values or follower.is_connected:
            return
        assert message.snapshot is not None
        follower.take_unconfirmed(
            client_lib.Listing(message.snapshot, message.revision)
        )


def _new_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
    )


def _read(received: aiohttp.WSMessage) -> feed.Message:
    if received.type != aiohttp.WSMsgType.BINARY:
        raise _FeedEndedError(f"the publisher ended it ({received.type.name})")
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
