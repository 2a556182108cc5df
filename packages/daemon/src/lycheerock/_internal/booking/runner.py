"""Runs non-idempotent requests at most once."""

import asyncio
import dataclasses
import hashlib
import time
from typing import Any
from typing import Protocol

import msgspec
import structlog

from lycheerock._internal.booking import keys as keys_lib
from lycheerock._internal.booking import outcomes
from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.query import attempts as attempts_lib
from lycheerock._internal.query import coverage
from lycheerock._internal.query import records
from lycheerock._internal.query import sender as sender_lib
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

RUN_PATH = "/v1/run"


@dataclasses.dataclass(frozen=True)
class RunRequest:
    """A non-idempotent request of a caller.

    Attributes:
      request_id: ID made of instance, incarnation and request number.
      request_key: Key from POST /v1/keys.
      caller: Name of the caller.
      caller_count: Number of callers in the bundle.
      service: Definition of the service.
      bundle_number: Number of the bundle that defines the service.
      shard_key: Value whose hash selects the shard.
      payload: The caller's payload, any JSON value.
      deadline_s: Monotonic time of the deadline.
    """

    request_id: str
    request_key: str
    caller: str
    caller_count: int
    service: bundle_lib.Service
    bundle_number: int
    shard_key: str
    payload: Any
    deadline_s: float


class Forward(Protocol):
    """Forwards a request to the instance that issued its key."""

    async def __call__(
        self, key: keys_lib.RequestKey, request: RunRequest
    ) -> answers.Answer: ...


class BookingRunner:
    """Runs requests whose keys were issued here; forwards all others."""

    def __init__(
        self,
        table: keys_lib.KeyTable,
        context: sender_lib.Context,
        forward: Forward,
    ):
        self.table = table
        self._context = context
        self._forward = forward
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, request: RunRequest) -> records.CompletedRequest:
        """Runs a request on the instance that issued its key.

        Args:
          request: The request.

        Returns:
          The answer. Repeating a request with the same key returns the answer
          of the first one.

        Raises:
          RequestKeyError: The key is malformed.
        """
        start_s = time.monotonic()
        key = keys_lib.parse(request.request_key)
        if self.table.issued_here(key):
            return await self.run_here(key, request)
        answer = await self._forward(key, request)
        return records.CompletedRequest(answer, start_s)

    async def run_here(
        self, key: keys_lib.RequestKey, request: RunRequest
    ) -> records.CompletedRequest:
        """Runs a request on this instance.

        The outcome is unknown if another incarnation issued its key.
        """
        now_s = time.monotonic()
        attempts: list[attempts_lib.Attempt] = []
        answer = self._check_key(key, request.caller, request)
        if answer is None:
            entry = self.table.find(str(key)) or self._start(
                key, request, attempts, now_s
            )
            if isinstance(entry, answers.Answer):
                answer = entry
            elif entry.request_digest != _digest_request(request):
                answer = outcomes.unknown(
                    request,
                    "the key was used for another request",
                    exceptions.ErrorKind.KEY,
                )
            else:
                answer = await _wait_for_answer(request, entry)
        return records.CompletedRequest(answer, now_s, attempts, len(attempts))

    def _check_key(
        self,
        key: keys_lib.RequestKey,
        caller: str,
        request: outcomes.RequestIds,
    ) -> answers.Answer | None:
        if not self.table.issued_here(key):
            problem = "the instance that issued the key has restarted"
        elif not self.table.was_issued_to(key, caller):
            problem = "the key was not issued to this caller"
        else:
            return None
        return outcomes.unknown(request, problem, exceptions.ErrorKind.KEY)

    def refusal_outcome(self, request_key: str) -> answers.Outcome:
        """Returns the outcome to report for a refused request.

        It is not_run only if no request can have run with the key: the refused
        request may be a retry of one that has run.
        """
        try:
            key = keys_lib.parse(request_key)
        except exceptions.RequestKeyError:
            return answers.Outcome.NOT_RUN
        if self.table.is_unused(key, time.monotonic()):
            return answers.Outcome.NOT_RUN
        return answers.Outcome.UNKNOWN

    def _start(
        self,
        key: keys_lib.RequestKey,
        request: RunRequest,
        attempts: list[attempts_lib.Attempt],
        now_s: float,
    ) -> keys_lib.KeyEntry | answers.Answer:
        if self.table.is_expired(key, now_s):
            return outcomes.unknown(
                request, "the key has expired", exceptions.ErrorKind.KEY
            )
        entry = self.table.claim(
            str(key),
            request.caller,
            _digest_request(request),
            request.caller_count,
            now_s,
        )
        if entry is None:
            return outcomes.not_run(
                request, "the caller's share of the key table is full", 1_000
            )
        task = asyncio.create_task(self._execute(str(key), request, attempts))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return entry

    async def _execute(
        self,
        key: str,
        request: RunRequest,
        attempts: list[attempts_lib.Attempt],
    ) -> None:
        answer = outcomes.unknown(
            request, "an internal error occurred while the request was running"
        )
        result_size_bytes = 0
        try:
            answer, result_size_bytes = await self._dispatch(request, attempts)
        except Exception as error:
            _LOG.exception(
                "booking_failed",
                request_id=request.request_id,
                error=type(error).__name__,
            )
        finally:
            self.table.record_answer(key, answer, result_size_bytes)

    async def _dispatch(
        self, request: RunRequest, attempts: list[attempts_lib.Attempt]
    ) -> tuple[answers.Answer, int]:
        shard = choose_shard(request.service, request.shard_key)
        now_s = time.monotonic()
        target_id = self._choose_target(shard, now_s)
        if target_id is None:
            problem = "every replica of the shard is leaving"
            return outcomes.not_run(request, problem, 1_000), 0
        attempt = attempts_lib.Attempt(
            f"{request.request_id}.1",
            attempts_lib.ShardProgress(shard),
            target_id,
            answers.Snapshot(0, 0),
            attempts_lib.AttemptKind.FIRST,
            now_s,
        )
        work = _build_work(request, shard, attempt)
        # If the process was frozen, for example by SIGSTOP, until after the
        # deadline, the caller no longer waits for the request.
        if time.monotonic() >= request.deadline_s:
            return outcomes.not_run(request, "the deadline has passed"), 0
        attempts.append(attempt)
        tracker = self._context.states.tracker
        attempt.queue_depth = tracker.record_start(target_id, now_s)
        result = await self._context.dispatcher.submit(work)
        attempt.elapsed_s = time.monotonic() - now_s
        reply = outcomes.decode_reply(result, attempt.attempt_id)
        self._record_result(attempt, result, reply)
        return outcomes.build_answer(request, result, reply), len(result.body)

    def _choose_target(
        self, shard: bundle_lib.Shard, now_s: float
    ) -> str | None:
        candidates = [
            target_id
            for target_id in shard.target_ids
            if not self._context.target_states.is_draining(target_id)
        ]
        if not candidates:
            return None
        return self._context.states.tracker.choose(candidates, now_s)

    def _record_result(
        self,
        attempt: attempts_lib.Attempt,
        result: work_lib.TargetResult,
        reply: outcomes.RunReply | None,
    ) -> None:
        tracker = self._context.states.tracker
        now_s = attempt.start_s + attempt.elapsed_s
        if reply is None:
            attempt.status = result.status.value
            if result.status == work_lib.Status.REPLIED:
                attempt.status = "malformed"
            if work_lib.proves_not_run(result.status):
                tracker.record_refusal(
                    attempt.target_id, result.retry_after_ms, now_s
                )
            else:
                tracker.record_failure(attempt.target_id)
            return
        attempt.status = reply.status
        if reply.target_epoch:
            sender_lib.report_state(
                self._context.target_states,
                attempt.target_id,
                reply.status,
                reply,
            )
        if reply.status == "done":
            tracker.record_reply(
                attempt.target_id, attempt.elapsed_s, attempt.queue_depth, now_s
            )
        else:
            tracker.record_refusal(
                attempt.target_id, reply.retry_after_ms, now_s
            )


