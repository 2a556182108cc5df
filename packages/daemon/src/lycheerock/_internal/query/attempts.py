"""Attempts of one search and the progress of each shard."""

import asyncio
import dataclasses
import enum

from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.query import replies as replies_lib
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib


class AttemptKind(enum.StrEnum):
    """Why a shard request was sent."""

    # First request for the shard in this search.
    FIRST = "first"
    # Asks for another snapshot, or a replica that may hold the one wanted.
    SNAPSHOT = "snapshot"
    HEDGE = "hedge"
    RETRY = "retry"
    # Repeats what a leaving target refused; it costs no token.
    MOVE = "move"


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One shard request in flight or ended.

    Attributes:
      attempt_id: Names instance, incarnation, request and attempt.
      shard: The shard that it asks for.
      target_id: The replica.
      snapshot: Snapshot that it asks for.
      kind: Why it was sent.
      start_s: Monotonic time of the start.
      queue_depth: Requests in flight at the target when it was sent.
      elapsed_s: Duration, 0 while it runs.
      status: running, cancelled, or how it ended.
      future: Its result, or None once it is no longer waited for.
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
    future: asyncio.Future[work_lib.Result] | None = None


class ShardProgress:
    """What a search has tried for one shard of the selected snapshot."""

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
        self.tried_ids: set[str] = set()
        # Targets that have shed this search's request; never asked again.
        self.excluded_ids: set[str] = set()
        self.failure: answers.LackingReason | None = None
        self.failure_count = 0
        self.is_settled = False


class Next(enum.Enum):
    """What may follow an attempt without rows."""

    # Another replica at no cost, since this one ran nothing.
    ANOTHER_FREE = "another_free"
    # Another replica for a token.
    ANOTHER = "another"
    # No replica can do better.
    NONE = "none"


@dataclasses.dataclass(frozen=True)
class Failure:
    """Meaning of an attempt without rows."""

    reason: answers.LackingReason
    next: Next


_Reason = answers.LackingReason
_STATUSES = {
    work_lib.Status.REFUSED: Failure(_Reason.REFUSED, Next.ANOTHER),
    work_lib.Status.EXPIRED: Failure(_Reason.DEADLINE, Next.NONE),
    work_lib.Status.NOT_SENT: Failure(_Reason.NO_TARGET, Next.ANOTHER),
    work_lib.Status.LEAVING: Failure(_Reason.NO_TARGET, Next.ANOTHER_FREE),
    work_lib.Status.LOST: Failure(_Reason.CONNECTION_LOST, Next.ANOTHER),
    # All replicas hold the same rows, so another reply would be as large.
    work_lib.Status.TOO_LARGE: Failure(_Reason.ANSWER_TOO_LARGE, Next.NONE),
    work_lib.Status.MALFORMED: Failure(_Reason.TARGET_ERROR, Next.ANOTHER),
}
_REPLIES = {
    "version_missing": Failure(_Reason.VERSION_MISSING, Next.ANOTHER_FREE),
    "map_missing": Failure(_Reason.MAP_MISSING, Next.ANOTHER_FREE),
    "shed": Failure(_Reason.REFUSED, Next.ANOTHER),
    "draining": Failure(_Reason.REFUSED, Next.ANOTHER_FREE),
    "error": Failure(_Reason.TARGET_ERROR, Next.ANOTHER),
}
_MALFORMED = _STATUSES[work_lib.Status.MALFORMED]


def classify(
    status: work_lib.Status, reply: replies_lib.ShardReply | None
) -> Failure | None:
    """Returns what the end of an attempt means, or None when it has rows.

    Args:
      status: How dispatch ended.
      reply: The decoded reply, or None if there is none that can be used.
    """
    if status != work_lib.Status.REPLIED:
        return _STATUSES[status]
    if reply is None:
        return _MALFORMED
    return _REPLIES.get(reply.status)
