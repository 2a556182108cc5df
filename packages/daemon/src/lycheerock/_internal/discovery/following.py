"""Follows all objects of a kind in the store."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time

from returns import result
import structlog

from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

# Pause between the end of a watch and the next one. Changes that come in quick
# succession are read together, since each call to the store is paid for.
PACE_S = 0.25

# First and longest pause after a failed call. The longest is well under the
# time in which a configuration must be in force once the store is back.
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 0.8


@dataclasses.dataclass(frozen=True)
class Handlers:
    """What a follower tells its owner.

    Attributes:
      on_listing: Takes all objects of the kind and whether the store was out of
        reach before.
      on_changes: Takes changes in order.
    """

    on_listing: Callable[[client_lib.Listing, bool], None]
    on_changes: Callable[[client_lib.Changes], None]


class Follower:
    """Lists a kind and then watches it.

    Attributes:
      confirmed_s: Monotonic time at which the store last answered.
      is_connected: Whether the last call was answered.
    """

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        kind: str,
        wait_s: float,
        handlers: Handlers,
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._wait_s = wait_s
        self._handlers = handlers
        self._revision: int | None = None
        self._failure_count = 0
        self._lost_s = time.monotonic()
        self.confirmed_s = 0.0
        self.is_connected = False
        self._was_lost = False

    async def run(self) -> None:
        """Follows the kind until cancelled."""
        while True:
            failure = await self._step()
            if failure is None:
                self._note_success()
                await asyncio.sleep(PACE_S if self._revision else 0)
            elif isinstance(failure, exceptions.HistoryGoneError):
                _LOG.info("store_history_gone", kind=self._kind)
                self._revision = None
            else:
                self._note_failure(failure)
                await asyncio.sleep(self._retry_delay_s())

    async def _step(self) -> exceptions.PlatformError | None:
        if self._revision is None:
            return await self._list()
        found = await self._platform.changes(
            self._kind, self._revision, self._wait_s
        )
        if isinstance(found, result.Failure):
            failure: exceptions.PlatformError = found.failure()
            return failure
        changes = found.unwrap()
        self._revision = changes.revision
        if changes.changes:
            self._handlers.on_changes(changes)
        return None

    async def _list(self) -> exceptions.PlatformError | None:
        found = await self._platform.list_objects(self._kind)
        if isinstance(found, result.Failure):
            failure: exceptions.PlatformError = found.failure()
            return failure
        listing = found.unwrap()
        self._handlers.on_listing(listing, self._was_lost)
        self._revision = listing.revision
        return None

    def _note_success(self) -> None:
        now_s = time.monotonic()
        self.confirmed_s = now_s
        self._failure_count = 0
        self._was_lost = False
        if not self.is_connected:
            self.is_connected = True
            _LOG.info(
                "store_regained",
                kind=self._kind,
                revision=self._revision,
                lost_ms=round((now_s - self._lost_s) * 1000),
            )

    def _note_failure(self, failure: exceptions.PlatformError) -> None:
        self._failure_count += 1
        if not self.is_connected:
            return
        self.is_connected = False
        self._was_lost = True
        # What was removed meanwhile is only seen by comparing with a list.
        self._revision = None
        self._lost_s = time.monotonic()
        _LOG.warning(
            "store_lost",
            kind=self._kind,
            error=str(failure),
            confirmed_age_ms=round((self._lost_s - self.confirmed_s) * 1000),
        )

    def _retry_delay_s(self) -> float:
        bound_s = RETRY_FIRST_S * 2.0 ** min(self._failure_count - 1, 8)
        return random.uniform(0.5, 1.0) * min(RETRY_MAX_S, bound_s)
