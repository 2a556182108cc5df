"""Counts the work of this process that must finish before it ends."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools

from lycheerock._internal.dispatch import work as work_lib
from lycheerock_protocol import peer_pb2

Submit = Callable[[work_lib.Work], asyncio.Future[work_lib.Result]]
RunKeyed = Callable[[peer_pb2.RunRequest], Awaitable[peer_pb2.RunReply]]


@dataclasses.dataclass(frozen=True)
class Request:
    """One request in flight.

    Attributes:
      kind: caller, peer_shard or peer_keyed.
      request_id: Its id, or its path before it has one.
    """

    kind: str
    request_id: str


class InFlight:
    """All requests in flight: of callers and for peers."""

    def __init__(self) -> None:
        self._ids = itertools.count()
        self._requests: dict[int, tuple[str, Callable[[], str]]] = {}
        self._is_empty = asyncio.Event()
        self._is_empty.set()

    def __len__(self) -> int:
        return len(self._requests)

    def requests(self) -> list[Request]:
        """Returns what is in flight now, oldest first."""
        return [
            Request(kind, request_id())
            for kind, request_id in self._requests.values()
        ]

    async def wait_empty(self) -> None:
        """Waits until nothing is in flight."""
        await self._is_empty.wait()

    @contextlib.contextmanager
    def track(self, kind: str, request_id: Callable[[], str]) -> Iterator[None]:
        """Counts a request for as long as the context is open."""
        number = self._add(kind, request_id)
        try:
            yield
        finally:
            self._remove(number)

    def _add(self, kind: str, request_id: Callable[[], str]) -> int:
        number = next(self._ids)
        self._requests[number] = (kind, request_id)
        self._is_empty.clear()
        return number

    def _remove(self, number: int) -> None:
        del self._requests[number]
        if not self._requests:
            self._is_empty.set()

    def tracked_submit(self, submit: Submit) -> Submit:
        """Returns `submit`, counting each request until its result."""

        def counted(
            work: work_lib.Work,
        ) -> asyncio.Future[work_lib.Result]:
            number = self._add("peer_shard", lambda: work.attempt_id)
            future = submit(work)
            future.add_done_callback(lambda _: self._remove(number))
            return future

        return counted

    def tracked_run(self, run: RunKeyed) -> RunKeyed:
        """Returns `run`, counting each request until its reply."""

        async def counted(request: peer_pb2.RunRequest) -> peer_pb2.RunReply:
            with self.track("peer_keyed", lambda: request.request_id):
                return await run(request)

        return counted
