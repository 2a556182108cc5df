"""Tests of request keys, booking outcomes and forwarding."""

import asyncio
import time
from typing import Any

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest
import scripted

from lycheerock._internal.booking import forwarding
from lycheerock._internal.booking import keys
from lycheerock._internal.booking import runner as runner_lib
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.dispatch import target_states
from lycheerock._internal.query import sender
from lycheerock._internal.query import service_states
from lycheerock_bench import history
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib
from lycheerock_protocol import peer_pb2

Outcome = answers.Outcome
SERVICE = scripted.build_service({1: [["a", "b"]]})


class BookingHarness:
    """Runs bookings against scripted targets."""

    def __init__(self, **replicas: scripted.Replica):
        self.targets = scripted.Targets(replicas)
        self.table = keys.KeyTable("i0", 7, time.monotonic(), keys_max=8)
        self.target_states = target_states.TargetStates()
        context = sender.Context(
            self.targets, self.target_states, service_states.ServiceStates()
        )
        self.runner = runner_lib.BookingRunner(
            self.table, context, _fail_on_forward
        )
        self._count = 0

    def issue(self, caller: str = "c") -> str:
        return self.table.issue(1, caller, time.monotonic())[0]

    async def book_async(self, key: str, **changes: Any) -> answers.Answer:
        self._count += 1
        fields: dict[str, Any] = {
            "request_id": f"i0.7.{self._count}",
            "request_key": key,
            "caller": "c",
            "caller_count": 2,
            "service": SERVICE,
            "bundle_number": 1,
            "shard_key": "k",
            "payload": {"seats": 2},
            "deadline_s": time.monotonic() + 60.0,
        }
        request = runner_lib.RunRequest(**(fields | changes))
        return (await self.runner.run(request)).answer

    def book(self, key: str, **changes: Any) -> answers.Answer:
        return asyncio.run(self.book_async(key, **changes))


async def _fail_on_forward(
    key: keys.RequestKey, request: runner_lib.RunRequest
) -> answers.Answer:
    raise AssertionError(f"{key} of {request.request_id} was forwarded")


def build_harness(mode: str = "ok") -> BookingHarness:
    """Builds a harness with two targets in the same mode."""
    replica = scripted.Replica(mode=mode)
    return BookingHarness(a=replica, b=replica)


class TestAtMostOnce:
    """A key runs at most one request; not_run proves that none has run."""

    def test_retry_returns_the_first_answer(self) -> None:
        # Guards against running a booking again when its caller retries it.
        harness = build_harness()
        key = harness.issue()
        first = harness.book(key)
        second = harness.book(key)
        assert first.outcome == second.outcome == Outcome.DONE
        assert first.results == second.results
        assert len(harness.targets.sent) == 1

    @pytest.mark.parametrize("mode", ["lost", "error", "not_json", "malformed"])
    def test_missing_or_invalid_reply_leaves_the_outcome_unknown(
        self, mode: str
    ) -> None:
        # Guards against running a booking again after a first run that may have
        # taken effect.
        harness = build_harness(mode)
        key = harness.issue()
        outcomes = {harness.book(key).outcome for _ in range(2)}
        assert outcomes == {Outcome.UNKNOWN}
        assert len(harness.targets.sent) == 1

    @pytest.mark.parametrize("mode", ["shed", "draining", "not_sent"])
    def test_refused_booking_can_be_retried_with_its_key(
        self, mode: str
    ) -> None:
        # Guards against rejecting the retry of a booking that did not run.
        harness = build_harness(mode)
        key = harness.issue()
        assert harness.book(key).outcome == Outcome.NOT_RUN
        for replica in harness.targets.replicas.values():
            replica.mode = "ok"
        assert harness.book(key).outcome == Outcome.DONE

    @pytest.mark.parametrize(
        "changes",
        [{"caller": "other"}, {"payload": {"seats": 9}}, {"shard_key": "x"}],
    )
    def test_key_cannot_be_reused_for_another_request(
        self, changes: dict[str, Any]
    ) -> None:
        # Guards against returning the answer of another caller or of another
        # booking.
        harness = build_harness()
        key = harness.issue()
        harness.book(key)
        answer = harness.book(key, **changes)
        assert answer.outcome == Outcome.UNKNOWN
        assert not answer.results
        assert len(harness.targets.sent) == 1

    def test_forged_key_never_runs(self) -> None:
        # Guards against running a request with a guessed key: only the MAC of a
        # key is unpredictable.
        harness = build_harness()
        parts = harness.issue().split(".")
        forged = ".".join([*parts[:2], "ff", *parts[3:]])
        assert harness.book(forged).outcome == Outcome.UNKNOWN
        assert not harness.targets.sent

    def test_expired_key_has_unknown_outcome(self) -> None:
        # Guards against running a request again after its entry was removed.
        harness = build_harness()
        issued_s = time.monotonic() - keys.KEY_RETENTION_S - 1.0
        harness.table._start_s = issued_s
        key = harness.table.issue(1, "c", issued_s)[0]
        assert harness.book(key).outcome == Outcome.UNKNOWN
        assert not harness.targets.sent

    def test_nothing_is_sent_after_the_deadline(self) -> None:
        # Guards against sending a request after its caller stopped waiting, for
        # example because this instance was frozen by SIGSTOP.
        harness = build_harness()
        key = harness.issue()
        answer = harness.book(key, deadline_s=time.monotonic() - 1.0)
        assert answer.outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN)
        assert not harness.targets.sent

    def test_draining_target_gets_no_booking(self) -> None:
        # Guards against sending new bookings to a draining target.
        harness = build_harness()
        draining = target_states.ServingState.DRAINING
        harness.target_states.observe(
            target_states.TargetState("a", 1, 1, draining)
        )
        for _ in range(4):
            harness.book(harness.issue())
        assert {target for target, _ in harness.targets.sent} == {"b"}

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.sampled_from(["ok", "lost", "shed", "no_reply"]),
                strategies.booleans(),
            ),
            max_size=12,
        )
    )
    def test_outcomes_match_runs_in_any_interleaving(
        self, steps: list[tuple[int, str, bool]]
    ) -> None:
        # Guards against running a booking twice, and against a reported outcome
        # that contradicts what ran.
        harness = build_harness()
        used = [harness.issue() for _ in range(4)]
        observed: list[history.Booking] = []

        async def attempt(key: str) -> None:
            start_s = time.monotonic()
            deadline_s = time.monotonic() + 0.002
            answer = await harness.book_async(key, deadline_s=deadline_s)
            decoded = msgspec.json.decode(msgspec.json.encode(answer))
            observed.append(history.Booking(key, start_s, decoded))

        async def run() -> None:
            pending = []
            for index, mode, waits in steps:
                for replica in harness.targets.replicas.values():
                    replica.mode = mode
                pending.append(asyncio.create_task(attempt(used[index])))
                await asyncio.sleep(0)
                if waits:
                    await asyncio.wait(pending)
            await asyncio.gather(*pending)
            for task in harness.runner._tasks:
                task.cancel()

        asyncio.run(run())
        assert not history.check_bookings(observed, harness.targets.runs)


