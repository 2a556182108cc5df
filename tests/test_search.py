"""Tests of searches with targets that give scripted replies."""

import asyncio
import dataclasses
import time

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest
import scripted

from lycheerock._internal.dispatch import target_states
from lycheerock._internal.query import records
from lycheerock._internal.query import search
from lycheerock._internal.query import sender
from lycheerock._internal.query import service_states
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib

Replica = scripted.Replica
COVERAGE = bundle_lib.Priority.COVERAGE
MODES = (
    *("ok", "ok", "ok", "shed", "draining", "error"),
    *("lost", "not_json", "not_sent", "refused", "too_large"),
)
TWO_OF_THREE = [["a", "b"], ["b", "c"], ["c", "a"]]


class SearchHarness:
    """Runs searches on scripted targets; state is kept between searches."""

    def __init__(self, **replicas: Replica):
        self.targets = scripted.Targets(replicas)
        self.states = service_states.ServiceStates()
        context = sender.Context(
            self.targets, target_states.TargetStates(), self.states
        )
        self.searcher = search.Searcher(context)

    def run(
        self, service: bundle_lib.Service, time_left_s: float = 60.0
    ) -> answers.Answer:
        return self.complete(service, time_left_s).answer

    def complete(
        self, service: bundle_lib.Service, time_left_s: float = 60.0
    ) -> records.CompletedRequest:
        async def run() -> records.CompletedRequest:
            deadline_s = time.monotonic() + time_left_s
            request = sender.SearchRequest(
                "i0.1.1", "c", service, 1, "q", deadline_s
            )
            completed = await self.searcher.run(request)
            await asyncio.sleep(0)
            return completed

        self.targets.sent.clear()
        return asyncio.run(run())


def check_answer(service: bundle_lib.Service, answer: answers.Answer) -> None:
    """Checks that an answer is consistent.

    Its covered and lacking shards must be those of one shard map, and all rows
    must belong to its snapshot and to covered shards.
    """
    lacking = [entry.shard for entry in answer.lacking]
    reported = sorted([*answer.covered, *lacking])
    maps = {m.shard_map_version: m for m in service.shard_maps}
    if answer.snapshot is not None:
        maps = {0: maps[answer.snapshot.shard_map_version]}
    assert reported in [
        sorted(s.shard_id for s in m.shards) for m in maps.values()
    ]
    rows = [msgspec.json.decode(row) for row in answer.results]
    assert sorted(row["shard"] for row in rows) == sorted(answer.covered)
    for row in rows:
        pair = (row["shard_map_version"], row["index_version"])
        assert answers.Snapshot(*pair) == answer.snapshot


class TestSnapshots:
    """Each answer has one snapshot; held versions are remembered."""

    def test_search_falls_back_to_the_old_map(self) -> None:
        # Guards against an empty answer while no target holds the new map.
        service = scripted.build_service({1: TWO_OF_THREE, 2: [["a"], ["b"]]})
        answer = SearchHarness(a=Replica(), b=Replica(), c=Replica()).run(
            service
        )
        assert answer.snapshot == answers.Snapshot(1, 1)
        assert len(answer.covered) == 3

    def test_search_switches_to_the_new_map_when_targets_drop_the_old(
        self,
    ) -> None:
        # Guards against staying on the old map because earlier replies listed
        # versions on it.
        service = scripted.build_service({1: TWO_OF_THREE, 2: [["a"], ["b"]]})
        searches = SearchHarness(a=Replica(), b=Replica(), c=Replica())
        assert searches.run(service).snapshot == answers.Snapshot(1, 1)
        for replica in searches.targets.replicas.values():
            replica.held_versions = {2: (5,)}
        for state in searches.states.get(service).versions._maps.values():
            state.queried_s = float("-inf")
        answer = searches.run(service)
        assert answer.snapshot == answers.Snapshot(2, 5)
        assert len(answer.covered) == 2

    def test_next_search_starts_with_the_learned_version(self) -> None:
        # Guards against querying shards twice in every search while the newest
        # versions of the targets differ.
        service = scripted.build_service({1: [["a"], ["b"], ["c"]]})
        new = Replica({1: (1, 2)})
        searches = SearchHarness(a=new, b=Replica(), c=Replica())
        first = searches.run(service)
        assert len(searches.targets.sent) == 4
        second = searches.run(service)
        assert len(searches.targets.sent) == 3
        assert first.snapshot == second.snapshot == answers.Snapshot(1, 1)

    def test_shard_without_the_version_is_reported(self) -> None:
        # Guards against reporting the deadline as the reason when a target
        # lacks the version.
        service = scripted.build_service({1: [["a"], ["b"], ["c"]]})
        searches = SearchHarness(a=Replica(), b=Replica(), c=Replica({1: (7,)}))
        answer = searches.run(service)
        reason = answers.LackingReason.VERSION_MISSING
        assert answer.lacking == (answers.Lacking("m1s2", reason),)

    def test_reply_for_another_shard_is_a_target_error(self) -> None:
        # Guards against attributing the rows of one shard to another.
        service = scripted.build_service({1: [["a"], ["b"]]})
        wrong = Replica(overrides={"shard": "m1s0"})
        answer = SearchHarness(a=Replica(), b=wrong).run(service)
        reason = answers.LackingReason.TARGET_ERROR
        assert answer.lacking == (answers.Lacking("m1s1", reason),)

    @given(
        strategies.lists(
            strategies.builds(
                Replica,
                strategies.dictionaries(
                    strategies.sampled_from([1, 2]),
                    strategies.lists(
                        strategies.integers(1, 3), unique=True
                    ).map(tuple),
                ),
                strategies.sampled_from(MODES),
            ),
            min_size=3,
            max_size=3,
        ),
        strategies.integers(1, 3),
    )
    def test_answer_is_consistent_for_any_target_state(
        self, replicas: list[Replica], search_count: int
    ) -> None:
        # Guards against mixed snapshots, and against shards that are neither
        # covered nor lacking.
        service = scripted.build_service({1: TWO_OF_THREE, 2: [["b", "c"]]})
        searches = SearchHarness(**dict(zip("abc", replicas, strict=True)))
        for _ in range(search_count):
            check_answer(service, searches.run(service))


