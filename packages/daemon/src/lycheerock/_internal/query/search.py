"""Runs a search over all shards of a service."""

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

# Maximum number of snapshots that a search selects. The limit prevents endless
# queries to targets that report contradictory versions.
SELECTIONS_MAX = 4

# Bounds of the exponential backoff between retries of a failed shard, for
# services that prefer coverage over latency.
RETRY_DELAY_MIN_S = 0.02
RETRY_DELAY_MAX_S = 0.32

_Kind = attempts_lib.AttemptKind
_MISSING_REASONS = (
    answers.LackingReason.VERSION_MISSING,
    answers.LackingReason.MAP_MISSING,
)

# Statuses of replies that list the versions held by the target.
_RECORDED_STATUSES = frozenset({"ok", "version_missing", "map_missing"})


class Searcher:
    """Runs searches; what they learn about targets is kept in the context."""

    def __init__(self, context: sender_lib.Context):
        self.context = context

    async def run(
        self, request: sender_lib.SearchRequest
    ) -> records.CompletedRequest:
        """Runs a search and merges the replies of one snapshot.

        Args:
          request: The search.

        Returns:
          The answer and its attempts. The covered and lacking shards together
          are exactly the shards of one shard map.
        """
        search = _Search(self, request, time.monotonic())
        try:
            await search.collect()
        finally:
            search.sender.cancel_running(time.monotonic())
        return search.build_result()


