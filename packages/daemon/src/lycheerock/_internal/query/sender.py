"""Sends the shard requests of a search and processes the replies."""

import asyncio
import collections
import dataclasses
import functools
import time
from typing import Any
from typing import Protocol

from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.query import attempts as attempts_lib
from lycheerock._internal.query import replies as replies_lib
from lycheerock._internal.query import service_states
from lycheerock._internal.query import shard_requests
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

SHARD_PATH = "/v1/shard"

_Kind = attempts_lib.AttemptKind
_DRAINING = "draining"


class Dispatch(Protocol):
    """Sends requests to targets."""

    def submit(
        self, work: work_lib.TargetRequest
    ) -> asyncio.Future[work_lib.TargetResult]:
        """Sends a request, which is cancelled by cancelling the future."""
        ...


@dataclasses.dataclass(frozen=True)
class SearchRequest:
    """A search request of a caller.

    Attributes:
      request_id: Unique id, composed of the instance, its incarnation and the
        request number.
      caller: Name of the caller.
      service: The service to search.
      bundle_number: Number of the bundle that defines the service.
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
class Context:
    """Dependencies that the searches and bookings of an instance share.

    Attributes:
      dispatcher: Sends requests to targets.
      target_states: Serving states of the targets, to avoid draining ones.
      states: State of each service, and latencies of the targets.
    """

    dispatcher: Dispatch
    target_states: target_states_lib.TargetStates
    states: service_states.ServiceStates


class StateReport(Protocol):
    """The part of a reply that reports the state of its target."""

    @property
    def target_state(self) -> str:
        """Either "serving" or "draining"."""
        ...

    @property
    def target_epoch(self) -> int:
        """Epoch of the target process; higher after a restart."""
        ...

    @property
    def state_sequence(self) -> int:
        """Number that grows with each state change within an epoch."""
        ...


def report_state(
    target_states: target_states_lib.TargetStates,
    target_id: str,
    status: str,
    report: StateReport,
) -> None:
    """Records the target state that a reply reports."""
    draining = "draining" in (status, report.target_state)
    states = target_states_lib.ServingState
    target_states.observe(
        target_states_lib.TargetState(
            target_id,
            report.target_epoch,
            report.state_sequence,
            states.DRAINING if draining else states.SERVING,
        )
    )


class Sender:
    """Sends and tracks the attempts of one search.

    Attributes:
      attempts: All attempts, in the order of their start.
      ended: Attempts that have ended but are not yet processed.
      event: Set when an attempt has ended.
      hedge_queue: Attempts that may be hedged, in the order in which their
        hedges become due.
      running_count: Number of attempts in flight.
      retry_after_ms: Longest retry delay requested by a refusal.
    """

    def __init__(
        self, request: SearchRequest, context: Context, cutoff_s: float
    ):
        self._request = request
        self._dispatcher = context.dispatcher
        self._target_states = context.target_states
        self._tracker = context.states.tracker
        self._service_state = context.states.get(request.service)
        self._cutoff_s = cutoff_s
        self._encoder = shard_requests.Encoder(
            request.service.name, request.query
        )
        self.attempts: list[attempts_lib.Attempt] = []
        self.ended: list[
            tuple[attempts_lib.Attempt, work_lib.TargetResult]
        ] = []
        self.event = asyncio.Event()
        self.hedge_queue: collections.deque[attempts_lib.Attempt] = (
            collections.deque()
        )
        self.running_count = 0
        self.retry_after_ms = 0

    def send(
        self,
        progress: attempts_lib.ShardProgress,
        snapshot: answers.Snapshot,
        kind: attempts_lib.AttemptKind,
        now_s: float,
        *,
        only_holders: bool = False,
    ) -> bool:
        """Sends a shard request to the replica with the least expected wait.

        Args:
          progress: Progress of the shard.
          snapshot: Snapshot to request.
          kind: Why the request is sent; hedges and retries take a token.
          now_s: Monotonic time.
          only_holders: Whether to skip replicas that are known to lack the
            snapshot even if there are no others.

        Returns:
          False if there is no eligible replica or no token.
        """
        needs_token = kind in (_Kind.HEDGE, _Kind.RETRY)
        bucket = self._service_state.bucket
        if needs_token and not bucket.has_token(for_hedge=kind == _Kind.HEDGE):
            return False
        candidates = self._candidates(progress, snapshot, now_s, only_holders)
        if not candidates:
            return False
        if needs_token:
            bucket.take()
        target_id = candidates[0]
        if len(candidates) > 1:
            target_id = self._tracker.choose(candidates, now_s)
        self._submit(progress, snapshot, target_id, kind, now_s)
        return True

    def _candidates(
        self,
        progress: attempts_lib.ShardProgress,
        snapshot: answers.Snapshot,
        now_s: float,
        only_holders: bool,
    ) -> list[str]:
        shard = progress.shard
        is_leaving = self._target_states.is_draining
        tried_ids = progress.tried_ids
        usable = [
            target_id
            for target_id in shard.target_ids
            if target_id not in tried_ids and not is_leaving(target_id)
        ]
        if progress.excluded_ids:
            usable = [t for t in usable if t not in progress.excluded_ids]
        lacking = self._service_state.versions.targets_without(
            snapshot, shard.shard_id, now_s
        )
        if not lacking:
            return usable
        holders = [t for t in usable if t not in lacking]
        return holders if holders or only_holders else usable

    def _submit(
        self,
        progress: attempts_lib.ShardProgress,
        snapshot: answers.Snapshot,
        target_id: str,
        kind: attempts_lib.AttemptKind,
        now_s: float,
    ) -> None:
        number = len(self.attempts) + 1
        attempt = attempts_lib.Attempt(
            f"{self._request.request_id}.{number}",
            progress,
            target_id,
            snapshot,
            kind,
            now_s,
        )
        self.attempts.append(attempt)
        progress.tried_ids.add(target_id)
        progress.running.append(attempt)
        self.running_count += 1
        attempt.queue_depth = self._tracker.record_start(target_id, now_s)
        if kind != _Kind.HEDGE:
            self.hedge_queue.append(attempt)
        attempt.future = self._dispatcher.submit(
            work_lib.TargetRequest(
                attempt_id=attempt.attempt_id,
                caller=self._request.caller,
                service=self._request.service.name,
                target_id=target_id,
                path=SHARD_PATH,
                body=self._encoder.encode(
                    snapshot, progress.shard.shard_id, attempt.attempt_id
                ),
                deadline_s=self._cutoff_s,
                idempotent=True,
            )
        )
        attempt.future.add_done_callback(
            functools.partial(self._on_done, attempt)
        )

    def _on_done(
        self,
        attempt: attempts_lib.Attempt,
        future: asyncio.Future[work_lib.TargetResult],
    ) -> None:
        if attempt.status != "running":
            return
        attempt.elapsed_s = time.monotonic() - attempt.start_s
        if future.cancelled() or future.exception() is not None:
            result = work_lib.TargetResult(work_lib.Status.LOST)
        else:
            result = future.result()
        attempt.future = None
        self.ended.append((attempt, result))
        self.event.set()

    def report_overdue(
        self, attempt: attempts_lib.Attempt, now_s: float
    ) -> None:
        """Reports a slow attempt, so that other searches avoid its replica."""
        waited_s = now_s - attempt.start_s
        self._tracker.record_overdue(
            attempt.target_id, waited_s, attempt.queue_depth
        )

    def pop_ended(
        self,
    ) -> list[tuple[attempts_lib.Attempt, work_lib.TargetResult]]:
        """Returns the attempts that have ended since the last call."""
        ended, self.ended = self.ended, []
        return ended

    def process_reply(
        self,
        attempt: attempts_lib.Attempt,
        result: work_lib.TargetResult,
        now_s: float,
        *,
        was_cancelled: bool,
    ) -> replies_lib.ShardReply | None:
        """Decodes a reply and records what it reports about its target.

        Args:
          attempt: The attempt that ended.
          result: Result of the attempt.
          now_s: Monotonic time.
          was_cancelled: Whether the search had cancelled the attempt.

        Returns:
          The reply, or None if there is no valid reply.
        """
        reply = None
        shard_id = attempt.shard.shard.shard_id
        if result.status == work_lib.Status.REPLIED:
            reply = replies_lib.decode(
                result.body, attempt.attempt_id, shard_id, attempt.snapshot
            )
        if reply is None:
            self._service_state.versions.forget(
                attempt.snapshot.shard_map_version, shard_id, attempt.target_id
            )
            return None
        # Most replies repeat the last reported state, which is skipped here.
        reported = (
            reply.target_epoch,
            reply.state_sequence,
            reply.target_state,
        )
        last_reported = self._service_state.last_reported
        if (
            last_reported.get(attempt.target_id) != reported
            or reply.status == _DRAINING
        ):
            last_reported[attempt.target_id] = reported
            report_state(
                self._target_states, attempt.target_id, reply.status, reply
            )
        if reply.status in ("ok", "version_missing", "map_missing"):
            self._service_state.versions.observe(
                reply.shard_map_version,
                shard_id,
                attempt.target_id,
                reply.held_versions,
                now_s,
            )
        if reply.status == "ok" and not was_cancelled:
            self._service_state.hedge_delay.observe(attempt.elapsed_s)
        return reply

    def finish(
        self,
        attempt: attempts_lib.Attempt,
        result: work_lib.TargetResult,
        reply: replies_lib.ShardReply | None,
        now_s: float,
    ) -> None:
        """Marks an attempt as ended and records its result for the target."""
        attempt.shard.running.remove(attempt)
        self.running_count -= 1
        target_id = attempt.target_id
        attempt.status = _status_text(result.status, reply)
        if reply is not None and reply.status in ("shed", "draining"):
            if reply.status == "shed":
                attempt.shard.excluded_ids.add(target_id)
            self._record_refusal(target_id, reply.retry_after_ms, now_s)
        elif work_lib.proves_not_run(result.status):
            if result.status == work_lib.Status.NOT_SENT:
                self._tracker.record_failure(target_id)
            else:
                self._record_refusal(target_id, result.retry_after_ms, now_s)
        elif reply is None or reply.status == "error":
            self._tracker.record_failure(target_id)
        else:
            self._tracker.record_reply(
                target_id, attempt.elapsed_s, attempt.queue_depth, now_s
            )

    def _record_refusal(
        self, target_id: str, retry_after_ms: int, now_s: float
    ) -> None:
        self._tracker.record_refusal(target_id, retry_after_ms, now_s)
        self.retry_after_ms = max(self.retry_after_ms, retry_after_ms)

    def cancel(self, attempt: attempts_lib.Attempt, now_s: float) -> None:
        """Cancels an attempt that is in flight."""
        attempt.shard.running.remove(attempt)
        self.running_count -= 1
        attempt.status = "cancelled"
        attempt.elapsed_s = now_s - attempt.start_s
        self._tracker.record_cancellation(
            attempt.target_id, attempt.elapsed_s, attempt.queue_depth
        )
        future, attempt.future = attempt.future, None
        if future is not None:
            future.cancel()

    def cancel_running(self, now_s: float) -> None:
        """Cancels all attempts that are in flight."""
        if self.running_count:
            for attempt in self.attempts:
                if attempt.status == "running":
                    self.cancel(attempt, now_s)


def _status_text(
    status: work_lib.Status, reply: replies_lib.ShardReply | None
) -> str:
    if status != work_lib.Status.REPLIED:
        return status.value
    return reply.status if reply is not None else "malformed"
