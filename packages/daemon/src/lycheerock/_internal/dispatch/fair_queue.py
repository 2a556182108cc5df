"""Waiting requests of one target, taken round-robin over callers."""

import collections
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

T = TypeVar("T")

Flow = tuple[str, str]


class FairQueue(Generic[T]):
    """First-in-first-out per flow, round-robin between flows.

    A flow is a pair of service and caller. A flow with many waiting requests
    delays another flow by at most one request per turn.
    """

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[Flow, collections.deque[T]] = (
            collections.OrderedDict()
        )
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def flow_sizes(self) -> dict[Flow, int]:
        """Returns the number of waiting requests of each flow."""
        return {flow: len(items) for flow, items in self._flows.items()}

    def flow_size(self, flow: Flow) -> int:
        """Returns the number of waiting requests of one flow."""
        return len(self._flows.get(flow, ()))

    def ahead_of(self, flow: Flow) -> int:
        """Returns how many requests a new request of the flow waits for."""
        own = self.flow_size(flow)
        others = (
            min(len(items), own + 1)
            for other, items in self._flows.items()
            if other != flow
        )
        return own + sum(others)

    def push(self, flow: Flow, item: T) -> None:
        """Adds a request at the end of its flow."""
        self._flows.setdefault(flow, collections.deque()).append(item)
        self._size += 1

    def push_front(self, flow: Flow, item: T) -> None:
        """Puts a request where `pop` takes it next."""
        self._flows.setdefault(flow, collections.deque()).appendleft(item)
        self._flows.move_to_end(flow, last=False)
        self._size += 1

    def pop(self) -> T | None:
        """Takes the next request, or returns None when nothing waits."""
        if not self._flows:
            return None
        flow, items = self._flows.popitem(last=False)
        item = items.popleft()
        self._size -= 1
        if items:
            self._flows[flow] = items
        return item

    def clear(self) -> list[T]:
        """Removes and returns every request."""
        removed = [item for items in self._flows.values() for item in items]
        self._flows.clear()
        self._size = 0
        return removed

    def remove(self, matches: Callable[[T], bool]) -> list[T]:
        """Removes and returns every request for which `matches` is true."""
        removed: list[T] = []
        for flow in list(self._flows):
            kept = collections.deque[T]()
            for item in self._flows[flow]:
                (removed if matches(item) else kept).append(item)
            if kept:
                self._flows[flow] = kept
            else:
                del self._flows[flow]
        self._size -= len(removed)
        return removed
