"""Applies the operators' evacuations of availability zones."""

import asyncio
from collections.abc import Callable

import structlog

from lycheerock._internal.discovery import first_state
from lycheerock._internal.platform import client as client_lib

_LOG = structlog.get_logger()


class EvacuationSource:
    """Holds the availability zones whose targets must get no requests."""

    def __init__(self, apply: Callable[[frozenset[str]], None]) -> None:
        """Initializes the source without any evacuated zone.

        Args:
          apply: Called with all evacuated zones when they have changed.
        """
        self._apply = apply
        self._zones: frozenset[str] = frozenset()
        self._is_listed = asyncio.Event()

    async def wait_until_known(self, limit_s: float) -> None:
        """Waits until the evacuations are listed, for `limit_s` at most."""
        await first_state.wait(self._is_listed, limit_s)

    def on_listing(self, listing: client_lib.Listing, _was_lost: bool) -> None:
        """Applies a complete listing."""
        self._set(frozenset(listing.values), listing.revision)
        self._is_listed.set()

    def on_changes(self, changes: client_lib.Changes) -> None:
        """Applies evacuations that were ordered or taken back."""
        zones = set(self._zones)
        for change in changes.changes:
            if change.is_removed:
                zones.discard(change.name)
            else:
                zones.add(change.name)
        self._set(frozenset(zones), changes.revision)

    def _set(self, zones: frozenset[str], revision: int) -> None:
        if zones == self._zones:
            return
        self._zones = zones
        _LOG.info(
            "evacuations_in_force", zones=sorted(zones), revision=revision
        )
        self._apply(zones)
