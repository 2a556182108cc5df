"""Runs non-idempotent requests at most once."""

import asyncio
import dataclasses
import hashlib
import time
from typing import Any
from typing import Protocol

import msgspec

from lycheerock._internal.booking import keys as keys_lib
from lycheerock._internal.dispatch import dispatcher as dispatcher_lib
from lycheerock._internal.dispatch import work as work_lib
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions

RUN_PATH = "/v1/run"


@dataclasses.dataclass(frozen=True)
class RunRequest:
    """One non-idempotent request of a caller.

    Attributes:
      request_id: Names instance, incarnation and request.
      request_key: Key from POST /v1/keys.
      caller: The caller.
      service: The service.
      bundle_number: Bundle that the service was read from.
      shard_key: Chooses the shard.
      payload: The caller's payload, any JSON value.
      deadline_s: Monotonic time of the deadline.
    """

    request_id: str
    request_key: str
    caller: str
    service: bundle_lib.Service
    bundle_number: int
    shard_key: str
    payload: Any
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class RunReply:
    """Reply body of `POST /v1/run`."""

    status: str
    attempt_id: str
    retry_after_ms: int = 0
    result: Any = None


_DECODER = msgspec.json.Decoder(RunReply)


class Forward(Protocol):
    """Sends a request to the instance that issued its key."""

    async def __call__(
        self, key: keys_lib.RequestKey, request: RunRequest
    ) -> answers.Answer: ...


class Runner:
    """Owns the key table and runs the requests of its keys."""

    def __init__(
        self,
        table: keys_lib.KeyTable,
        dispatcher: dispatcher_lib.Dispatcher,
        forward: Forward,
    ):
        self.table = table
        self._dispatcher = dispatcher
        self._forward = forward
        self._running: set[asyncio.Task[None]] = set()

    async def run(self, request: RunRequest) -> answers.Answer:
        """Runs a request, here or on the instance that issued its key.

        Args:
          request: The request.

        Returns:
          The answer. A second call with the same key gets the answer of the
          first.
        """
        key = keys_lib.parse(request.request_key)
        if not self.table.issued_here(key):
            return await self._forward(key, request)
        return await self.run_here(key, request)

    async def run_here(
        self, key: keys_lib.RequestKey, request: RunRequest
    ) -> answers.Answer:
        """Runs a request whose key this incarnation must have issued."""
        now_s = time.monotonic()
        if not self.table.issued_here(key):
            return unknown(request, "the key is of another incarnation")
        outcome = self.table.find(str(key))
        if outcome is None:
            if self.table.is_expired(key, now_s):
                return unknown(request, "the key has expired")
            outcome = asyncio.get_running_loop().create_future()
            if not self.table.claim(str(key), outcome, now_s):
                return not_run(request, "the key table is full", 1_000)
            task = asyncio.create_task(self._execute(key, request, outcome))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        return await self._wait(request, outcome)

    async def _wait(
        self, request: RunRequest, outcome: asyncio.Future[answers.Answer]
    ) -> answers.Answer:
        time_left_s = max(0.0, request.deadline_s - time.monotonic())
        done, _ = await asyncio.wait((outcome,), timeout=time_left_s)
        if not done:
            return unknown(request, "no outcome before the deadline")
        return dataclasses.replace(
            outcome.result(), request_id=request.request_id
        )

    async def _execute(
        self,
        key: keys_lib.RequestKey,
        request: RunRequest,
        outcome: asyncio.Future[answers.Answer],
    ) -> None:
        answer = unknown(request, "the instance failed while it ran")
        try:
            answer = await self._dispatch(request)
        finally:
            if answer.outcome == answers.Outcome.NOT_RUN:
                self.table.release(str(key))
            outcome.set_result(answer)

    async def _dispatch(self, request: RunRequest) -> answers.Answer:
        shard = choose_shard(request.service, request.shard_key)
        attempt_id = f"{request.request_id}.1"
        body = msgspec.json.encode(
            {
                "service": request.service.name,
                "shard": shard.shard_id,
                "attempt_id": attempt_id,
                "request_key": request.request_key,
                "payload": request.payload,
            }
        )
        work = work_lib.Work(
            attempt_id=attempt_id,
            caller=request.caller,
            service=request.service.name,
            target_id=shard.target_ids[0],
            path=RUN_PATH,
            body=body,
            deadline_s=request.deadline_s,
            idempotent=False,
        )
        result = await self._dispatcher.submit(work)
        return _to_answer(request, attempt_id, result)


def choose_shard(
    service: bundle_lib.Service, shard_key: str
) -> bundle_lib.Shard:
    """Returns the shard of a key on the newest shard map."""
    newest = max(service.shard_maps, key=lambda m: m.shard_map_version)
    digest = hashlib.blake2b(shard_key.encode(), digest_size=8).digest()
    index = int.from_bytes(digest, "big") % len(newest.shards)
    return newest.shards[index]


def _to_answer(
    request: RunRequest, attempt_id: str, result: work_lib.Result
) -> answers.Answer:
    if work_lib.is_not_run(result.status):
        return not_run(
            request, result.detail or result.status, result.retry_after_ms
        )
    reply = _decode(result.body, attempt_id)
    if result.status != work_lib.Status.REPLIED or reply is None:
        return unknown(request, result.detail or "no valid reply")
    if reply.status in ("shed", "draining"):
        return not_run(request, "refused by the target", reply.retry_after_ms)
    if reply.status != "done":
        return unknown(request, "the target reported an error")
    return answers.Answer(
        outcome=answers.Outcome.DONE,
        request_id=request.request_id,
        bundle_number=request.bundle_number,
        results=(reply.result,),
    )


def _decode(body: bytes, attempt_id: str) -> RunReply | None:
    try:
        reply = _DECODER.decode(body)
    except msgspec.DecodeError:
        return None
    return reply if reply.attempt_id == attempt_id else None


def unknown(request: RunRequest, problem: str) -> answers.Answer:
    """Builds the answer of a request that may or may not have run."""
    return _failed(
        request,
        answers.Outcome.UNKNOWN,
        answers.ErrorBody(
            exceptions.ErrorKind.TARGET,
            problem,
            "look the booking up before you send it again under a new key",
        ),
    )


def not_run(
    request: RunRequest, problem: str, retry_after_ms: int = 0
) -> answers.Answer:
    """Builds the answer of a request that certainly did not run."""
    return _failed(
        request,
        answers.Outcome.NOT_RUN,
        answers.ErrorBody(
            exceptions.ErrorKind.OVERLOADED,
            problem,
            "send it again with the same key after retry_after_ms",
            retry_after_ms,
        ),
    )


def _failed(
    request: RunRequest,
    outcome: answers.Outcome,
    error: answers.ErrorBody,
) -> answers.Answer:
    return answers.Answer(
        outcome=outcome,
        request_id=request.request_id,
        bundle_number=request.bundle_number,
        error=error,
    )
