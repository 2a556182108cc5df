"""Follows all objects of a kind in the store."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time
from typing import Any

from returns import result
import structlog

from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

# Pause between the end of a watch and the next one. Changes that come in quick
# succession are read together, since each call to the store is paid for.
PACE_S = 0.5

# First and longest pause after a failed call, which is paid for as well. The
# longest is well under the time after which bounds hold again once the store is
# back.
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.5


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


@dataclasses.dataclass(frozen=True)
class Observers:
    """What a follower tells those that pass its state on.

    Attributes:
      on_listing: The whole state has been read again.
      on_changes: The state has moved on; the changes may be none.
      on_lost: The store is out of reach.
    """

    on_listing: Callable[[], None]
    on_changes: Callable[[client_lib.Changes], None]
    on_lost: Callable[[], None]


class Follower:
    """Lists a kind and then watches it, or rests while a feed tells the state.

    Attributes:
      kind: Kind of the objects.
      values: Content of all objects by name.
      revision: Revision up to which `values` is complete; None if unknown.
      confirmed_s: Monotonic time up to which `values` was last confirmed.
      regained_s: Monotonic time of the last return of the store.
      is_connected: Whether the last call was answered, or a feed is in use.
      wait_s: Longest time that a watch waits for a change.
      pace_s: Pause between the end of a watch and the next one.
    """

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        kind: str,
        wait_s: float,
        handlers: Handlers,
    ) -> None:
        self._platform = platform
        self.kind = kind
        self.wait_s = wait_s
        self.pace_s = PACE_S
        self._handlers = handlers
        self._observers: list[Observers] = []
        self.values: dict[str, Any] = {}
        self.revision: int | None = None
        self._failure_count = 0
        self._lost_s = time.monotonic()
        self.confirmed_s = 0.0
        self.regained_s = 0.0
        self.is_connected = False
        self._was_lost = False
        self._may_read_stale = True
        self._is_active = asyncio.Event()
        self._is_active.set()

    def observe(self, observers: Observers) -> None:
        """Reports to `observers` from now on."""
        self._observers.append(observers)

    @property
    def is_resting(self) -> bool:
        """Whether a feed tells the state in place of the store."""
        return not self._is_active.is_set()

    def rest(self) -> None:
        """Stops calling the store until `resume`, since a feed tells it all."""
        self._is_active.clear()
        self._note_success()

    def resume(self) -> None:
        """Calls the store again, from the revision that is known."""
        self._is_active.set()

    async def run(self) -> None:
        """Follows the kind until cancelled."""
        while True:
            await self._is_active.wait()
            failure = await self._step()
            if self.is_resting:
                continue
            if failure is None:
                self._note_success()
                await asyncio.sleep(self.pace_s if self.revision else 0)
            elif isinstance(failure, exceptions.HistoryGoneError):
                _LOG.info("store_history_gone", kind=self.kind)
                self.revision = None
            else:
                self._note_failure(failure)
                await asyncio.sleep(self._retry_delay_s())

    async def _step(self) -> exceptions.PlatformError | None:
        if self.revision is None:
            return await self._list()
        known = self.revision
        found = await self._platform.changes(self.kind, known, self.wait_s)
        if self.revision != known:
            # A feed has moved the state on in the meantime.
            return None
        if isinstance(found, result.Failure):
            failure: exceptions.PlatformError = found.failure()
            return failure
        self.take_changes(found.unwrap())
        return None

    async def _list(self) -> exceptions.PlatformError | None:
        # A stale list costs a tenth, and the watch that follows brings it up to
        # date. If the watch finds the history gone, the list is read afresh.
        may_be_stale = self._may_read_stale
        self._may_read_stale = False
        found = await self._platform.list_objects(
            self.kind, may_be_stale=may_be_stale
        )
        if self.revision is not None:
            return None
        if isinstance(found, result.Failure):
            failure: exceptions.PlatformError = found.failure()
            return failure
        self.take_listing(found.unwrap(), was_lost=self._was_lost)
        return None

    def take_listing(
        self, listing: client_lib.Listing, *, was_lost: bool
    ) -> None:
        """Takes the whole state, from the store or from a feed.

        Args:
          listing: All objects.
          was_lost: Whether missing entries may come back, as after an outage.
        """
        self.values = dict(listing.values)
        self.revision = listing.revision
        self._handlers.on_listing(listing, was_lost)
        self._confirm()
        for observers in self._observers:
            observers.on_listing()

    def take_unconfirmed(self, listing: client_lib.Listing) -> None:
        """Takes a state of unknown age, to have any until the store answers."""
        self.values = dict(listing.values)
        self._handlers.on_listing(listing, True)

    def take_changes(self, changes: client_lib.Changes) -> None:
        """Takes what has changed since the revision that is known."""
        self.revision = changes.revision
        for change in changes.changes:
            if change.is_removed:
                self.values.pop(change.name, None)
            else:
                self.values[change.name] = change.value
        if changes.changes:
            self._handlers.on_changes(changes)
        self._confirm()
        for observers in self._observers:
            observers.on_changes(changes)

    def _confirm(self) -> None:
        self.confirmed_s = time.monotonic()
        self._was_lost = False

    def _note_success(self) -> None:
        now_s = time.monotonic()
        self._failure_count = 0
        if not self.is_connected:
            self.is_connected = True
            self.regained_s = now_s
            _LOG.info(
                "store_regained",
                kind=self.kind,
                revision=self.revision,
                lost_ms=round((now_s - self._lost_s) * 1000),
            )

    def _note_failure(self, failure: exceptions.PlatformError) -> None:
        self._failure_count += 1
        if not self.is_connected:
            return
        self.is_connected = False
        self._was_lost = True
        # What was removed meanwhile is only seen by comparing with a list.
        self.revision = None
        self._lost_s = time.monotonic()
        _LOG.warning(
            "store_lost",
            kind=self.kind,
            error=str(failure),
            confirmed_age_ms=round((self._lost_s - self.confirmed_s) * 1000),
        )
        for observers in self._observers:
            observers.on_lost()

    def _retry_delay_s(self) -> float:
        bound_s = RETRY_FIRST_S * 2.0 ** min(self._failure_count - 1, 8)
        return random.uniform(0.5, 1.0) * min(RETRY_MAX_S, bound_s)
