"""Checks the history of concurrent searches and bookings."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any

ShardMaps = Mapping[int, Sequence[str]]


@dataclasses.dataclass(frozen=True)
class Search:
    """One search and the answer that its caller received.

    Attributes:
      query: The query that was sent.
      answer: The answer, a JSON value; None if the caller received none.
    """

    query: Any
    answer: Any


@dataclasses.dataclass(frozen=True)
class Booking:
    """One attempt of a caller to book with a request key.

    Attributes:
      key: The request key.
      start_s: Monotonic time before it was sent.
      answer: The answer, a JSON value; None if the caller received none.
    """

    key: str
    start_s: float
    answer: Any


@dataclasses.dataclass(frozen=True)
class Run:
    """An entry in the journal of a target that ran a request.

    Attributes:
      key: The request key.
      time_s: Monotonic time at which it ran, on the same clock as the callers.
    """

    key: str
    time_s: float


def check_searches(
    searches: Iterable[Search], shard_maps: ShardMaps
) -> list[str]:
    """Checks that answers have consistent coverage, snapshots and queries.

    Args:
      searches: The searches.
      shard_maps: Shard ids by version of every shard map that was in force.

    Returns:
      A description of each violation.
    """
    return [
        f"{search.answer['request_id']}: {problem}"
        for search in searches
        if search.answer is not None
        for problem in _search_problems(search, shard_maps)
    ]


def _search_problems(search: Search, shard_maps: ShardMaps) -> Iterator[str]:
    answer = search.answer
    reported = answer["covered"] + [
        entry["shard"] for entry in answer["lacking"]
    ]
    snapshot = answer["snapshot"]
    if not reported and answer["error"] is not None:
        return
    maps = list(shard_maps.values())
    if snapshot is not None:
        maps = [shard_maps[snapshot["shard_map_version"]]]
    if sorted(reported) not in [sorted(shards) for shards in maps]:
        yield "covered and lacking shards do not match the shard map"
    rows = answer["results"]
    if {row["shard"] for row in rows} != set(answer["covered"]):
        yield "rows do not match the covered shards"
    if len(rows) != len(answer["covered"]):
        yield "the numbers of rows and covered shards differ"
    for row in rows:
        if row["query"] != search.query:
            yield "a row belongs to another query"
        row_snapshot = {
            k: row[k] for k in ("shard_map_version", "index_version")
        }
        if row_snapshot != snapshot:
            yield "a row belongs to another snapshot"


def check_bookings(
    bookings: Iterable[Booking], runs: Iterable[Run]
) -> list[str]:
    """Checks that outcomes agree with the requests that the targets ran.

    Args:
      bookings: All attempts of all callers.
      runs: Journals of all targets.

    Returns:
      A description of each violation.
    """
    run_times: dict[str, list[float]] = collections.defaultdict(list)
    for run in runs:
        run_times[run.key].append(run.time_s)
    by_key: dict[str, list[Booking]] = collections.defaultdict(list)
    for booking in bookings:
        by_key[booking.key].append(booking)
    return [
        f"{key}: {problem}"
        for key in sorted(by_key.keys() | run_times.keys())
        for problem in _key_problems(key, by_key[key], run_times[key])
    ]


def _key_problems(
    key: str, bookings: Sequence[Booking], times: Sequence[float]
) -> Iterator[str]:
    if len(times) > 1:
        yield f"ran {len(times)} times"
    answers = [b.answer for b in bookings if b.answer is not None]
    outcomes = {answer["outcome"] for answer in answers}
    if "done" in outcomes and not times:
        yield "outcome is done, but the request did not run"
    not_run = [
        b for b in bookings if b.answer and b.answer["outcome"] == "not_run"
    ]
    if not_run and len(not_run) == len(bookings) and times:
        yield "all outcomes are not_run, but the request ran"
    for booking in not_run:
        if any(time_s < booking.start_s for time_s in times):
            yield "outcome is not_run for an attempt sent after the request ran"
    results = [a["results"] for a in answers if a["outcome"] == "done"]
    yield from _result_problems(key, results)


def _result_problems(
    key: str, results: Sequence[Sequence[Any]]
) -> Iterator[str]:
    for result in results:
        if result != results[0]:
            yield "a retry got a different result"
        if result and result[0].get("request_key") != key:
            yield "a result belongs to another key"