class TestReplicas:
    """Failed shard requests are retried on other replicas within budget."""

    @pytest.mark.parametrize("mode", ["lost", "not_sent", "error", "not_json"])
    def test_failed_replica_is_replaced(self, mode: str) -> None:
        # Guards against losing the shards of a failed replica.
        service = scripted.build_service({1: TWO_OF_THREE})
        searches = SearchHarness(a=Replica(mode=mode), b=Replica(), c=Replica())
        assert len(searches.run(service).covered) == 3

    def test_shed_request_is_not_sent_to_the_target_again(self) -> None:
        # Guards against adding load to a target that is shedding load.
        service = scripted.build_service({1: [["a"]]}, weighs=COVERAGE)
        searches = SearchHarness(a=Replica(mode="shed"))
        answer = searches.run(service)
        assert len(searches.targets.sent) == 1
        assert answer.lacking[0].reason == answers.LackingReason.REFUSED
        assert answer.outcome == answers.Outcome.NOT_RUN

    def test_draining_target_is_replaced_without_a_token(self) -> None:
        # Guards against losing the shards of a draining target when no token is
        # left, and against sending it further requests.
        service = scripted.build_service({1: TWO_OF_THREE}, hedge_ratio=0.0)
        searches = SearchHarness(
            a=Replica(mode="draining"), b=Replica(), c=Replica()
        )
        assert len(searches.run(service).covered) == 3
        searches.run(service)
        assert "a" not in [target for target, _ in searches.targets.sent]

    def test_failed_request_is_not_retried_without_tokens(self) -> None:
        # Guards against retries that multiply the load on targets when many
        # requests fail.
        service = scripted.build_service({1: TWO_OF_THREE}, hedge_ratio=0.0)
        searches = SearchHarness(
            a=Replica(mode="lost"), b=Replica(), c=Replica()
        )
        searches.run(service)
        assert len(searches.targets.sent) == 3

    def test_hedge_replaces_an_unresponsive_replica(self) -> None:
        # Guards against waiting until the deadline for an unresponsive replica.
        service = scripted.build_service({1: TWO_OF_THREE})
        searches = SearchHarness(
            a=Replica(mode="no_reply"), b=Replica(), c=Replica()
        )
        completed = searches.complete(service)
        assert len(completed.answer.covered) == 3
        cancelled = [f for f in searches.targets.futures if f.cancelled()]
        assert len(cancelled) == completed.extra_attempt_count == 1


class TestCoverage:
    """Answers meet the coverage that their service requires."""

    def test_insufficient_coverage_is_reported_as_an_error(self) -> None:
        # Guards against a partial answer without an error from a service that
        # does not allow partial answers.
        service = scripted.build_service(
            {1: [["a"], ["b"]]}, partial_allowed=False
        )
        searches = SearchHarness(a=Replica(), b=Replica(mode="too_large"))
        answer = searches.run(service)
        assert answer.error is not None
        assert answer.error.kind == "coverage"
        assert answer.covered == ("m1s0",)
        assert answer.outcome == answers.Outcome.UNKNOWN

    def test_coverage_service_retries_until_the_shard_replies(self) -> None:
        # Guards against a shard that is given up before the deadline although
        # the service prefers coverage over latency.
        service = scripted.build_service({1: [["a"]]}, weighs=COVERAGE)
        searches = SearchHarness(a=Replica(mode="lost", failures_left=4))
        assert searches.run(service).covered == ("m1s0",)

    def test_deadline_cancels_attempts_in_flight(self) -> None:
        # Guards against requests that continue after the search has ended.
        service = scripted.build_service({1: [["a"], ["b"]]})
        searches = SearchHarness(a=Replica(), b=Replica(mode="no_reply"))
        answer = searches.run(service, 0.05)
        reason = answers.LackingReason.DEADLINE
        assert answer.lacking == (answers.Lacking("m1s1", reason),)
        assert searches.targets.futures[1].cancelled()


class TestRecords:
    """Records of recent requests explain their answers."""

    def test_record_contains_each_attempt(self) -> None:
        # Guards against a record that omits a retry.
        service = scripted.build_service({1: [["a", "b"]]})
        searches = SearchHarness(a=Replica(mode="lost"), b=Replica())
        recent = records.Records()
        recent.add("c", "svc", 0.1, searches.complete(service))
        found = recent.find("i0.1.1")
        assert found is not None
        reported = [(a.target_id, a.status, a.is_retry) for a in found.attempts]
        assert reported == [("a", "lost", False), ("b", "ok", True)]

    def test_memory_is_bounded_by_attempts(self) -> None:
        # Guards against unbounded memory use by searches with many attempts.
        service = scripted.build_service({1: [["a"]]})
        searches = SearchHarness(a=Replica())
        recent = records.Records(size_max=5, attempts_max=3)
        for number in range(9):
            completed = searches.complete(service)
            answer = dataclasses.replace(
                completed.answer, request_id=f"i0.1.{number}"
            )
            recent.add(
                "c", "svc", 0.1, dataclasses.replace(completed, answer=answer)
            )
        assert recent.find("i0.1.8") is not None
        assert len(recent) == 3
