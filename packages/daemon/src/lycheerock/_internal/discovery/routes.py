"""Applies the operators' configuration to the gateway."""

import asyncio
from collections.abc import Callable
from typing import Any

import structlog

from lycheerock._internal.discovery import first_state
from lycheerock._internal.platform import client as client_lib
from lycheerock._internal.platform import configuration
from lycheerock._internal.platform import unreadable as unreadable_lib
from lycheerock._internal.routing import table
from lycheerock_model import exceptions

_LOG = structlog.get_logger()


class RouteSource:
    """Holds the newest route table; its version never decreases."""

    def __init__(
        self, unreadable: unreadable_lib.UnreadableEntries | None = None
    ) -> None:
        self._unreadable = unreadable or unreadable_lib.UnreadableEntries()
        self._subscribers: list[Callable[[table.RouteTable], None]] = []
        self._is_loaded = asyncio.Event()
        self.current: table.RouteTable | None = None

    async def wait_for_table(self, limit_s: float) -> table.RouteTable | None:
        """Waits until a route table is available.

        Args:
          limit_s: Maximum time to wait.

        Returns:
          The newest table, or None if none was received in time.
        """
        await first_state.wait(self._is_loaded, limit_s)
        return self.current

    def subscribe(self, apply: Callable[[table.RouteTable], None]) -> None:
        """Registers `apply`, which is called with each new table."""
        self._subscribers.append(apply)

    def on_listing(self, listing: client_lib.Listing, _was_lost: bool) -> None:
        """Applies the configuration of a listing, if there is one."""
        if configuration.OBJECT_NAME in listing.values:
            self._apply(listing.values[configuration.OBJECT_NAME])

    def on_changes(self, changes: client_lib.Changes) -> None:
        """Applies changes of the configuration; a removal is ignored."""
        for change in changes.changes:
            if (
                change.name == configuration.OBJECT_NAME
                and not change.is_removed
            ):
                self._apply(change.value)

    def _apply(self, value: Any) -> None:
        try:
            found = configuration.decode(value)
        except exceptions.DocumentError as error:
            # The last readable configuration stays in force.
            kind, name = configuration.OBJECT_KIND, configuration.OBJECT_NAME
            if value is not None or not self._unreadable.is_reported(
                kind, name
            ):
                digest = unreadable_lib.content_digest(value)
                self._unreadable.record(
                    kind, name, digest, "fields", str(error)
                )
            return
        known = self.current
        if known is not None and found.version <= known.version:
            if found.version < known.version:
                _LOG.warning(
                    "configuration_older",
                    version=found.version,
                    in_force=known.version,
                )
            return
        self.current = found
        self._is_loaded.set()
        _LOG.info(
            "configuration_in_force",
            version=found.version,
            previous=known.version if known else None,
            routes=len(found.routes),
        )
        for apply in self._subscribers:
            try:
                apply(found)
            except Exception:
                # The other parts still apply it: a version is not read twice.
                _LOG.error(
                    "configuration_not_applied",
                    version=found.version,
                    part=getattr(apply, "__qualname__", repr(apply)),
                    exc_info=True,
                )