class _Search:
    """State of one search."""

    def __init__(
        self,
        searcher: Searcher,
        request: sender_lib.SearchRequest,
        start_s: float,
    ):
        self._request = request
        self._start_s = start_s
        self._service_state = searcher.context.states.get(request.service)
        self._replies = snapshots.ReplySet(request.service)
        time_left_s = request.deadline_s - start_s
        shard_count = max(len(m.shards) for m in request.service.shard_maps)
        margin_s = coverage.margin_s(time_left_s, shard_count)
        self._cutoff_s = request.deadline_s - margin_s
        self.sender = sender_lib.Sender(
            request, searcher.context, self._cutoff_s
        )
        self._retries_until_deadline = (
            request.service.weighs == bundle_lib.Priority.COVERAGE
        )
        self._progress: dict[int, dict[str, attempts_lib.ShardProgress]] = {}
        self._scheduled_retries: list[
            tuple[float, int, attempts_lib.ShardProgress]
        ] = []
        self._retry_sequence = itertools.count()
        self._selection_count = 0
        self._evaluate_after_s = 0.0
        self._first_count = 0
        self._unsettled_count = 0
        self._needs_evaluation = False
        self._snapshot_was_missing = False
        self._selected = self._service_state.versions.initial_snapshot(start_s)

    async def collect(self) -> None:
        """Collects replies until all shards are settled or time is up."""
        self._select(self._selected, self._start_s)
        while True:
            now_s = time.monotonic()
            self._process_ended(now_s)
            may_evaluate = (
                self.sender.running_count == 0
                or now_s >= self._evaluate_after_s
            )
            if self._needs_evaluation and may_evaluate:
                self._evaluate(now_s)
            self._send_hedges(now_s)
            self._send_scheduled_retries(now_s)
            if self._unsettled_count == 0 and not self._needs_evaluation:
                return
            if now_s >= self._cutoff_s:
                return
            await self._wait(self._next_wakeup_s(now_s) - now_s)

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

    def _next_wakeup_s(self, now_s: float) -> float:
        due_s = self._cutoff_s
        while (
            self.sender.hedge_queue
            and self.sender.hedge_queue[0].status != "running"
        ):
            self.sender.hedge_queue.popleft()
        if self.sender.hedge_queue:
            hedge_s = (
                self.sender.hedge_queue[0].start_s
                + self._service_state.hedge_delay.delay_s
            )
            due_s = min(due_s, hedge_s)
        if self._scheduled_retries:
            due_s = min(due_s, self._scheduled_retries[0][0])
        if self._needs_evaluation:
            due_s = min(due_s, self._evaluate_after_s)
        return max(due_s, now_s)

    def _select(self, snapshot: answers.Snapshot, now_s: float) -> None:
        """Selects a snapshot and requests its missing shards."""
        map_version = snapshot.shard_map_version
        shards = self._replies.maps[map_version].shards
        self._selected = snapshot
        self._selection_count += 1
        self._evaluate_after_s = now_s + self._service_state.hedge_delay.delay_s
        kind = _Kind.SNAPSHOT if self._progress else _Kind.FIRST
        if map_version not in self._progress:
            self._service_state.versions.mark_queried(map_version, now_s)
            self._progress[map_version] = {
                shard.shard_id: attempts_lib.ShardProgress(shard)
                for shard in shards
            }
        if kind == _Kind.FIRST:
            self._first_count = len(shards)
            self._service_state.bucket.add_first_attempts(len(shards))
        else:
            self.sender.cancel_running(now_s)
        received = self._replies.replies_for(snapshot)
        missing = []
        for progress in self._progress[map_version].values():
            progress.is_settled = (
                progress.shard.shard_id in received
                or _has_final_failure(progress)
            )
            if not progress.is_settled:
                missing.append(progress)
        self._unsettled_count = len(missing)
        for progress in missing:
            progress.tried_ids.clear()
            progress.failure = None
            if not self._send(progress, kind, now_s):
                self._fail(progress, answers.LackingReason.NO_TARGET, now_s)

    def _send(
        self,
        progress: attempts_lib.ShardProgress,
        kind: attempts_lib.AttemptKind,
        now_s: float,
        *,
        only_holders: bool = False,
    ) -> bool:
        return self.sender.send(
            progress, self._selected, kind, now_s, only_holders=only_holders
        )

    def _process_ended(self, now_s: float) -> None:
        ended = self.sender.pop_ended()
        for attempt, result in ended:
            # A cancelled attempt may have ended before its cancellation; its
            # rows can still be used.
            was_cancelled = attempt.status != "running"
            reply = self.sender.process_reply(
                attempt, result, now_s, was_cancelled=was_cancelled
            )
            if reply is not None and reply.status in _RECORDED_STATUSES:
                self._replies.record(reply)
            self._update_progress(attempt, result, reply, now_s, was_cancelled)

    def _update_progress(
        self,
        attempt: attempts_lib.Attempt,
        result: work_lib.TargetResult,
        reply: replies_lib.ShardReply | None,
        now_s: float,
        was_cancelled: bool,
    ) -> None:
        progress = attempt.shard
        failure = attempts_lib.classify(result.status, reply)
        if not was_cancelled:
            self.sender.finish(attempt, result, reply, now_s)
        if progress.is_settled or not self._is_current(progress):
            return
        if failure is None:
            assert reply is not None
            wanted = self._selected.index_version
            if wanted in (snapshots.NEWEST, reply.index_version):
                self._needs_evaluation |= wanted == snapshots.NEWEST
                self._settle(progress, now_s)
            return
        if was_cancelled:
            return
        progress.failure = failure.reason
        if failure.reason in _MISSING_REASONS:
            self._needs_evaluation = True
            self._snapshot_was_missing = True
        if not progress.running:
            self._retry_or_fail(progress, failure, now_s)

    def _is_current(self, progress: attempts_lib.ShardProgress) -> bool:
        current = self._progress[self._selected.shard_map_version]
        return current.get(progress.shard.shard_id) is progress

    def _retry_or_fail(
        self,
        progress: attempts_lib.ShardProgress,
        failure: attempts_lib.Failure,
        now_s: float,
    ) -> None:
        needs_no_token = (
            failure.follow_up == attempts_lib.FollowUp.RETRY_WITHOUT_TOKEN
        )
        if failure.reason in _MISSING_REASONS:
            sent = self._send(
                progress, _Kind.SNAPSHOT, now_s, only_holders=True
            )
        elif needs_no_token:
            sent = self._send(progress, _Kind.REROUTE, now_s)
        elif failure.follow_up == attempts_lib.FollowUp.RETRY:
            sent = self._send(progress, _Kind.RETRY, now_s)
        else:
            sent = False
        if not sent:
            is_final = failure.follow_up == attempts_lib.FollowUp.NONE
            self._fail(progress, failure.reason, now_s, is_final=is_final)

    def _fail(
        self,
        progress: attempts_lib.ShardProgress,
        reason: answers.LackingReason,
        now_s: float,
        *,
        is_final: bool = False,
    ) -> None:
        """Marks a shard as lacking, or schedules a retry."""
        progress.failure = reason
        if reason in _MISSING_REASONS:
            self._replies.mark_unavailable(
                self._selected, progress.shard.shard_id
            )
        all_excluded = progress.excluded_ids.issuperset(
            progress.shard.target_ids
        )
        if self._retries_until_deadline and not is_final and not all_excluded:
            delay_s = RETRY_DELAY_MIN_S * 2 ** min(progress.failure_count, 4)
            progress.failure_count += 1
            due_s = now_s + min(delay_s, RETRY_DELAY_MAX_S)
            heapq.heappush(
                self._scheduled_retries,
                (due_s, next(self._retry_sequence), progress),
            )
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
            self.sender.cancel(attempt, now_s)

    def _evaluate(self, now_s: float) -> None:
        """Selects another snapshot if that may improve coverage."""
        self._needs_evaluation = False
        best = self._replies.best_snapshot()
        ratio = (
            self._replies.expected_coverage(best) if best is not None else 0.0
        )
        if self._selection_count >= SELECTIONS_MAX:
            return
        if ratio < 1.0 and self._snapshot_was_missing:
            queried = set(self._progress)
            other = self._service_state.versions.alternative_snapshot(
                queried, ratio, now_s
            )
            if other is not None and self._has_map(other):
                self._select(other, now_s)
                return
        if best is not None and best != self._selected:
            self._select(best, now_s)

    def _has_map(self, snapshot: answers.Snapshot) -> bool:
        # A bundle that came into force after this search started may contain a
        # new shard map.
        return snapshot.shard_map_version in self._replies.maps

    def _send_hedges(self, now_s: float) -> None:
        due_s = now_s - self._service_state.hedge_delay.delay_s
        while (
            self.sender.hedge_queue
            and self.sender.hedge_queue[0].start_s <= due_s
        ):
            attempt = self.sender.hedge_queue.popleft()
            progress = attempt.shard
            if attempt.status != "running":
                continue
            self.sender.report_overdue(attempt, now_s)
            if len(progress.running) == 1:
                self._send(progress, _Kind.HEDGE, now_s, only_holders=True)

    def _send_scheduled_retries(self, now_s: float) -> None:
        while (
            self._scheduled_retries and self._scheduled_retries[0][0] <= now_s
        ):
            _, _, progress = heapq.heappop(self._scheduled_retries)
            if progress.is_settled or progress.running:
                continue
            if not self._is_current(progress):
                continue
            progress.tried_ids.clear()
            if not self._send(progress, _Kind.RETRY, now_s):
                # No reply of this search will trigger an evaluation, but other
                # searches may have found a snapshot with better coverage.
                self._needs_evaluation |= self._snapshot_was_missing
                reason = progress.failure or answers.LackingReason.NO_TARGET
                self._fail(progress, reason, now_s)

    def build_result(self) -> records.CompletedRequest:
        """Builds the answer from the replies received so far."""
        request = self._request
        snapshot = self._replies.most_complete_snapshot()
        coverage_snapshot = snapshot or self._selected
        covered, rows = coverage.merge_rows(self._replies, coverage_snapshot)
        lacking = coverage.uncovered_shards(
            self._replies, coverage_snapshot, self._progress
        )
        error = coverage.coverage_error(
            request.service,
            len(covered),
            len(covered) + len(lacking),
            self.sender.retry_after_ms,
        )
        outcome = answers.Outcome.DONE
        if error is not None:
            outcome = coverage.outcome_below_coverage(self.sender.attempts)
        answer = answers.Answer(
            outcome=outcome,
            request_id=request.request_id,
            bundle_number=request.bundle_number,
            snapshot=snapshot,
            covered=covered,
            lacking=lacking,
            results=rows,
            error=error,
        )
        return records.CompletedRequest(
            answer, self._start_s, self.sender.attempts, self._first_count
        )


def _has_final_failure(progress: attempts_lib.ShardProgress) -> bool:
    """Returns whether the shard failed regardless of the snapshot."""
    if not progress.is_settled or progress.failure is None:
        return False
    return progress.failure not in _MISSING_REASONS
