"""Records of recent requests, for explaining their answers."""

import collections
from collections.abc import Sequence
import dataclasses

from lycheerock._internal.query import attempts as attempts_lib
from lycheerock_model import answers

RECORDS_MAX = 1_000

# An attempt takes about 300 bytes, which keeps the records below 10 MB.
ATTEMPTS_MAX = 30_000


@dataclasses.dataclass(frozen=True)
class AttemptRecord:
    """Record of one attempt of a request.

    Attributes:
      attempt_id: Attempt id that was sent to the target.
      target_id: Target that the request was sent to.
      shard: Id of the requested shard.
      kind: Why the attempt was sent.
      start_offset_s: Seconds from the start of the request to the start of the
        attempt.
      elapsed_s: Duration.
      status: Dispatch status or reply status, or "cancelled".
    """

    attempt_id: str
    target_id: str
    shard: str
    kind: attempts_lib.AttemptKind
    start_offset_s: float
    elapsed_s: float
    status: str

    @property
    def is_hedge(self) -> bool:
        """Whether the attempt duplicated one that was still running."""
        return self.kind == attempts_lib.AttemptKind.HEDGE

    @property
    def is_retry(self) -> bool:
        """Whether the attempt replaced one that failed."""
        return self.kind in (
            attempts_lib.AttemptKind.RETRY,
            attempts_lib.AttemptKind.REROUTE,
        )


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """Record of a caller request and its answer.

    Attributes:
      request_id: Id of the request.
      caller: Name of the caller; empty if unknown.
      service: Name of the service; empty if unknown.
      outcome: Outcome of the answer.
      elapsed_s: Duration.
      snapshot: Snapshot of the answer, or None.
      covered: Shards that the answer covers.
      lacking: Shards that the answer does not cover, with reasons.
      attempts: Attempts in the order of their start.
      error_kind: Kind of the error, or an empty string.
      error_message: Message of the error, or an empty string.
    """

    request_id: str
    caller: str
    service: str
    outcome: answers.Outcome
    elapsed_s: float
    snapshot: answers.Snapshot | None
    covered: tuple[str, ...]
    lacking: tuple[answers.Lacking, ...]
    attempts: tuple[AttemptRecord, ...]
    error_kind: str = ""
    error_message: str = ""


@dataclasses.dataclass(frozen=True)
class CompletedRequest:
    """The answer of a request and the attempts made for it.

    Attributes:
      answer: The answer.
      start_s: Monotonic time at which the request started.
      attempts: All attempts. They are converted to `AttemptRecord` only when
        the record is read.
      first_attempt_count: Number of first attempts.
    """

    answer: answers.Answer
    start_s: float
    attempts: Sequence[attempts_lib.Attempt] = ()
    first_attempt_count: int = 0

    @property
    def extra_attempt_count(self) -> int:
        """Number of attempts that are not first attempts."""
        return len(self.attempts) - self.first_attempt_count


@dataclasses.dataclass(frozen=True)
class _Entry:
    caller: str
    service: str
    elapsed_s: float
    completed: CompletedRequest


class Records:
    """The most recent requests, bounded in requests and attempts."""

    def __init__(
        self, size_max: int = RECORDS_MAX, attempts_max: int = ATTEMPTS_MAX
    ):
        self._size_max = size_max
        self._attempts_max = attempts_max
        self._attempt_count = 0
        self._entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def add(
        self,
        caller: str,
        service: str,
        elapsed_s: float,
        completed: CompletedRequest,
    ) -> None:
        """Adds a request and evicts the oldest ones above the limits."""
        # Results hold the caller's data and would take too much memory.
        answer = dataclasses.replace(completed.answer, results=())
        completed = dataclasses.replace(completed, answer=answer)
        entry = _Entry(caller, service, elapsed_s, completed)
        self._entries[completed.answer.request_id] = entry
        self._attempt_count += len(completed.attempts)
        while self._entries and (
            len(self._entries) > self._size_max
            or self._attempt_count > self._attempts_max
        ):
            _, oldest = self._entries.popitem(last=False)
            self._attempt_count -= len(oldest.completed.attempts)

    def find(self, request_id: str) -> RequestRecord | None:
        """Returns the record of a request, or None if there is none."""
        entry = self._entries.get(request_id)
        return _to_record(entry) if entry is not None else None

    def recent(self, count: int) -> list[RequestRecord]:
        """Returns up to `count` records, newest first."""
        newest = list(self._entries.values())[-count:] if count > 0 else []
        return [_to_record(entry) for entry in reversed(newest)]


def _to_record(entry: _Entry) -> RequestRecord:
    completed = entry.completed
    answer = completed.answer
    return RequestRecord(
        request_id=answer.request_id,
        caller=entry.caller,
        service=entry.service,
        outcome=answer.outcome,
        elapsed_s=entry.elapsed_s,
        snapshot=answer.snapshot,
        covered=answer.covered,
        lacking=answer.lacking,
        attempts=tuple(
            AttemptRecord(
                attempt.attempt_id,
                attempt.target_id,
                attempt.shard.shard.shard_id,
                attempt.kind,
                attempt.start_s - completed.start_s,
                attempt.elapsed_s,
                attempt.status,
            )
            for attempt in completed.attempts
        ),
        error_kind=answer.error.kind if answer.error else "",
        error_message=answer.error.message if answer.error else "",
    )