class TestKeyTable:
    """The size of the table is limited, and each caller has a share of it."""

    def test_caller_cannot_use_up_the_table(self) -> None:
        # Guards against one caller that fills the table, so that the bookings
        # of the others fail.
        harness = build_harness()
        outcomes = [harness.book(harness.issue()).outcome for _ in range(9)]
        assert outcomes.count(Outcome.NOT_RUN) == 5
        key = harness.issue("other")
        answer = harness.book(key, caller="other")
        assert answer.outcome == Outcome.DONE

    def test_oldest_result_is_evicted_above_the_size_limit(self) -> None:
        # Guards against unbounded memory use by stored results.
        harness = build_harness()
        harness.table._results_size_max_bytes = 300
        used = [harness.issue() for _ in range(4)]
        for key in used:
            harness.book(key)
        again = harness.book(used[0])
        assert (again.outcome, again.results) == (Outcome.DONE, ())
        assert len(harness.targets.sent) == 4
        assert harness.book(used[-1]).results

    def test_refusal_is_not_run_only_for_an_unused_key(self) -> None:
        # Guards against reporting not_run for a refused retry of a booking that
        # ran.
        harness = build_harness()
        unused, used = harness.issue(), harness.issue()
        harness.book(used)
        foreign = used.replace("i0.", "i1.", 1)
        outcome = harness.runner.refusal_outcome
        assert outcome(unused) == outcome("no key") == Outcome.NOT_RUN
        assert outcome(used) == outcome(foreign) == Outcome.UNKNOWN


class TestForwarded:
    """Forwarded requests are checked like those received directly."""

    def _serve(self, key: str, harness: BookingHarness, **changes: Any) -> Any:
        store = store_lib.BundleStore()
        caller = bundle_lib.Caller("c", "0" * 64, ("svc",))
        store.put_in_force(bundle_lib.Bundle(1, "op", 5, (SERVICE,), (caller,)))
        fields = {
            "request_id": "i1.9.1",
            "request_key": key,
            "caller": "c",
            "service": "svc",
            "shard_key": "k",
            "time_left_ms": 60_000,
            "payload": b'{"seats":2}',
        }
        message = peer_pb2.RunRequest(**(fields | changes))

        async def run() -> peer_pb2.RunReply:
            return await forwarding.create_run_handler(harness.runner, store)(
                message
            )

        return msgspec.json.decode(asyncio.run(run()).answer)

    @pytest.mark.parametrize(
        "changes",
        [
            {"caller": "nobody"},
            {"service": "absent"},
            {"payload": b"{"},
            {"request_key": "rubbish"},
        ],
    )
    def test_bad_request_never_runs(self, changes: dict[str, Any]) -> None:
        # Guards against an unhandled exception and against running a request
        # that is invalid or that its caller may not send.
        harness = build_harness()
        answer = self._serve(harness.issue(), harness, **changes)
        assert answer["outcome"] == "not_run"
        assert answer["error"]["remedy"]
        assert not harness.targets.sent

    def test_forwarded_retry_returns_the_first_answer(self) -> None:
        # Guards against treating a retry as another request because its JSON
        # payload is formatted differently.
        harness = build_harness()
        key = harness.issue()
        first = harness.book(key)
        second = self._serve(key, harness, payload=b'{ "seats": 2 }')
        assert second["results"] == list(first.results)

    def test_key_of_an_earlier_incarnation_has_unknown_outcome(self) -> None:
        # Guards against running a request again after the instance that issued
        # its key has restarted.
        harness = build_harness()
        key = harness.issue().replace("i0.7.", "i0.6.", 1)
        answer = self._serve(key, harness)
        assert answer["outcome"] == "unknown"
        assert not harness.targets.sent
