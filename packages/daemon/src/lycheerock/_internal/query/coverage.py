"""Builds the answer of a search and states what it covers."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from lycheerock._internal.query import attempts as attempts_lib
from lycheerock._internal.query import snapshots
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions

# Ends of an attempt that prove that the target ran nothing.
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

# Part of the time kept back so that the answer arrives before the deadline: a
# fixed part for the way to the caller and a part for merging each shard.
MARGIN_FIXED_S = 0.004
MARGIN_PER_SHARD_S = 0.000_02
MARGIN_RATIO_MAX = 0.25

Progress = Mapping[int, Mapping[str, attempts_lib.ShardProgress]]


def margin_s(time_left_s: float, shard_count: int) -> float:
    """Returns the time to keep back for the answer itself."""
    wanted_s = MARGIN_FIXED_S + shard_count * MARGIN_PER_SHARD_S
    return min(wanted_s, MARGIN_RATIO_MAX * max(0.0, time_left_s))


def required_count(service: bundle_lib.Service, shard_count: int) -> int:
    """Returns how many shards an answer must cover; at least one."""
    if not service.partial_allowed:
        return shard_count
    # The subtrahend keeps 0.7 * 10 from being rounded up to 8.
    wanted = math.ceil(service.coverage_min_ratio * shard_count - 1e-9)
    return max(1, wanted)


def lacking(
    state: snapshots.QueryState,
    snapshot: answers.Snapshot,
    progress: Progress,
) -> tuple[answers.Lacking, ...]:
    """Returns the shards of the snapshot's map that are not in hand."""
    in_hand = state.replies_at(snapshot)
    return tuple(
        answers.Lacking(
            shard.shard_id, _reason(state, snapshot, shard.shard_id, progress)
        )
        for shard in state.maps[snapshot.shard_map_version].shards
        if shard.shard_id not in in_hand
    )


def _reason(
    state: snapshots.QueryState,
    snapshot: answers.Snapshot,
    shard_id: str,
    progress: Progress,
) -> answers.LackingReason:
    missing = state.missing_reason(snapshot, shard_id)
    if missing is not None:
        return missing
    tried = progress.get(snapshot.shard_map_version, {}).get(shard_id)
    failure = tried.failure if tried is not None else None
    if failure is None or failure in (
        answers.LackingReason.VERSION_MISSING,
        answers.LackingReason.MAP_MISSING,
    ):
        # The shard holds the snapshot, but its rows did not come in time.
        return answers.LackingReason.DEADLINE
    return failure


def merge(
    state: snapshots.QueryState, snapshot: answers.Snapshot
) -> tuple[tuple[str, ...], tuple[object, ...]]:
    """Returns the covered shards in the order of the map, and their rows."""
    in_hand = state.replies_at(snapshot)
    covered = tuple(
        shard.shard_id
        for shard in state.maps[snapshot.shard_map_version].shards
        if shard.shard_id in in_hand
    )
    rows = [row for shard_id in covered for row in in_hand[shard_id].rows]
    return covered, tuple(rows)


def shortfall(
    service: bundle_lib.Service,
    covered_count: int,
    shard_count: int,
    retry_after_ms: int,
) -> answers.ErrorBody | None:
    """Returns the error of an answer below the required coverage, or None."""
    required = required_count(service, shard_count)
    if covered_count >= required:
        return None
    return answers.ErrorBody(
        exceptions.ErrorKind.COVERAGE,
        f"the answer covers {covered_count} of {shard_count} shards and "
        f"service {service.name} requires {required}",
        "read the reasons in lacking; send the search again, with a longer "
        "deadline if the reason is deadline",
        retry_after_ms or None,
    )


def outcome_of_shortfall(
    ended: Iterable[attempts_lib.Attempt],
) -> answers.Outcome:
    """Returns not_run if every attempt proves it, else unknown."""
    if all(attempt.status in _NOT_RUN_STATUSES for attempt in ended):
        return answers.Outcome.NOT_RUN
    return answers.Outcome.UNKNOWN
