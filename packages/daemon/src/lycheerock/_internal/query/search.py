"""Runs one search over all shards of a service."""

import asyncio
import heapq
import itertools
import time

from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.query import attempts as attempts_lib
from lycheerock._internal.query import coverage
from lycheerock._internal.query import records
from lycheerock._internal.query import replies as replies_lib
from lycheerock._internal.query import sender as sender_lib
from lycheerock._internal.query import snapshots
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

# A search that has changed its snapshot this often keeps the last one, so that
# targets that contradict themselves cannot make it ask without end.
SELECTIONS_MAX = 4

# Wait before a service that weighs coverage asks a failed shard again.
REPEAT_DELAY_MIN_S = 0.02
REPEAT_DELAY_MAX_S = 0.32

_Kind = attempts_lib.AttemptKind
_Missing = (
    answers.LackingReason.VERSION_MISSING,
    answers.LackingReason.MAP_MISSING,
)


_RECORDED = frozenset({"ok", "version_missing", "map_missing"})


class Searcher:
    """Runs searches and keeps what they teach about the targets."""

    def __init__(self, context: sender_lib.Context):
        self.context = context

    async def run(
        self, request: sender_lib.SearchRequest
    ) -> records.CompletedRequest:
        """Runs a search and merges the replies of one snapshot.

        Args:
          request: The search.

        Returns:
          The answer and its attempts; covered and lacking shards are exactly
          those of one shard map.
        """
        search = _Search(self, request, time.monotonic())
        try:
            await search.collect()
        finally:
            search.sender.cancel_running(time.monotonic())
        return search.complete()


