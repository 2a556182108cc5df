"""Counts and logs entries of the store that cannot be read."""

import collections
from collections.abc import Hashable
import hashlib
from typing import Any

import structlog

_LOG = structlog.get_logger()

# Number of entries whose versions are remembered. An entry that is forgotten
# and read again is logged and counted once more.
REMEMBERED_MAX = 1_024


class UnreadableEntries:
    """Reports each unreadable entry once for each of its versions.

    Attributes:
      counts: Number of unreadable versions by kind of object and reason.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._known: dict[tuple[str, Hashable], Hashable] = {}

    def record(
        self,
        kind: str,
        name: Hashable,
        version: Hashable,
        reason: str,
        detail: str,
    ) -> None:
        """Records that an entry was found to be unreadable.

        Args:
          kind: Kind of the object.
          name: Name of the object, or a value that identifies its text.
          version: Revision of its last change, or its content.
          reason: One of a fixed set of words.
          detail: Description of the error.
        """
        key = (kind, name)
        if self._known.pop(key, None) == version:
            self._known[key] = version
            return
        self._known[key] = version
        if len(self._known) > REMEMBERED_MAX:
            del self._known[next(iter(self._known))]
        self.counts[kind, reason] += 1
        _LOG.warning(
            "store_entry_unreadable",
            kind=kind,
            name=name,
            version=version,
            reason=reason,
            error=detail,
        )

    def is_reported(self, kind: str, name: Hashable) -> bool:
        """Returns whether an entry was reported and is still remembered."""
        return (kind, name) in self._known

    def snapshot(self) -> dict[str, int]:
        """Returns the counts by "KIND REASON", for the state dump."""
        return {" ".join(key): count for key, count in self.counts.items()}


def content_digest(value: Any) -> str:
    """Returns a short text that identifies the content of an entry."""
    text = repr(value).encode("utf-8", "backslashreplace")
    return hashlib.blake2b(text, digest_size=8).hexdigest()
