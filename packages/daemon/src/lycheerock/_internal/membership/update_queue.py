"""Queue of updates to piggyback on gossip messages."""

import dataclasses
import heapq
from typing import Generic
from typing import TypeVar

_T = TypeVar("_T")

UPDATES_PER_MESSAGE_MAX = 8
# Each update is sent about 3 log2(n) times, after which nearly all members have
# it; pulls of the full state cover the rest (Das, Gupta, Motivala, "SWIM",
# 2002, section 4.1).
TRANSMISSIONS_PER_DOUBLING = 3


@dataclasses.dataclass
class _Entry(Generic[_T]):
    value: _T
    sequence: int
    sent_count: int = 0


class UpdateQueue(Generic[_T]):
    """The newest update of each key and how often it was sent."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry[_T]] = {}
        self._push_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, key: str, value: _T) -> None:
        """Replaces the update of a key and resets its transmission count."""
        self._push_count += 1
        self._entries[key] = _Entry(value, self._push_count)

    def take(self, member_count: int) -> tuple[_T, ...]:
        """Returns the updates for the next message and counts them as sent.

        Args:
          member_count: Number of members, which determines how often each
            update is sent before it is dropped.

        Returns:
          At most UPDATES_PER_MESSAGE_MAX updates, least often sent first and
          most recently pushed first among equals.
        """
        chosen = heapq.nsmallest(
            UPDATES_PER_MESSAGE_MAX,
            self._entries.items(),
            key=lambda item: (item[1].sent_count, -item[1].sequence),
        )
        transmissions_max = (
            TRANSMISSIONS_PER_DOUBLING * (member_count + 1).bit_length()
        )
        for key, entry in chosen:
            entry.sent_count += 1
            if entry.sent_count >= transmissions_max:
                del self._entries[key]
        return tuple(entry.value for _, entry in chosen)
