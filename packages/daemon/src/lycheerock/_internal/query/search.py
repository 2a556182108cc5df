"""Runs one search over all shards of a service."""

import asyncio
import dataclasses
import time
from typing import Any

import msgspec

from lycheerock._internal.dispatch import dispatcher as dispatcher_lib
from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.query import replies as replies_lib
from lycheerock._internal.query import snapshots
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

SHARD_PATH = "/v1/shard"


@dataclasses.dataclass(frozen=True)
class SearchRequest:
    """One search of a caller.

    Attributes:
      request_id: Names instance, incarnation and request.
      caller: The caller.
      service: The service.
      bundle_number: Bundle that the service was read from.
      query: The caller's query, any JSON value.
      deadline_s: Monotonic time of the deadline.
    """

    request_id: str
    caller: str
    service: bundle_lib.Service
    bundle_number: int
    query: Any
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class _Attempt:
    shard_id: str
    target_id: str
    attempt_id: str


async def run(
    request: SearchRequest, dispatcher: dispatcher_lib.Dispatcher
) -> answers.Answer:
    """Runs a search and merges the replies of one snapshot.

    Args:
      request: The search.
      dispatcher: Sends the shard requests.

    Returns:
      The answer; covered and lacking shards are exactly those of its shard map.
    """
    search = _Search(request, dispatcher)
    return await search.run()


class _Search:
    def __init__(
        self, request: SearchRequest, dispatcher: dispatcher_lib.Dispatcher
    ):
        self._request = request
        self._dispatcher = dispatcher
        self._state = snapshots.QueryState(request.service)
        self._reasons: dict[str, answers.LackingReason] = {}
        self._running: dict[asyncio.Future[work_lib.Result], _Attempt] = {}
        self._attempt_count = 0

    async def run(self) -> answers.Answer:
        newest = max(self._state.maps)
        snapshot = answers.Snapshot(newest, snapshots.NEWEST)
        self._ask(snapshot)
        await self._collect()
        best = self._state.best()
        while best is not None and self._ask_missing(best):
            await self._collect()
            best = self._state.best()
        self._cancel_running()
        return self._answer(best or snapshot)

    def _ask_missing(self, snapshot: answers.Snapshot) -> bool:
        if time.monotonic() >= self._request.deadline_s:
            return False
        covered = self._state.replies_at(snapshot)
        missing = [
            shard
            for shard in self._state.maps[snapshot.shard_map_version].shards
            if shard.shard_id not in covered
            and shard.shard_id not in self._reasons
        ]
        for shard in missing:
            self._send(snapshot, shard)
        return bool(missing)

    def _ask(self, snapshot: answers.Snapshot) -> None:
        for shard in self._state.maps[snapshot.shard_map_version].shards:
            self._send(snapshot, shard)

    def _send(
        self, snapshot: answers.Snapshot, shard: bundle_lib.Shard
    ) -> None:
        self._attempt_count += 1
        attempt_id = f"{self._request.request_id}.{self._attempt_count}"
        target_id = shard.target_ids[
            self._attempt_count % len(shard.target_ids)
        ]
        body = msgspec.json.encode(
            {
                "service": self._request.service.name,
                "shard": shard.shard_id,
                "shard_map_version": snapshot.shard_map_version,
                "index_version": snapshot.index_version,
                "attempt_id": attempt_id,
                "query": self._request.query,
            }
        )
        future = self._dispatcher.submit(
            work_lib.Work(
                attempt_id=attempt_id,
                caller=self._request.caller,
                service=self._request.service.name,
                target_id=target_id,
                path=SHARD_PATH,
                body=body,
                deadline_s=self._request.deadline_s,
                idempotent=True,
            )
        )
        self._running[future] = _Attempt(shard.shard_id, target_id, attempt_id)

    async def _collect(self) -> None:
        while self._running:
            time_left_s = self._request.deadline_s - time.monotonic()
            if time_left_s <= 0:
                return
            done, _ = await asyncio.wait(
                self._running,
                timeout=time_left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for future in done:
                self._record(self._running.pop(future), future.result())

    def _record(self, attempt: _Attempt, result: work_lib.Result) -> None:
        if result.status != work_lib.Status.REPLIED:
            self._reasons[attempt.shard_id] = _reason(result.status)
            return
        reply = replies_lib.decode(result.body, attempt.attempt_id)
        if reply is None or reply.status == "error":
            self._reasons[attempt.shard_id] = answers.LackingReason.TARGET_ERROR
            return
        if reply.status in ("shed", "draining"):
            self._reasons[attempt.shard_id] = answers.LackingReason.REFUSED
            return
        self._state.record(reply)

    def _cancel_running(self) -> None:
        for future in self._running:
            future.cancel()

    def _answer(self, snapshot: answers.Snapshot) -> answers.Answer:
        covered = self._state.replies_at(snapshot)
        shards = self._state.maps[snapshot.shard_map_version].shards
        lacking = tuple(
            answers.Lacking(shard.shard_id, self._lacking_reason(shard))
            for shard in shards
            if shard.shard_id not in covered
        )
        rows = [row for reply in covered.values() for row in reply.rows]
        return answers.Answer(
            outcome=answers.Outcome.DONE,
            request_id=self._request.request_id,
            bundle_number=self._request.bundle_number,
            snapshot=snapshot if covered else None,
            covered=tuple(s.shard_id for s in shards if s.shard_id in covered),
            lacking=lacking,
            results=tuple(rows),
        )

    def _lacking_reason(self, shard: bundle_lib.Shard) -> answers.LackingReason:
        return self._reasons.get(shard.shard_id, answers.LackingReason.DEADLINE)


_REASONS = {
    work_lib.Status.REFUSED: answers.LackingReason.REFUSED,
    work_lib.Status.EXPIRED: answers.LackingReason.DEADLINE,
    work_lib.Status.NOT_SENT: answers.LackingReason.NO_TARGET,
    work_lib.Status.LEAVING: answers.LackingReason.NO_TARGET,
    work_lib.Status.LOST: answers.LackingReason.CONNECTION_LOST,
    work_lib.Status.TOO_LARGE: answers.LackingReason.ANSWER_TOO_LARGE,
    work_lib.Status.MALFORMED: answers.LackingReason.TARGET_ERROR,
}


def _reason(status: work_lib.Status) -> answers.LackingReason:
    return _REASONS[status]
