"""Answers to callers: outcome, snapshot, coverage and results."""

import dataclasses
import enum
from typing import Any


class Outcome(enum.StrEnum):
    """Whether a request ran.

    NOT_RUN is only used when it is certain: the request was never written to a
    socket or peer stream, or the target refused it before running it.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class LackingReason(enum.StrEnum):
    """Why an answer does not cover a shard."""

    # The rows did not arrive in time.
    DEADLINE = "deadline"
    # The request could not be sent to any target that holds the shard.
    NO_TARGET = "no_target"
    # The target refused the request, or a limit was reached before it was sent.
    REFUSED = "refused"
    # The target reported an error, or its reply was malformed.
    TARGET_ERROR = "target_error"
    # The target does not hold the requested index version.
    VERSION_MISSING = "version_missing"
    # The target does not hold the requested shard map version.
    MAP_MISSING = "map_missing"
    # The request may have been sent, but no reply arrived.
    CONNECTION_LOST = "connection_lost"
    # The reply exceeds the maximum size that the service allows.
    ANSWER_TOO_LARGE = "answer_too_large"


@dataclasses.dataclass(frozen=True, order=True)
class Snapshot:
    """A version of the data: a shard map version and an index version."""

    shard_map_version: int
    index_version: int


@dataclasses.dataclass(frozen=True)
class Lacking:
    """A shard that an answer does not cover."""

    shard: str
    reason: LackingReason


@dataclasses.dataclass(frozen=True)
class ErrorBody:
    """The error object of an answer.

    Attributes:
      kind: Value of exceptions.ErrorKind.
      message: What went wrong.
      remedy: What the caller should do.
      retry_after_ms: Time to wait before a retry, or None.
    """

    kind: str
    message: str
    remedy: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer to one search or one non-idempotent request.

    Attributes:
      outcome: Whether the request ran.
      request_id: Id of the request, for troubleshooting.
      bundle_number: Bundle under which the request was served.
      snapshot: Snapshot of the results, or None without results.
      covered: Ids of the shards that the results cover.
      lacking: The shards of the same map that are not covered, with reasons.
      results: Rows of all covered shards, or the target's result of a
        non-idempotent request.
      error: Why the answer is not complete, or None.
    """

    outcome: Outcome
    request_id: str
    bundle_number: int
    snapshot: Snapshot | None = None
    covered: tuple[str, ...] = ()
    lacking: tuple[Lacking, ...] = ()
    results: tuple[Any, ...] = ()
    error: ErrorBody | None = None
