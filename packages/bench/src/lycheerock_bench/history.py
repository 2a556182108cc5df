"""Checks the history of a concurrent run against what must always hold."""

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
    """One search as its caller saw it.

    Attributes:
      query: The query that was sent.
      answer: The answer, a JSON value; None if the connection broke.
    """

    query: Any
    answer: Any


@dataclasses.dataclass(frozen=True)
class Booking:
    """One attempt of a caller to book with a key.

    Attributes:
      key: The request key.
      start_s: Monotonic time before it was sent.
      answer: The answer, a JSON value; None if the connection broke.
    """

    key: str
    start_s: float
    answer: Any


@dataclasses.dataclass(frozen=True)
class Run:
    """An entry of a target's journal: it ran the request of a key.

    Attributes:
      key: The request key.
      time_s: Monotonic time of the effect, on the clock of the callers.
    """

    key: str
    time_s: float


def check_searches(
    searches: Iterable[Search], shard_maps: ShardMaps
) -> list[str]:
    """Checks coverage, the single snapshot and the echo of the query.

    Args:
      searches: The searches.
      shard_maps: Shard ids of each shard map that was ever in force.

    Returns:
      One line for each violation.
    """
    return [
        f"{search.answer['request_id']}: {problem}"
        for search in searches
        if search.answer is not None
        for problem in _search_problems(search, shard_maps)
    ]


def _search_problems(search: Search, shard_maps: ShardMaps) -> Iterator[str]:
    answer = search.answer
    told = answer["covered"] + [entry["shard"] for entry in answer["lacking"]]
    snapshot = answer["snapshot"]
    if not told and answer["error"] is not None:
        return
    maps = list(shard_maps.values())
    if snapshot is not None:
        maps = [shard_maps[snapshot["shard_map_version"]]]
    if sorted(told) not in [sorted(shards) for shards in maps]:
        yield "covered and lacking are not the shards of the map"
    rows = answer["results"]
    if {row["shard"] for row in rows} != set(answer["covered"]):
        yield "rows and covered shards differ"
    if len(rows) != len(answer["covered"]):
        yield "a shard has more than one row"
    for row in rows:
        if row["query"] != search.query:
            yield "a row answers another query"
        pair = {k: row[k] for k in ("shard_map_version", "index_version")}
        if pair != snapshot:
            yield "a row is of another snapshot"


def check_bookings(
    bookings: Iterable[Booking], runs: Iterable[Run]
) -> list[str]:
    """Checks that outcomes agree with what the targets ran.

    Args:
      bookings: All attempts of all callers.
      runs: Journals of all targets.

    Returns:
      One line for each violation.
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
        yield "done, but it did not run"
    not_run = [
        b for b in bookings if b.answer and b.answer["outcome"] == "not_run"
    ]
    if not_run and len(not_run) == len(bookings) and times:
        yield "not_run, but it ran"
    for booking in not_run:
        if any(time_s < booking.start_s for time_s in times):
            yield "not_run was answered after it had run"
    results = [a["results"] for a in answers if a["outcome"] == "done"]
    yield from _result_problems(key, results)


def _result_problems(
    key: str, results: Sequence[Sequence[Any]]
) -> Iterator[str]:
    for result in results:
        if result != results[0]:
            yield "a repetition got another answer"
        if result and result[0].get("request_key") != key:
            yield "the answer belongs to another key"
