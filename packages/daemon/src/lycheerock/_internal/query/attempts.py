"""Attempts of a search and the progress of each shard."""

import asyncio
import dataclasses
import enum

from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.query import replies as replies_lib
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib


class AttemptKind(enum.StrEnum):
    """Why a shard request was sent."""

    # The first request for the shard in this search.
    FIRST = "first"
    # Requests another snapshot, or the same snapshot from a replica that may
    # hold it.
    SNAPSHOT = "snapshot"
    HEDGE = "hedge"
    RETRY = "retry"
    # Repeats a request on another replica because the target was draining or
    # removed; takes no token.
    REROUTE = "move"


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """A shard request that is in flight or has ended.

    Attributes:
      attempt_id: Unique id, composed of the instance, its incarnation, the
        request number and the attempt number.
      shard: Progress of the requested shard.
      target_id: Target that the request was sent to.
      snapshot: Requested snapshot.
      kind: Why the request was sent.
      start_s: Monotonic time at which the request was sent.
      queue_depth: Requests in flight to the target when this one was sent,
        including this one.
      elapsed_s: Duration, or 0 while the attempt is running.
      status: "running", "cancelled", or the dispatch or reply status with
        which the attempt ended.
      future: Pending result, or None once the attempt has ended or was
        cancelled.
    """

    attempt_id: str
    shard: "ShardProgress"
    target_id: str
    snapshot: answers.Snapshot
    kind: AttemptKind
    start_s: float
    queue_depth: int = 1
    elapsed_s: float = 0.0
    status: str = "running"
    future: asyncio.Future[work_lib.TargetResult] | None = None


class ShardProgress:
    """Attempts and failures of one search for one shard of a shard map."""

    __slots__ = (
        "excluded_ids",
        "failure",
        "failure_count",
        "is_settled",
        "running",
        "shard",
        "tried_ids",
    )

    def __init__(self, shard: bundle_lib.Shard):
        self.shard = shard
        self.running: list[Attempt] = []
        # Targets that were tried since the last snapshot selection or scheduled
        # retry.
        self.tried_ids: set[str] = set()
        # Targets that shed a request for this shard. They are not retried, even
        # when tried_ids is cleared.
        self.excluded_ids: set[str] = set()
        self.failure: answers.LackingReason | None = None
        self.failure_count = 0
        self.is_settled = False


class FollowUp(enum.Enum):
    """How to proceed after an attempt that returned no rows."""

    # Try another replica without taking a token: this one ran nothing, because
    # it is leaving or lacks the snapshot.
    RETRY_WITHOUT_TOKEN = "free_retry"
    # Try another replica if a token is available.
    RETRY = "retry"
    # Do not retry: other replicas would fail as well.
    NONE = "none"


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why an attempt returned no rows, and how to proceed."""

    reason: answers.LackingReason
    follow_up: FollowUp


_Reason = answers.LackingReason
_FAILURES_BY_STATUS = {
    work_lib.Status.REFUSED: Failure(_Reason.REFUSED, FollowUp.RETRY),
    work_lib.Status.EXPIRED: Failure(_Reason.DEADLINE, FollowUp.NONE),
    work_lib.Status.NOT_SENT: Failure(_Reason.NO_TARGET, FollowUp.RETRY),
    work_lib.Status.LEAVING: Failure(
        _Reason.NO_TARGET, FollowUp.RETRY_WITHOUT_TOKEN
    ),
    work_lib.Status.LOST: Failure(_Reason.CONNECTION_LOST, FollowUp.RETRY),
    # All replicas hold the same rows, so their replies would be as large.
    work_lib.Status.TOO_LARGE: Failure(_Reason.ANSWER_TOO_LARGE, FollowUp.NONE),
    work_lib.Status.MALFORMED: Failure(_Reason.TARGET_ERROR, FollowUp.RETRY),
}
_FAILURES_BY_REPLY = {
    "version_missing": Failure(
        _Reason.VERSION_MISSING, FollowUp.RETRY_WITHOUT_TOKEN
    ),
    "map_missing": Failure(_Reason.MAP_MISSING, FollowUp.RETRY_WITHOUT_TOKEN),
    "shed": Failure(_Reason.REFUSED, FollowUp.RETRY),
    "draining": Failure(_Reason.REFUSED, FollowUp.RETRY_WITHOUT_TOKEN),
    "error": Failure(_Reason.TARGET_ERROR, FollowUp.RETRY),
}
_MALFORMED_REPLY = _FAILURES_BY_STATUS[work_lib.Status.MALFORMED]


def classify(
    status: work_lib.Status, reply: replies_lib.ShardReply | None
) -> Failure | None:
    """Classifies the result of an attempt.

    Args:
      status: Dispatch status.
      reply: The decoded reply, or None if there is no valid reply.

    Returns:
      The failure, or None if the reply contains rows.
    """
    if status != work_lib.Status.REPLIED:
        return _FAILURES_BY_STATUS[status]
    if reply is None:
        return _MALFORMED_REPLY
    return _FAILURES_BY_REPLY.get(reply.status)
