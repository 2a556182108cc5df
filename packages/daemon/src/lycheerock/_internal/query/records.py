"""Records of recent requests: why a request got its answer."""

import collections
from collections.abc import Sequence
import dataclasses

from lycheerock._internal.query import attempts as attempts_lib
from lycheerock_model import answers

RECORDS_MAX = 1_000

# An attempt takes about 300 bytes, so that the ring stays below 10 MB.
ATTEMPTS_MAX = 30_000


@dataclasses.dataclass(frozen=True)
class AttemptRecord:
    """One attempt of a request.

    Attributes:
      attempt_id: Attempt id, as the target saw it.
      target_id: The target.
      shard: The shard.
      kind: first, snapshot, hedge, retry or move.
      start_offset_s: Start, from the start of the request.
      elapsed_s: Duration.
      status: Dispatch status or reply status; "cancelled" if given up.
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
        """Whether the attempt was sent beside one that was running."""
        return self.kind == attempts_lib.AttemptKind.HEDGE

    @property
    def is_retry(self) -> bool:
        """Whether the attempt followed one that had failed."""
        return self.kind in (
            attempts_lib.AttemptKind.RETRY,
            attempts_lib.AttemptKind.MOVE,
        )


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """One request of a caller and how it was answered.

    Attributes:
      request_id: Id of the request.
      caller: The caller; empty if it is not known.
      service: The service; empty if it is not known.
      outcome: Outcome of the answer.
      elapsed_s: Duration.
      snapshot: Snapshot of the answer, or None.
      covered: Shards that the answer covers.
      lacking: The other shards with reasons.
      attempts: Attempts in the order of their start.
      error_kind: Kind of the error, or an empty text.
      error_message: Message of the error, or an empty text.
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
    """An answer with the attempts that led to it.

    Attributes:
      answer: The answer.
      start_s: Monotonic time of the start.
      attempts: All attempts; they are only converted when somebody asks.
      first_attempt_count: Attempts of kind first.
    """

    answer: answers.Answer
    start_s: float
    attempts: Sequence[attempts_lib.Attempt] = ()
    first_attempt_count: int = 0

    @property
    def extra_attempt_count(self) -> int:
        """Attempts beyond the first of each shard."""
        return len(self.attempts) - self.first_attempt_count


@dataclasses.dataclass(frozen=True)
class _Kept:
    caller: str
    service: str
    elapsed_s: float
    completed: CompletedRequest


class Records:
    """A ring of recent requests, bounded by requests and by attempts."""

    def __init__(
        self, size_max: int = RECORDS_MAX, attempts_max: int = ATTEMPTS_MAX
    ):
        self._size_max = size_max
        self._attempts_max = attempts_max
        self._attempt_count = 0
        self._kept: collections.OrderedDict[str, _Kept] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._kept)

    def add(
        self,
        caller: str,
        service: str,
        elapsed_s: float,
        completed: CompletedRequest,
    ) -> None:
        """Keeps a request; the oldest ones make room."""
        # The results are the caller's, and they would take too much memory.
        answer = dataclasses.replace(completed.answer, results=())
        completed = dataclasses.replace(completed, answer=answer)
        kept = _Kept(caller, service, elapsed_s, completed)
        self._kept[completed.answer.request_id] = kept
        self._attempt_count += len(completed.attempts)
        while self._kept and (
            len(self._kept) > self._size_max
            or self._attempt_count > self._attempts_max
        ):
            _, oldest = self._kept.popitem(last=False)
            self._attempt_count -= len(oldest.completed.attempts)

    def find(self, request_id: str) -> RequestRecord | None:
        """Returns the record of a request, or None if it was dropped."""
        kept = self._kept.get(request_id)
        return _to_record(kept) if kept is not None else None

    def recent(self, count: int) -> list[RequestRecord]:
        """Returns the newest records, newest first."""
        newest = list(self._kept.values())[-count:] if count > 0 else []
        return [_to_record(kept) for kept in reversed(newest)]


def _to_record(kept: _Kept) -> RequestRecord:
    completed = kept.completed
    answer = completed.answer
    return RequestRecord(
        request_id=answer.request_id,
        caller=kept.caller,
        service=kept.service,
        outcome=answer.outcome,
        elapsed_s=kept.elapsed_s,
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
