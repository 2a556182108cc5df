"""Queue of the requests to one target, fair between callers."""

import collections
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

T = TypeVar("T")

Flow = tuple[str, str]


class FairQueue(Generic[T]):
    """Queue that is first-in-first-out per flow and round-robin across flows.

    A flow is a pair of service and caller. A flow with many queued requests
    delays another flow by at most one request per round.
    """

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[Flow, collections.deque[T]] = (
            collections.OrderedDict()
        )
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def flow_sizes(self) -> dict[Flow, int]:
        """Returns the number of queued requests of each flow."""
        return {flow: len(items) for flow, items in self._flows.items()}

    def flow_size(self, flow: Flow) -> int:
        """Returns the number of queued requests of one flow."""
        return len(self._flows.get(flow, ()))

    def ahead_of(self, flow: Flow) -> int:
        """Returns how many requests precede a new request of the flow."""
        flow_size = self.flow_size(flow)
        others = (
            min(len(items), flow_size + 1)
            for other, items in self._flows.items()
            if other != flow
        )
        return flow_size + sum(others)

    def push(self, flow: Flow, item: T) -> None:
        """Appends a request to its flow."""
        self._flows.setdefault(flow, collections.deque()).append(item)
        self._size += 1

    def push_front(self, flow: Flow, item: T) -> None:
        """Inserts a request so that `pop` returns it next."""
        self._flows.setdefault(flow, collections.deque()).appendleft(item)
        self._flows.move_to_end(flow, last=False)
        self._size += 1

    def pop(self) -> T | None:
        """Removes and returns the next request, or None if there is none."""
        if not self._flows:
            return None
        flow, items = self._flows.popitem(last=False)
        item = items.popleft()
        self._size -= 1
        if items:
            self._flows[flow] = items
        return item

    def clear(self) -> list[T]:
        """Removes and returns all requests."""
        removed = [item for items in self._flows.values() for item in items]
        self._flows.clear()
        self._size = 0
        return removed

    def remove(self, matches: Callable[[T], bool]) -> list[T]:
        """Removes and returns the requests for which `matches` is true."""
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
