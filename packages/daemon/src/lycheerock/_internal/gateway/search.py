"""Asks every shard of a search and merges the parts."""

import asyncio
import dataclasses
import heapq
import time

from lycheerock._internal.gateway import delivery as delivery_lib
from lycheerock._internal.gateway import messages
from lycheerock._internal.routing import table

RECORD_SIZE_BYTES = 16


@dataclasses.dataclass(frozen=True)
class SearchOrder:
    """A search.

    Attributes:
      request: The caller's request.
      route: Its route, which names the shards.
      answer_by_s: Monotonic time at which a sufficient answer is sent though
        shards are missing.
      deadline_s: Monotonic time at which the caller gives up.
      hedge_delay_s: Time after which a shard's second target is asked.
      early_hedge_delay_s: The same while the budget is nearly full.
    """

    request: messages.ForwardedRequest
    route: table.Route
    answer_by_s: float
    deadline_s: float
    hedge_delay_s: float
    early_hedge_delay_s: float


@dataclasses.dataclass(frozen=True)
class SearchEnd:
    """How a search ended.

    Attributes:
      signatures: Signatures of the parts in the answer.
      body: The merged records.
      missing_count: Shards that the answer lacks.
      is_sufficient: Whether the answer covers enough shards.
      is_late: Whether the deadline passed.
      may_have_run: Whether any target may have run the request.
      deliveries: What was tried, by shard.
    """

    signatures: tuple[str, ...]
    body: bytes
    missing_count: int
    is_sufficient: bool
    is_late: bool
    may_have_run: bool
    deliveries: dict[str, tuple[messages.AttemptRecord, ...]]


def merge(parts: list[bytes], record_count_max: int) -> bytes:
    """Returns the greatest records of all parts, greatest first.

    Args:
      parts: Records of 16 bytes in any order; a shorter rest is no record.
      record_count_max: Records to return.
    """
    records = [
        part[start : start + RECORD_SIZE_BYTES]
        for part in parts
        for start in range(
            0, len(part) - RECORD_SIZE_BYTES + 1, RECORD_SIZE_BYTES
        )
    ]
    return b"".join(heapq.nlargest(record_count_max, records))


async def run(
    deliverer: delivery_lib.Deliverer, order: SearchOrder
) -> SearchEnd:
    """Runs a search; if the task is cancelled, the caller has left.

    Args:
      deliverer: Sends the requests of single shards.
      order: The search.

    Returns:
      The answer, or why there is none.
    """
    search = _Search(deliverer, order)
    try:
        await search.collect()
        search.release()
    finally:
        search.drop()
    return search.end()


_Task = asyncio.Task[messages.Delivered]


class _Search:
    """State of one search; only `collect` waits."""

    def __init__(
        self, deliverer: delivery_lib.Deliverer, order: SearchOrder
    ) -> None:
        self._order = order
        assert order.route.scatter is not None
        self._rule = order.route.scatter
        self._parts: dict[str, bytes] = {}
        self._ended: list[_Task] = []
        self._event = asyncio.Event()
        self._pending: dict[_Task, str] = {}
        self._deliveries: dict[str, delivery_lib.Delivery] = {}
        for shard in self._rule.shards:
            delivery = deliverer.start(self._order_for(shard))
            self._deliveries[shard] = delivery
            task = asyncio.create_task(delivery.run())
            self._pending[task] = shard
            task.add_done_callback(self._on_end)

    def _order_for(self, shard: str) -> delivery_lib.Order:
        order = self._order
        return delivery_lib.Order(
            order.request,
            shard,
            order.route.name,
            True,
            order.route.attempts_max,
            order.deadline_s,
            order.hedge_delay_s,
            order.early_hedge_delay_s,
        )

    def _on_end(self, task: _Task) -> None:
        self._ended.append(task)
        self._event.set()

    async def collect(self) -> None:
        """Waits for parts until the answer can be sent."""
        while True:
            self._take_ended()
            now_s = time.monotonic()
            if self._is_done(now_s):
                return
            until_s = self._order.deadline_s
            if now_s < self._order.answer_by_s:
                until_s = min(until_s, self._order.answer_by_s)
            self._event.clear()
            timer = asyncio.get_running_loop().call_later(
                until_s - now_s, self._event.set
            )
            try:
                await self._event.wait()
            finally:
                timer.cancel()

    def _is_done(self, now_s: float) -> bool:
        if not self._pending or now_s >= self._order.deadline_s:
            return True
        needed = self._rule.part_count_min
        if len(self._parts) + len(self._pending) < needed:
            return True
        return now_s >= self._order.answer_by_s and len(self._parts) >= needed

    def _take_ended(self) -> None:
        for task in self._ended:
            del self._pending[task]
            reply = task.result().reply
            if reply is None or reply.signature is None:
                continue
            is_part = reply.kind == messages.ReplyKind.SUCCESS
            if is_part and reply.signature not in self._parts:
                self._parts[reply.signature] = reply.body
        self._ended.clear()

    def release(self) -> None:
        """Lets requests of missing shards end by themselves."""
        for shard in self._pending.values():
            self._deliveries[shard].release()

    def drop(self) -> None:
        """Ends everything that still runs."""
        for task in self._pending:
            task.remove_done_callback(self._on_end)
            task.cancel()

    def end(self) -> SearchEnd:
        """Merges the parts in hand."""
        attempts = {
            shard: delivery.snapshot()
            for shard, delivery in self._deliveries.items()
        }
        return SearchEnd(
            tuple(self._parts),
            merge(list(self._parts.values()), self._rule.record_count_max),
            len(self._rule.shards) - len(self._parts),
            len(self._parts) >= self._rule.part_count_min,
            time.monotonic() >= self._order.deadline_s,
            any(r.may_have_run for rs in attempts.values() for r in rs),
            attempts,
        )
