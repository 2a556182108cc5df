"""Tracks the requests that must complete before the process ends."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools

from lycheerock._internal.dispatch import work as work_lib
from lycheerock_protocol import peer_pb2

Submit = Callable[
    [work_lib.TargetRequest], asyncio.Future[work_lib.TargetResult]
]
RunKeyed = Callable[[peer_pb2.RunRequest], Awaitable[peer_pb2.RunReply]]


@dataclasses.dataclass(frozen=True)
class Request:
    """One request in flight.

    Attributes:
      kind: "caller" for a request of a caller, "peer_shard" for a shard request
        that a peer forwarded, or "peer_keyed" for a request with a request key
        that a peer forwarded.
      request_id: Id of the request, or its HTTP path if it has no id yet.
    """

    kind: str
    request_id: str


class InFlight:
    """All requests in flight, from callers and from peers."""

    def __init__(self) -> None:
        self._tracking_ids = itertools.count()
        self._requests: dict[int, tuple[str, Callable[[], str]]] = {}
        self._is_empty = asyncio.Event()
        self._is_empty.set()

    def __len__(self) -> int:
        return len(self._requests)

    def requests(self) -> list[Request]:
        """Returns the requests in flight, oldest first."""
        return [
            Request(kind, request_id())
            for kind, request_id in self._requests.values()
        ]

    async def wait_empty(self) -> None:
        """Waits until no requests are in flight."""
        await self._is_empty.wait()

    @contextlib.contextmanager
    def track(self, kind: str, request_id: Callable[[], str]) -> Iterator[None]:
        """Tracks a request until the context exits.

        Args:
          kind: Kind of the request; see `Request`.
          request_id: Returns the id of the request or its HTTP path.
        """
        tracking_id = self._add(kind, request_id)
        try:
            yield
        finally:
            self._remove(tracking_id)

    def _add(self, kind: str, request_id: Callable[[], str]) -> int:
        tracking_id = next(self._tracking_ids)
        self._requests[tracking_id] = (kind, request_id)
        self._is_empty.clear()
        return tracking_id

    def _remove(self, tracking_id: int) -> None:
        del self._requests[tracking_id]
        if not self._requests:
            self._is_empty.set()

    def tracked_submit(self, submit: Submit) -> Submit:
        """Wraps `submit` so that each request is tracked until its result."""

        def tracked(
            work: work_lib.TargetRequest,
        ) -> asyncio.Future[work_lib.TargetResult]:
            tracking_id = self._add("peer_shard", lambda: work.attempt_id)
            future = submit(work)
            future.add_done_callback(lambda _: self._remove(tracking_id))
            return future

        return tracked

    def tracked_run(self, run: RunKeyed) -> RunKeyed:
        """Wraps `run` so that each request is tracked until its reply."""

        async def tracked(request: peer_pb2.RunRequest) -> peer_pb2.RunReply:
            with self.track("peer_keyed", lambda: request.request_id):
                return await run(request)

        return tracked
