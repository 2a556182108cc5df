"""What a caller gets: outcome, snapshot, coverage and results."""

import dataclasses
import enum
from typing import Any


class Outcome(enum.StrEnum):
    """Whether a request ran.

    NOT_RUN is only used with proof: the request was never handed to a socket or
    peer stream, or the target refused it before running.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class LackingReason(enum.StrEnum):
    """Why an answer lacks a shard."""

    DEADLINE = "deadline"
    NO_TARGET = "no_target"
    REFUSED = "refused"
    TARGET_ERROR = "target_error"
    VERSION_MISSING = "version_missing"
    MAP_MISSING = "map_missing"
    CONNECTION_LOST = "connection_lost"
    ANSWER_TOO_LARGE = "answer_too_large"


@dataclasses.dataclass(frozen=True, order=True)
class Snapshot:
    """One version of the data: a shard map and an index version on it."""

    shard_map_version: int
    index_version: int


@dataclasses.dataclass(frozen=True)
class Lacking:
    """A shard that an answer does not cover."""

    shard: str
    reason: LackingReason


@dataclasses.dataclass(frozen=True)
class ErrorBody:
    """The error part of an answer."""

    kind: str
    message: str
    remedy: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer to one search or one non-idempotent request.

    Attributes:
      outcome: Whether the request ran.
      request_id: Id of this request, for support.
      bundle_number: Bundle under which the request was served.
      snapshot: Snapshot of the results, or None when there are none.
      covered: Ids of the shards that the results cover.
      lacking: The other shards of the same shard map, with reasons.
      results: Rows of all covered shards.
      error: Why there is no full answer, or None.
    """

    outcome: Outcome
    request_id: str
    bundle_number: int
    snapshot: Snapshot | None = None
    covered: tuple[str, ...] = ()
    lacking: tuple[Lacking, ...] = ()
    results: tuple[Any, ...] = ()
    error: ErrorBody | None = None
