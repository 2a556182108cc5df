"""Scatter-gather search: queries every shard and merges the replies."""

import asyncio
from collections.abc import Callable
import dataclasses
import heapq
import time

from lycheerock._internal.gateway import delivery as delivery_lib
from lycheerock._internal.gateway import messages
from lycheerock._internal.routing import table
from lycheerock._internal.scatter import stage_one
from lycheerock._internal.scatter import terms as terms_lib

RECORD_SIZE_BYTES = 16


@dataclasses.dataclass(frozen=True)
class SearchSpec:
    """A search request and its time limits.

    Attributes:
      request: The caller's request.
      route: Its route, which lists the shards.
      respond_by_s: Monotonic time from which on a partial result is returned
        if it covers enough shards.
      deadline_s: Monotonic time at which the search ends in any case.
      hedge_delay_s: Time after which a shard request is hedged.
      early_hedge_delay_s: Hedge delay that applies while the retry budget is
        nearly full.
      configuration_version: Version of the configuration that lists the shards.
    """

    request: messages.ForwardedRequest
    route: table.Route
    respond_by_s: float
    deadline_s: float
    hedge_delay_s: float
    early_hedge_delay_s: float
    configuration_version: int = 0


@dataclasses.dataclass(frozen=True)
class SearchResult:
    """Result of a search.

    Attributes:
      signatures: Signatures of the replies that were merged.
      body: The merged records.
      missing_count: Number of shards that are missing from the result.
      is_sufficient: Whether the result covers enough shards.
      is_expired: Whether the deadline has passed.
      may_have_run: Whether any target may have run the request.
      deliveries: Attempts by shard.
    """

    signatures: tuple[str, ...]
    body: bytes
    missing_count: int
    is_sufficient: bool
    is_expired: bool
    may_have_run: bool
    deliveries: dict[str, tuple[messages.AttemptRecord, ...]]


def merge(parts: list[bytes], record_count_max: int) -> bytes:
    """Returns the greatest records of all parts in descending order.

    Args:
      parts: Concatenated 16-byte records in any order; an incomplete record
        at the end of a part is ignored.
      record_count_max: Maximum number of records to return.
    """
    records = [
        part[start : start + RECORD_SIZE_BYTES]
        for part in parts
        for start in range(
            0, len(part) - RECORD_SIZE_BYTES + 1, RECORD_SIZE_BYTES
        )
    ]
    return b"".join(heapq.nlargest(record_count_max, records))


RemoteFactory = Callable[
    [terms_lib.Terms, terms_lib.Sink], stage_one.RemoteSearch
]


async def run(
    deliverer: delivery_lib.Deliverer,
    spec: SearchSpec,
    new_remote: RemoteFactory | None = None,
) -> SearchResult:
    """Runs a search; cancelling the task cancels all shard requests.

    Args:
      deliverer: Sends the requests to the single shards.
      spec: The search.
      new_remote: Creates the part of the search that other instances run, or
        None if this instance queries all shards.

    Returns:
      The merged result, which may not cover enough shards.
    """
    search = _Search(deliverer, spec, new_remote)
    try:
        await search.collect()
        search.detach_pending()
    finally:
        search.cancel_pending()
    return search.result()


_Task = asyncio.Task[messages.DeliveryResult]


