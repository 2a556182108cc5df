"""Keeps a local copy of all objects of a kind in the store."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random
import time
from typing import Any

from returns import result
import structlog

from lycheerock._internal.discovery import positions
from lycheerock._internal.discovery import probing
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

# Pause between the end of a watch and the next one. It batches changes that
# follow each other quickly, because each call to the store is billed.
WATCH_PAUSE_S = 1.0

# Initial and maximum backoff after a failed call, which is billed as well. The
# maximum is well below the time within which the guarantees must hold again
# once the store has recovered.
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.5

# Number of lists of an older era in a row after which that era is accepted: the
# one that was known has been stated wrongly. Late answers are fewer.
OLDER_LISTS_MAX = 5


@dataclasses.dataclass(frozen=True)
class Handlers:
    """Callbacks that apply the objects that a follower has read.

    Attributes:
      on_listing: Called with all objects of the kind, and with whether entries
        may be missing because the store was unreachable before.
      on_changes: Called with the changes, in order.
      may_be_empty: Whether there are often no objects of the kind.
      entry_size_max_bytes: Size above which an object counts as unreadable.
      may_read_stale: Whether the first list may be a few seconds old.
    """

    on_listing: Callable[[client_lib.Listing, bool], None]
    on_changes: Callable[[client_lib.Changes], None]
    may_be_empty: bool = False
    entry_size_max_bytes: int = client_lib.ENTRY_SIZE_MAX_BYTES
    may_read_stale: bool = True


@dataclasses.dataclass(frozen=True)
class Observer:
    """Callbacks that report the progress of a follower.

    Attributes:
      on_listing: Called after the complete state was replaced.
      on_changes: Called after an update, whose changes may be empty.
      on_lost: Called when the store becomes unreachable.
    """

    on_listing: Callable[[], None]
    on_changes: Callable[[client_lib.Changes], None]
    on_lost: Callable[[], None]


class Follower:
    """Lists the objects of one kind and then watches them for changes.

    The follower is paused while a feed of another instance supplies the state.

    Attributes:
      kind: Kind of the objects.
      values: Content of all objects by name.
      revision: Revision from which the store is watched; None if a new list
        is needed.
      values_revision: Revision of the store that `values` reflects; 0 if there
        are none. Unlike `revision`, it is kept while the store is unreachable.
      era: Era of the store that both revisions belong to; None if unknown.
      confirmed_s: Monotonic time at which `values` was last up to date.
      reconnected_s: Monotonic time at which the store last became reachable.
      is_connected: Whether the last call succeeded, or a feed is in use.
      wait_s: Maximum time that a watch waits for a change.
      watch_pause_s: Pause between the end of a watch and the next one.
    """

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        kind: str,
        wait_s: float,
        handlers: Handlers,
        probe: probing.StoreProbe,
    ) -> None:
        self._platform = platform
        self._probe = probe
        self.kind = kind
        self.wait_s = wait_s
        self.watch_pause_s = WATCH_PAUSE_S
        self._handlers = handlers
        self._observers: list[Observer] = []
        self.values: dict[str, Any] = {}
        self.revision: int | None = None
        self.values_revision = 0
        self.era: int | None = None
        self._older_list_count = 0
        self._failure_count = 0
        self._lost_s = time.monotonic()
        self.confirmed_s = 0.0
        self.reconnected_s = 0.0
        self.is_connected = False
        self._was_lost = False
        self._may_read_stale = handlers.may_read_stale
        self._is_stale = False
        self._has_ended_watch = False
        self._running_watch: (
            asyncio.Task[
                result.Result[client_lib.Changes, exceptions.PlatformError]
            ]
            | None
        ) = None
        self._watch_now = asyncio.Event()
        self._resumed = asyncio.Event()
        self._resumed.set()
        platform.on_era(self._on_era)

    @property
    def has_state(self) -> bool:
        """Whether a listing was applied that other instances can start with.

        For most kinds, a listing without objects means that the store has not
        been filled yet.
        """
        is_listed = self.values_revision > 0
        return bool(self.values) or (self._handlers.may_be_empty and is_listed)

    def add_observer(self, observer: Observer) -> None:
        """Registers an observer."""
        self._observers.append(observer)

    @property
    def position(self) -> positions.Position:
        """Position of the state; its revision is 0 while a list is needed."""
        return positions.Position(self.era, self.revision or 0)

    def _on_era(self, era: int) -> None:
        """Lists again at once, since any call has shown a new era.

        While a feed is in use, its publisher does so and sends the list.
        """
        if self.is_paused or not positions.is_older_era(self.era, era):
            return
        self.revision = None
        self.restart_watch()

    @property
    def is_paused(self) -> bool:
        """Whether a feed supplies the state instead of the store."""
        return not self._resumed.is_set()

    def pause(self) -> None:
        """Stops calling the store until `resume`, while a feed is in use."""
        self._resumed.clear()
        self._record_success()

    def resume(self) -> None:
        """Starts calling the store again, from the current revision.

        A watch that was started before the feed was in use may wait on a
        connection that has gone silent together with the feed, so it is
        replaced. A pause that began then ends.
        """
        if self.is_paused:
            self.restart_watch()
        self._resumed.set()

    def restart_watch(self) -> None:
        """Starts a new watch now, instead of a running one or of a pause.

        A shorter `wait_s` thus applies at once, and no change is late by a
        pause that began before.
        """
        self._watch_now.set()
        if self._running_watch is not None:
            self._running_watch.cancel()
            self._has_ended_watch = True

    async def run(self) -> None:
        """Lists and watches the kind until cancelled."""
        while True:
            await self._resumed.wait()
            failure = await self._update()
            if self.is_paused:
                continue
            if failure is None:
                self._record_success()
                await self._pause()
            elif isinstance(failure, exceptions.HistoryGoneError):
                _LOG.info("store_history_gone", kind=self.kind)
                self.revision = None
            else:
                self._record_failure(failure)
                await self._probe.wait_to_retry(
                    self.kind, self._retry_delay_s()
                )

    async def _update(self) -> exceptions.PlatformError | None:
        if self.revision is None:
            return await self._list()
        known = self.revision
        self._watch_now.clear()
        watch = asyncio.create_task(
            self._platform.watch_kind(
                self.kind,
                known,
                self.wait_s,
                self._handlers.entry_size_max_bytes,
            )
        )
        self._running_watch = watch
        try:
            await asyncio.wait({watch})
        finally:
            self._running_watch = None
            watch.cancel()
        if watch.cancelled() or self.revision != known:
            # The watch starts again, or a feed has updated the state meanwhile.
            return None
        found = watch.result()
        if isinstance(found, result.Failure):
            failure: exceptions.PlatformError = found.failure()
            return failure
        changes = found.unwrap()
        if positions.is_other_era(changes.era, self.era):
            # The revision that was watched belongs to other changes now.
            self.revision = None
            return None
        self.apply_changes(changes)
        return None

    async def _pause(self) -> None:
        """Waits until the next call is due or `restart_watch` is called."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._pause_s()):
                await self._watch_now.wait()

    def _pause_s(self) -> float:
        """Returns the pause before the next call after a successful one.

        There is none after a stale list: an instance that has just started
        serves with it, and the targets in it may have been replaced. Nor is
        there one after a watch that was ended in order to start another.
        """
        if self.revision is None or self._is_stale or self._has_ended_watch:
            self._is_stale = self._has_ended_watch = False
            return 0.0
        return self.watch_pause_s

    async def _list(self) -> exceptions.PlatformError | None:
        # A stale list costs a tenth of a fresh one, and the subsequent watch
        # brings it up to date. If the store no longer has the history for that
        # watch, a fresh list is read.
        may_be_stale = self._may_read_stale
        self._may_read_stale = False
        found = await self._platform.list_objects(
            self.kind,
            may_be_stale=may_be_stale,
            entry_size_max_bytes=self._handlers.entry_size_max_bytes,
        )
        if self.revision is not None:
            return None
        if isinstance(found, result.Failure):
            failure: exceptions.PlatformError = found.failure()
            return failure
        listing = found.unwrap()
        if self._is_late(listing):
            return exceptions.PlatformError(
                f"the list of {self.kind} is of era {listing.era}, which has "
                "ended",
                "list the objects again",
            )
        # A copy may lack entries that are written again soon.
        is_new_era = positions.is_other_era(listing.era, self.era)
        self.apply_listing(listing, was_lost=self._was_lost or is_new_era)
        self._is_stale = may_be_stale
        return None

    def _is_late(self, listing: client_lib.Listing) -> bool:
        """Returns whether a list is of an era that has ended.

        After OLDER_LISTS_MAX such lists, the known era counts as wrong.
        """
        known_era = positions.later_era(self.era, self._platform.era)
        if not positions.is_older_era(listing.era, known_era):
            self._older_list_count = 0
            return False
        self._older_list_count += 1
        if self._older_list_count < OLDER_LISTS_MAX:
            return True
        self._older_list_count = 0
        self._platform.era = listing.era
        _LOG.warning(
            "store_era_lower", kind=self.kind, era=listing.era, known=known_era
        )
        return False

    def apply_listing(
        self, listing: client_lib.Listing, *, was_lost: bool
    ) -> None:
        """Replaces the complete state with a listing of the store or a feed.

        Args:
          listing: All objects.
          was_lost: Whether entries may be missing temporarily, as after an
            outage of the store.
        """
        self.values = dict(listing.values)
        self.values_revision = listing.revision
        if positions.is_other_era(listing.era, self.era):
            # The entries that the copy lacks are about to be written again.
            self.reconnected_s = time.monotonic()
        if listing.era is not None:
            self.era = listing.era
            # A feed may have stated it before any call of this instance.
            self._platform.record_era(listing.era)
        # If a handler raises, the next call lists again: a watch would not
        # return what was not applied.
        self.revision = None
        self._handlers.on_listing(listing, was_lost)
        self.revision = listing.revision
        self._confirm()
        for observer in self._observers:
            observer.on_listing()

    def apply_unconfirmed(self, listing: client_lib.Listing) -> None:
        """Applies a listing of unknown age, used until the store is reached."""
        self.values = dict(listing.values)
        self.values_revision = listing.revision
        self.era = listing.era
        # Entries may be missing in the first list after the outage.
        self._was_lost = True
        self._handlers.on_listing(listing, True)

    def apply_changes(self, changes: client_lib.Changes) -> None:
        """Applies the changes since the current revision."""
        self.values_revision = changes.revision
        for change in changes.changes:
            if change.is_removed:
                self.values.pop(change.name, None)
            else:
                self.values[change.name] = change.value
        if changes.changes:
            # As after a listing, a handler that raises causes a new one.
            self.revision = None
            self._handlers.on_changes(changes)
        self.revision = changes.revision
        self._confirm()
        for observer in self._observers:
            observer.on_changes(changes)

    def _confirm(self) -> None:
        self.confirmed_s = time.monotonic()
        self._was_lost = False

    def _record_success(self) -> None:
        now_s = time.monotonic()
        self._failure_count = 0
        self._probe.record_success()
        if not self.is_connected:
            self.is_connected = True
            self.reconnected_s = now_s
            _LOG.info(
                "store_regained",
                kind=self.kind,
                revision=self.revision,
                lost_ms=round((now_s - self._lost_s) * 1000),
            )

    def _record_failure(self, failure: exceptions.PlatformError) -> None:
        self._failure_count += 1
        if not self.is_connected:
            return
        self.is_connected = False
        self._was_lost = True
        # Entries removed in the meantime can only be detected with a new list.
        self.revision = None
        self._lost_s = time.monotonic()
        _LOG.warning(
            "store_lost",
            kind=self.kind,
            error=str(failure),
            confirmed_age_ms=round((self._lost_s - self.confirmed_s) * 1000),
        )
        for observer in self._observers:
            observer.on_lost()

    def _retry_delay_s(self) -> float:
        backoff_s = RETRY_FIRST_S * 2.0 ** min(self._failure_count - 1, 8)
        return random.uniform(0.5, 1.0) * min(RETRY_MAX_S, backoff_s)