class _Search:
    """State of one search; only `collect` waits."""

    def __init__(
        self,
        searcher: Searcher,
        request: sender_lib.SearchRequest,
        start_s: float,
    ):
        self._request = request
        self._start_s = start_s
        self._known = searcher.context.states.get(request.service)
        self._state = snapshots.QueryState(request.service)
        time_left_s = request.deadline_s - start_s
        shard_count = max(len(m.shards) for m in request.service.shard_maps)
        margin_s = coverage.margin_s(time_left_s, shard_count)
        self._cutoff_s = request.deadline_s - margin_s
        self.sender = sender_lib.Sender(
            request, searcher.context, self._cutoff_s
        )
        self._waits = request.service.weighs == bundle_lib.Weighs.COVERAGE
        self._progress: dict[int, dict[str, attempts_lib.ShardProgress]] = {}
        self._repeats: list[tuple[float, int, attempts_lib.ShardProgress]] = []
        self._order = itertools.count()
        self._selection_count = 0
        self._settle_s = 0.0
        self._first_count = 0
        self._unsettled_count = 0
        self._dirty = False
        self._missing_seen = False
        self._selected = self._known.versions.start(start_s)

    async def collect(self) -> None:
        """Asks, waits and asks again until done or the deadline is near."""
        self._select(self._selected, self._start_s)
        while True:
            now_s = time.monotonic()
            self._take_ended(now_s)
            settled = self.sender.running_count == 0 or now_s >= self._settle_s
            if self._dirty and settled:
                self._evaluate(now_s)
            self._send_hedges(now_s)
            self._send_repeats(now_s)
            if self._unsettled_count == 0 and not self._dirty:
                return
            if now_s >= self._cutoff_s:
                return
            await self._wait(self._next_due_s(now_s) - now_s)

    async def _wait(self, delay_s: float) -> None:
        if self.sender.ended:
            return
        self.sender.event.clear()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(delay_s, self.sender.event.set)
        try:
            await self.sender.event.wait()
        finally:
            timer.cancel()

    def _next_due_s(self, now_s: float) -> float:
        due_s = self._cutoff_s
        while self.sender.hedges and self.sender.hedges[0].status != "running":
            self.sender.hedges.popleft()
        if self.sender.hedges:
            hedge_s = (
                self.sender.hedges[0].start_s + self._known.hedge_delay.delay_s
            )
            due_s = min(due_s, hedge_s)
        if self._repeats:
            due_s = min(due_s, self._repeats[0][0])
        if self._dirty:
            due_s = min(due_s, self._settle_s)
        return max(due_s, now_s)

    def _select(self, snapshot: answers.Snapshot, now_s: float) -> None:
        map_version = snapshot.shard_map_version
        shards = self._state.maps[map_version].shards
        self._selected = snapshot
        self._selection_count += 1
        self._settle_s = now_s + self._known.hedge_delay.delay_s
        kind = _Kind.SNAPSHOT if self._progress else _Kind.FIRST
        if map_version not in self._progress:
            self._known.versions.mark_asked(map_version, now_s)
            self._progress[map_version] = {
                shard.shard_id: attempts_lib.ShardProgress(shard)
                for shard in shards
            }
        if kind == _Kind.FIRST:
            self._first_count = len(shards)
            self._known.bucket.add_first_attempts(len(shards))
        else:
            self.sender.cancel_running(now_s)
        in_hand = self._state.replies_at(snapshot)
        missing = []
        for progress in self._progress[map_version].values():
            progress.is_settled = (
                progress.shard.shard_id in in_hand
                or _has_failed_for_good(progress)
            )
            if not progress.is_settled:
                missing.append(progress)
        self._unsettled_count = len(missing)
        for progress in missing:
            progress.tried_ids.clear()
            progress.failure = None
            if not self._ask(progress, kind, now_s):
                self._fail(progress, answers.LackingReason.NO_TARGET, now_s)

    def _ask(
        self,
        progress: attempts_lib.ShardProgress,
        kind: attempts_lib.AttemptKind,
        now_s: float,
        *,
        only_holders: bool = False,
    ) -> bool:
        return self.sender.ask(
            progress, self._selected, kind, now_s, only_holders=only_holders
        )

    def _take_ended(self, now_s: float) -> None:
        ended = self.sender.take_ended()
        for attempt, result in ended:
            # It was given up after it had ended; its rows are still good.
            given_up = attempt.status != "running"
            reply = self.sender.read(attempt, result, now_s, given_up=given_up)
            if reply is not None and reply.status in _RECORDED:
                self._state.record(reply)
            self._advance(attempt, result, reply, now_s, given_up)

    def _advance(
        self,
        attempt: attempts_lib.Attempt,
        result: work_lib.Result,
        reply: replies_lib.ShardReply | None,
        now_s: float,
        given_up: bool,
    ) -> None:
        progress = attempt.shard
        failure = attempts_lib.classify(result.status, reply)
        if not given_up:
            self.sender.release(attempt, result, reply, now_s)
        if progress.is_settled or not self._is_current(progress):
            return
        if failure is None:
            assert reply is not None
            wanted = self._selected.index_version
            if wanted in (snapshots.NEWEST, reply.index_version):
                self._dirty |= wanted == snapshots.NEWEST
                self._settle(progress, now_s)
            return
        if given_up:
            return
        progress.failure = failure.reason
        if failure.reason in _Missing:
            self._dirty = True
            self._missing_seen = True
        if not progress.running:
            self._follow_up(progress, failure, now_s)

    def _is_current(self, progress: attempts_lib.ShardProgress) -> bool:
        current = self._progress[self._selected.shard_map_version]
        return current.get(progress.shard.shard_id) is progress

    def _follow_up(
        self,
        progress: attempts_lib.ShardProgress,
        failure: attempts_lib.Failure,
        now_s: float,
    ) -> None:
        free = failure.next == attempts_lib.Next.ANOTHER_FREE
        if failure.reason in _Missing:
            asked = self._ask(
                progress, _Kind.SNAPSHOT, now_s, only_holders=True
            )
        elif free:
            asked = self._ask(progress, _Kind.MOVE, now_s)
        elif failure.next == attempts_lib.Next.ANOTHER:
            asked = self._ask(progress, _Kind.RETRY, now_s)
        else:
            asked = False
        if not asked:
            final = failure.next == attempts_lib.Next.NONE
            self._fail(progress, failure.reason, now_s, final=final)

    def _fail(
        self,
        progress: attempts_lib.ShardProgress,
        reason: answers.LackingReason,
        now_s: float,
        *,
        final: bool = False,
    ) -> None:
        """Leaves a shard lacking, or asks it again later."""
        progress.failure = reason
        if reason in _Missing:
            self._state.exclude(self._selected, progress.shard.shard_id)
        shed = progress.excluded_ids.issuperset(progress.shard.target_ids)
        if self._waits and not final and not shed:
            delay_s = REPEAT_DELAY_MIN_S * 2 ** min(progress.failure_count, 4)
            progress.failure_count += 1
            due_s = now_s + min(delay_s, REPEAT_DELAY_MAX_S)
            heapq.heappush(self._repeats, (due_s, next(self._order), progress))
            return
        progress.is_settled = True
        self._unsettled_count -= 1

    def _settle(
        self, progress: attempts_lib.ShardProgress, now_s: float
    ) -> None:
        progress.is_settled = True
        progress.failure = None
        self._unsettled_count -= 1
        for attempt in list(progress.running):
            self.sender.give_up(attempt, now_s)

    def _evaluate(self, now_s: float) -> None:
        """Selects the snapshot that now covers most shards."""
        self._dirty = False
        best = self._state.best()
        ratio = self._state.expected_ratio(best) if best is not None else 0.0
        if self._selection_count >= SELECTIONS_MAX:
            return
        if ratio < 1.0 and self._missing_seen:
            asked = set(self._progress)
            other = self._known.versions.alternative(asked, ratio, now_s)
            if other is not None and self._has_map(other):
                self._select(other, now_s)
                return
        if best is not None and best != self._selected:
            self._select(best, now_s)

    def _has_map(self, snapshot: answers.Snapshot) -> bool:
        # A later bundle may have brought a map that this search does not know.
        return snapshot.shard_map_version in self._state.maps

    def _send_hedges(self, now_s: float) -> None:
        due_s = now_s - self._known.hedge_delay.delay_s
        while self.sender.hedges and self.sender.hedges[0].start_s <= due_s:
            attempt = self.sender.hedges.popleft()
            progress = attempt.shard
            if attempt.status != "running":
                continue
            self.sender.note_overdue(attempt, now_s)
            if len(progress.running) == 1:
                self._ask(progress, _Kind.HEDGE, now_s, only_holders=True)

    def _send_repeats(self, now_s: float) -> None:
        while self._repeats and self._repeats[0][0] <= now_s:
            _, _, progress = heapq.heappop(self._repeats)
            if progress.is_settled or progress.running:
                continue
            if not self._is_current(progress):
                continue
            progress.tried_ids.clear()
            if not self._ask(progress, _Kind.RETRY, now_s):
                # Without a token this search learns nothing from targets, but
                # others may have found a snapshot that covers more.
                self._dirty |= self._missing_seen
                reason = progress.failure or answers.LackingReason.NO_TARGET
                self._fail(progress, reason, now_s)

    def complete(self) -> records.CompletedRequest:
        """Builds the answer from the replies in hand."""
        request = self._request
        chosen = self._state.fullest()
        shown = chosen or self._selected
        covered, rows = coverage.merge(self._state, shown)
        lacking = coverage.lacking(self._state, shown, self._progress)
        error = coverage.shortfall(
            request.service,
            len(covered),
            len(covered) + len(lacking),
            self.sender.retry_after_ms,
        )
        outcome = answers.Outcome.DONE
        if error is not None:
            outcome = coverage.outcome_of_shortfall(self.sender.attempts)
        answer = answers.Answer(
            outcome=outcome,
            request_id=request.request_id,
            bundle_number=request.bundle_number,
            snapshot=chosen,
            covered=covered,
            lacking=lacking,
            results=rows,
            error=error,
        )
        return records.CompletedRequest(
            answer, self._start_s, self.sender.attempts, self._first_count
        )


def _has_failed_for_good(progress: attempts_lib.ShardProgress) -> bool:
    """Tells whether another snapshot would not help the shard."""
    if not progress.is_settled or progress.failure is None:
        return False
    return progress.failure not in _Missing
