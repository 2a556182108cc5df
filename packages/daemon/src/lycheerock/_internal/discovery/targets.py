"""Applies the store's list of targets to the registry."""

from collections.abc import Callable
import time
from typing import Any

import structlog

from lycheerock._internal.platform import client as client_lib
from lycheerock._internal.platform import target_entries
from lycheerock._internal.targets import registry as registry_lib

_LOG = structlog.get_logger()

# Entries that lapsed while the store was out of reach are written again within
# about two seconds of its return; until then a missing entry proves nothing.
RECONNECT_GRACE_S = 2.2

CallLater = Callable[[float, Callable[[], None]], object]


class TargetList:
    """Keeps the registry equal to the list, except after an outage.

    While the store is out of reach nothing is removed. For a while after its
    return, targets whose entries are missing are kept.
    """

    def __init__(
        self, registry: registry_lib.Registry, call_later: CallLater
    ) -> None:
        self._registry = registry
        self._call_later = call_later
        self._missing: set[str] = set()
        self._grace_until_s = 0.0
        self.is_known = False

    def on_listing(self, listing: client_lib.Listing, was_lost: bool) -> None:
        """Takes the whole list."""
        now_s = time.monotonic()
        if was_lost:
            self._grace_until_s = now_s + RECONNECT_GRACE_S
            self._call_later(RECONNECT_GRACE_S + 0.01, self._remove_missing)
        for name, value in listing.values.items():
            self._put(name, value, now_s)
        for target_id in self._registry.ids() - listing.values.keys():
            self._miss(target_id, now_s)
        self.is_known = True

    def on_changes(self, changes: client_lib.Changes) -> None:
        """Takes changes of single entries."""
        now_s = time.monotonic()
        for change in changes.changes:
            if change.is_removed:
                self._miss(change.name, now_s)
            else:
                self._put(change.name, change.value, now_s)

    def _put(self, name: str, value: Any, now_s: float) -> None:
        entry = target_entries.decode(name, value)
        if isinstance(entry, str):
            _LOG.warning("target_entry_unreadable", target=name, error=entry)
            self._miss(name, now_s)
            return
        self._missing.discard(name)
        self._registry.put(entry, now_s)

    def _miss(self, target_id: str, now_s: float) -> None:
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