async def _wait_for_answer(
    request: RunRequest, entry: keys_lib.KeyEntry
) -> answers.Answer:
    time_left_s = request.deadline_s - time.monotonic()
    time_left_s -= coverage.margin_s(time_left_s, 0)
    try:
        async with asyncio.timeout(max(0.0, time_left_s)):
            await entry.done.wait()
    except TimeoutError:
        if entry.answer is None:
            return outcomes.unknown(request, "no outcome before the deadline")
    assert entry.answer is not None
    return dataclasses.replace(entry.answer, request_id=request.request_id)


def _digest_request(request: RunRequest) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.service.name, request.shard_key):
        digest.update(msgspec.json.encode(part))
    digest.update(msgspec.json.encode(request.payload))
    return digest.digest()


def _build_work(
    request: RunRequest,
    shard: bundle_lib.Shard,
    attempt: attempts_lib.Attempt,
) -> work_lib.TargetRequest:
    body = msgspec.json.encode(
        {
            "service": request.service.name,
            "shard": shard.shard_id,
            "attempt_id": attempt.attempt_id,
            "request_key": request.request_key,
            "payload": request.payload,
        }
    )
    return work_lib.TargetRequest(
        attempt_id=attempt.attempt_id,
        caller=request.caller,
        service=request.service.name,
        target_id=attempt.target_id,
        path=RUN_PATH,
        body=body,
        deadline_s=request.deadline_s,
        idempotent=False,
    )


def choose_shard(
    service: bundle_lib.Service, shard_key: str
) -> bundle_lib.Shard:
    """Returns the shard for a shard key, using the newest shard map."""
    newest = max(service.shard_maps, key=lambda m: m.shard_map_version)
    digest = hashlib.blake2b(shard_key.encode(), digest_size=8).digest()
    index = int.from_bytes(digest, "big") % len(newest.shards)
    return newest.shards[index]
