"""Applies the target entries of the store to the target registry."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

from lycheerock._internal.discovery import first_state
from lycheerock._internal.platform import client as client_lib
from lycheerock._internal.platform import target_entries
from lycheerock._internal.platform import unreadable as unreadable_lib
from lycheerock._internal.targets import registry as registry_lib

# Targets whose entries expired while the store was unreachable write them again
# within about two seconds of its recovery. Until then a missing entry does not
# mean that the target has stopped.
RECONNECT_GRACE_S = 2.2

CallLater = Callable[[float, Callable[[], None]], object]


class TargetSynchronizer:
    """Synchronizes the registry with the target entries of the store.

    No target is removed while the store is unreachable. Targets whose entries
    are missing are kept for a grace period after its recovery.
    """

    def __init__(
        self,
        registry: registry_lib.Registry,
        call_later: CallLater,
        unreadable: unreadable_lib.UnreadableEntries | None = None,
    ) -> None:
        self._registry = registry
        self._unreadable = unreadable or unreadable_lib.UnreadableEntries()
        self._call_later = call_later
        self._missing: set[str] = set()
        self._grace_until_s = 0.0
        self._is_listed = asyncio.Event()

    @property
    def is_known(self) -> bool:
        """Whether the targets have been listed since the start."""
        return self._is_listed.is_set()

    async def wait_until_known(self, limit_s: float) -> None:
        """Waits until the targets are listed, for `limit_s` at most."""
        await first_state.wait(self._is_listed, limit_s)

    def on_listing(self, listing: client_lib.Listing, was_lost: bool) -> None:
        """Applies a complete listing."""
        now_s = time.monotonic()
        if was_lost:
            self._grace_until_s = now_s + RECONNECT_GRACE_S
            self._call_later(RECONNECT_GRACE_S + 0.01, self._remove_missing)
        for name, value in listing.values.items():
            self._put(name, value, now_s)
        for target_id in self._registry.ids() - listing.values.keys():
            self._handle_missing(target_id, now_s)
        self._is_listed.set()

    def on_changes(self, changes: client_lib.Changes) -> None:
        """Applies changes of single entries."""
        now_s = time.monotonic()
        for change in changes.changes:
            if change.is_removed:
                self._handle_missing(change.name, now_s)
            else:
                self._put(change.name, change.value, now_s)

    def _put(self, name: str, value: Any, now_s: float) -> None:
        """Applies an entry; an error of any kind stays with this entry.

        The entries after it would otherwise be lost, now and whenever the
        store lists this one again.
        """
        try:
            entry = target_entries.decode(name, value)
            if isinstance(entry, str):
                self._reject(name, value, "fields", entry, now_s)
                return
            self._missing.discard(name)
            self._registry.put(entry, now_s)
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            self._reject(name, value, "error", detail, now_s)

    def _reject(
        self, name: str, value: Any, reason: str, detail: str, now_s: float
    ) -> None:
        """Reports an entry that names no target and stops using its target."""
        kind = target_entries.OBJECT_KIND
        # The content is None if it was unreadable, which is reported then.
        if value is not None or not self._unreadable.is_reported(kind, name):
            digest = unreadable_lib.content_digest(value)
            self._unreadable.record(kind, name, digest, reason, detail)
        self._handle_missing(name, now_s)

    def _handle_missing(self, target_id: str, now_s: float) -> None:
        if now_s < self._grace_until_s:
            self._missing.add(target_id)
        else:
            self._registry.remove(target_id, "not listed")

    def _remove_missing(self) -> None:
        if time.monotonic() < self._grace_until_s:
            return
        for target_id in self._missing:
            self._registry.remove(target_id, "still missing after an outage")
        self._missing.clear()
