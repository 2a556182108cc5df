"""Merges the replies of a search and computes its coverage."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from lycheerock._internal.query import attempts as attempts_lib
from lycheerock._internal.query import snapshots
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions

# Attempt statuses which prove that the target ran nothing.
_NOT_RUN_STATUSES = frozenset(
    {
        "refused",
        "expired",
        "not_sent",
        "leaving",
        "shed",
        "draining",
        "version_missing",
        "map_missing",
    }
)

# Time reserved so that the answer arrives before the deadline: a fixed amount
# for sending it to the caller, plus an amount per shard for merging. At most
# MARGIN_RATIO_MAX of the time left is reserved.
MARGIN_FIXED_S = 0.004
MARGIN_PER_SHARD_S = 0.000_02
MARGIN_RATIO_MAX = 0.25

Progress = Mapping[int, Mapping[str, attempts_lib.ShardProgress]]


def margin_s(time_left_s: float, shard_count: int) -> float:
    """Returns the time to reserve for merging and sending the answer."""
    wanted_s = MARGIN_FIXED_S + shard_count * MARGIN_PER_SHARD_S
    return min(wanted_s, MARGIN_RATIO_MAX * max(0.0, time_left_s))


def required_count(service: bundle_lib.Service, shard_count: int) -> int:
    """Returns the number of shards that an answer must cover, at least 1."""
    if not service.partial_allowed:
        return shard_count
    # Subtracting 1e-9 compensates for floating-point errors: 0.07 * 100 is
    # slightly above 7 and must not be rounded up to 8.
    wanted = math.ceil(service.coverage_min_ratio * shard_count - 1e-9)
    return max(1, wanted)


def uncovered_shards(
    replies: snapshots.ReplySet,
    snapshot: answers.Snapshot,
    progress: Progress,
) -> tuple[answers.Lacking, ...]:
    """Returns the shards of the snapshot's map that have no reply."""
    received = replies.replies_for(snapshot)
    return tuple(
        answers.Lacking(
            shard.shard_id, _reason(replies, snapshot, shard.shard_id, progress)
        )
        for shard in replies.maps[snapshot.shard_map_version].shards
        if shard.shard_id not in received
    )


def _reason(
    replies: snapshots.ReplySet,
    snapshot: answers.Snapshot,
    shard_id: str,
    progress: Progress,
) -> answers.LackingReason:
    missing = replies.missing_reason(snapshot, shard_id)
    if missing is not None:
        return missing
    shard_progress = progress.get(snapshot.shard_map_version, {}).get(shard_id)
    failure = shard_progress.failure if shard_progress is not None else None
    if failure is None or failure in (
        answers.LackingReason.VERSION_MISSING,
        answers.LackingReason.MAP_MISSING,
    ):
        # Either no attempt has failed, or some replica holds the snapshot
        # although another lacked it. The rows did not arrive in time.
        return answers.LackingReason.DEADLINE
    return failure


def merge_rows(
    replies: snapshots.ReplySet, snapshot: answers.Snapshot
) -> tuple[tuple[str, ...], tuple[object, ...]]:
    """Returns the covered shards in shard map order, and their rows."""
    received = replies.replies_for(snapshot)
    covered = tuple(
        shard.shard_id
        for shard in replies.maps[snapshot.shard_map_version].shards
        if shard.shard_id in received
    )
    rows = [row for shard_id in covered for row in received[shard_id].rows]
    return covered, tuple(rows)


def coverage_error(
    service: bundle_lib.Service,
    covered_count: int,
    shard_count: int,
    retry_after_ms: int,
) -> answers.ErrorBody | None:
    """Returns an error if coverage is below the requirement, else None."""
    required = required_count(service, shard_count)
    if covered_count >= required:
        return None
    return answers.ErrorBody(
        exceptions.ErrorKind.COVERAGE,
        f"the answer covers {covered_count} of {shard_count} shards, but "
        f"service {service.name} requires {required}",
        "check the reasons in lacking; retry the search, with a longer "
        "deadline if the reason is deadline",
        retry_after_ms or None,
    )


def outcome_below_coverage(
    attempts: Iterable[attempts_lib.Attempt],
) -> answers.Outcome:
    """Returns NOT_RUN if no attempt can have run, else UNKNOWN."""
    if all(attempt.status in _NOT_RUN_STATUSES for attempt in attempts):
        return answers.Outcome.NOT_RUN
    return answers.Outcome.UNKNOWN