class _Search:
    """State of one search.

    Only `collect` awaits; the other methods are not interrupted by other tasks.
    """

    def __init__(
        self,
        deliverer: delivery_lib.Deliverer,
        spec: SearchSpec,
        new_remote: RemoteFactory | None,
    ) -> None:
        self._deliverer = deliverer
        self._spec = spec
        assert spec.route.scatter is not None
        self._rule = spec.route.scatter
        self._parts: dict[str, tuple[str, bytes]] = {}
        self._signatures: set[str] = set()
        self._completed: list[_Task] = []
        self._wakeup = asyncio.Event()
        self._pending: dict[_Task, str] = {}
        self._deliveries: dict[str, delivery_lib.Delivery] = {}
        self._remote: stage_one.RemoteSearch | None = None
        if new_remote is None:
            for shard in self._rule.shards:
                self._query(shard, spec.route.attempts_max)
            return
        self._remote = new_remote(
            self._terms(),
            terms_lib.Sink(
                self._add_part,
                self._query_here,
                self._wakeup.set,
            ),
        )
        self._remote.ask_next(self._rule.shards)

    def _terms(self) -> terms_lib.Terms:
        spec = self._spec
        return terms_lib.Terms(
            spec.request,
            spec.route.name,
            spec.configuration_version,
            spec.route.allowed_regions,
            spec.route.attempts_max,
            self._rule.record_count_max,
            spec.respond_by_s,
            spec.deadline_s,
            spec.hedge_delay_s,
            spec.early_hedge_delay_s,
        )

    def _query_here(self, here: terms_lib.ShardQuery) -> None:
        """Starts a delivery to a shard unless the retry budget forbids it."""
        is_repeat = here.is_repeat
        if not is_repeat or self._deliverer.take_repeat_token(here.shard):
            self._query(
                here.shard, here.attempts_max, is_repeat, here.tried_ids
            )

    def _query(
        self,
        shard: str,
        attempts_max: int,
        is_repeat: bool = False,
        tried_ids: frozenset[str] = frozenset(),
    ) -> None:
        spec = self._spec
        delivery = self._deliverer.new_delivery(
            delivery_lib.DeliverySpec(
                spec.request,
                shard,
                spec.route.name,
                True,
                attempts_max,
                spec.respond_by_s,
                spec.deadline_s,
                spec.hedge_delay_s,
                spec.early_hedge_delay_s,
                spec.route.allowed_regions,
                is_first_arrival=not is_repeat,
                tried_ids=tried_ids,
            )
        )
        self._deliveries[shard] = delivery
        task = asyncio.create_task(delivery.run())
        self._pending[task] = shard
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: _Task) -> None:
        self._completed.append(task)
        self._wakeup.set()

    async def collect(self) -> None:
        """Waits for replies of shards until the search is finished."""
        while True:
            self._process_completed()
            now_s = time.monotonic()
            if self._is_done(now_s):
                return
            until_s = self._spec.deadline_s
            if now_s < self._spec.respond_by_s:
                until_s = min(until_s, self._spec.respond_by_s)
            self._wakeup.clear()
            timer = asyncio.get_running_loop().call_later(
                until_s - now_s, self._wakeup.set
            )
            try:
                await self._wakeup.wait()
            finally:
                timer.cancel()

    def _is_done(self, now_s: float) -> bool:
        open_count = self._open_count()
        if not open_count or now_s >= self._spec.deadline_s:
            return True
        needed = self._rule.part_count_min
        if len(self._parts) + open_count < needed:
            return True
        return now_s >= self._spec.respond_by_s and len(self._parts) >= needed

    def _open_count(self) -> int:
        """Returns the number of shards without a part that may still get one.

        A shard may be queried by several instances at once.
        """
        if self._remote is None:
            return len(self._pending)
        shards = {*self._pending.values(), *self._remote.open_shards()}
        return len(shards - self._parts.keys())

    def _process_completed(self) -> None:
        for task in self._completed:
            shard = self._pending.pop(task)
            if task.cancelled():
                continue
            reply = task.result().reply
            if reply is None or reply.signature is None:
                continue
            if reply.kind == messages.ReplyKind.SUCCESS:
                self._add_part(shard, reply.signature, reply.body)
        self._completed.clear()

    def _add_part(self, shard: str, signature: str, records: bytes) -> None:
        """Keeps the first part of a shard."""
        if shard in self._parts or signature in self._signatures:
            return
        self._parts[shard] = (signature, records)
        self._signatures.add(signature)
        for task, pending in self._pending.items():
            if pending == shard:
                # The part came from another instance meanwhile.
                self._deliveries[shard].detach_running()
                task.cancel()
        self._wakeup.set()

    def detach_pending(self) -> None:
        """Lets requests to missing shards continue without waiting for them."""
        for shard in self._pending.values():
            self._deliveries[shard].detach_running()
        if self._remote is not None:
            self._remote.finish(is_detached=True)

    def cancel_pending(self) -> None:
        """Cancels all deliveries that are still running."""
        for task in self._pending:
            task.remove_done_callback(self._on_task_done)
            task.cancel()
        if self._remote is not None:
            self._remote.finish(is_detached=False)

    def result(self) -> SearchResult:
        """Merges the replies received so far."""
        attempts = {
            shard: delivery.snapshot()
            for shard, delivery in self._deliveries.items()
        }
        may_have_run = any(
            r.may_have_run for records in attempts.values() for r in records
        )
        if self._remote is not None:
            may_have_run = may_have_run or self._remote.may_have_run
            for shard, records in self._remote.records.items():
                attempts[shard] = (*records, *attempts.get(shard, ()))
        parts = self._parts.values()
        return SearchResult(
            tuple(signature for signature, _ in parts),
            merge(
                [records for _, records in parts], self._rule.record_count_max
            ),
            len(self._rule.shards) - len(self._parts),
            len(self._parts) >= self._rule.part_count_min,
            time.monotonic() >= self._spec.deadline_s,
            may_have_run,
            attempts,
        )
