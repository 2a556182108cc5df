"""Updates that wait to be piggybacked on messages."""

import dataclasses
import heapq
from typing import Generic
from typing import TypeVar

_T = TypeVar("_T")

UPDATES_PER_MESSAGE_MAX = 8
# Each update is repeated about 3 log2(n) times, after which nearly all members
# have it; a pull of the full state repairs the rest (Das, Gupta, Motivala,
# "SWIM", 2002, section 4.1).
REPEATS_PER_DOUBLING = 3


@dataclasses.dataclass
class _Entry(Generic[_T]):
    value: _T
    age: int
    sent: int = 0


class UpdateQueue(Generic[_T]):
    """The newest update of each key, with the number of its repeats."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry[_T]] = {}
        self._pushed = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, key: str, value: _T) -> None:
        """Replaces the update of a key; its repeats start again."""
        self._pushed += 1
        self._entries[key] = _Entry(value, self._pushed)

    def take(self, member_count: int) -> tuple[_T, ...]:
        """Returns the updates of the next message and counts them as sent.

        Args:
          member_count: Members of the fleet, which sets the repeats.

        Returns:
          At most UPDATES_PER_MESSAGE_MAX updates, those sent least often first.
        """
        chosen = heapq.nsmallest(
            UPDATES_PER_MESSAGE_MAX,
            self._entries.items(),
            key=lambda item: (item[1].sent, -item[1].age),
        )
        repeats_max = REPEATS_PER_DOUBLING * (member_count + 1).bit_length()
        for key, entry in chosen:
            entry.sent += 1
            if entry.sent >= repeats_max:
                del self._entries[key]
        return tuple(entry.value for _, entry in chosen)
