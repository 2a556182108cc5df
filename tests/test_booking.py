"""Tests of bookings: keys, outcomes and forwarding."""

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


class Bookings:
    """A runner over scripted targets."""

    def __init__(self, **replicas: scripted.Replica):
        self.targets = scripted.Targets(replicas)
        self.table = keys.KeyTable("i0", 7, time.monotonic(), keys_max=8)
        self.target_states = target_states.TargetStates()
        context = sender.Context(
            self.targets, self.target_states, service_states.ServiceStates()
        )
        self.runner = runner_lib.Runner(self.table, context, _no_forward)
        self._count = 0

    def issue(self, caller: str = "c") -> str:
        return self.table.issue(1, caller, time.monotonic())[0]

    async def book(self, key: str, **changes: Any) -> answers.Answer:
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

    def book_now(self, key: str, **changes: Any) -> answers.Answer:
        return asyncio.run(self.book(key, **changes))


async def _no_forward(
    key: keys.RequestKey, request: runner_lib.RunRequest
) -> answers.Answer:
    raise AssertionError(f"{key} of {request.request_id} was forwarded")


def build(mode: str = "ok") -> Bookings:
    """Builds bookings whose two targets behave the same."""
    replica = scripted.Replica(mode=mode)
    return Bookings(a=replica, b=replica)


class TestAtMostOnce:
    """A key runs once, and its outcome is only not_run with proof."""

    def test_repetition_gets_the_first_answer(self) -> None:
        # Guards against a second run when a caller sends a booking again.
        bookings = build()
        key = bookings.issue()
        first = bookings.book_now(key)
        second = bookings.book_now(key)
        assert first.outcome == second.outcome == Outcome.DONE
        assert first.results == second.results
        assert len(bookings.targets.sent) == 1

    @pytest.mark.parametrize("mode", ["lost", "error", "not_json", "malformed"])
    def test_lost_reply_is_unknown_for_ever(self, mode: str) -> None:
        # Guards against a second run after the first may have taken effect.
        bookings = build(mode)
        key = bookings.issue()
        outcomes = {bookings.book_now(key).outcome for _ in range(2)}
        assert outcomes == {Outcome.UNKNOWN}
        assert len(bookings.targets.sent) == 1

    @pytest.mark.parametrize("mode", ["shed", "draining", "not_sent"])
    def test_refused_booking_may_run_with_the_same_key(self, mode: str) -> None:
        # Guards against a key that is used up by a proven refusal.
        bookings = build(mode)
        key = bookings.issue()
        assert bookings.book_now(key).outcome == Outcome.NOT_RUN
        for replica in bookings.targets.replicas.values():
            replica.mode = "ok"
        assert bookings.book_now(key).outcome == Outcome.DONE

    @pytest.mark.parametrize(
        "changes",
        [{"caller": "other"}, {"payload": {"seats": 9}}, {"shard_key": "x"}],
    )
    def test_key_of_another_request_never_runs(
        self, changes: dict[str, Any]
    ) -> None:
        # Guards against a caller that gets the answer of another one, or of
        # another booking.
        bookings = build()
        key = bookings.issue()
        bookings.book_now(key)
        answer = bookings.book_now(key, **changes)
        assert answer.outcome == Outcome.UNKNOWN
        assert not answer.results
        assert len(bookings.targets.sent) == 1

    def test_forged_key_never_runs(self) -> None:
        # Guards against guessed keys, which are short counters without a seal.
        bookings = build()
        parts = bookings.issue().split(".")
        forged = ".".join([*parts[:2], "ff", *parts[3:]])
        assert bookings.book_now(forged).outcome == Outcome.UNKNOWN
        assert not bookings.targets.sent

    def test_expired_key_is_unknown(self) -> None:
        # Guards against a second run after the outcome was forgotten.
        bookings = build()
        issued_s = time.monotonic() - keys.KEY_RETENTION_S - 1.0
        bookings.table._start_s = issued_s
        key = bookings.table.issue(1, "c", issued_s)[0]
        assert bookings.book_now(key).outcome == Outcome.UNKNOWN
        assert not bookings.targets.sent

    def test_nothing_is_sent_after_the_deadline(self) -> None:
        # Guards against old work from an instance that was frozen.
        bookings = build()
        key = bookings.issue()
        answer = bookings.book_now(key, deadline_s=time.monotonic() - 1.0)
        assert answer.outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN)
        assert not bookings.targets.sent

    def test_leaving_target_gets_no_booking(self) -> None:
        # Guards against new work for a leaving target.
        bookings = build()
        draining = target_states.ServingState.DRAINING
        bookings.target_states.observe(
            target_states.TargetState("a", 1, 1, draining)
        )
        for _ in range(4):
            bookings.book_now(bookings.issue())
        assert {target for target, _ in bookings.targets.sent} == {"b"}

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
    def test_any_interleaving_is_truthful(
        self, steps: list[tuple[int, str, bool]]
    ) -> None:
        # Guards against double runs and wrong outcomes of repetitions.
        bookings = build()
        used = [bookings.issue() for _ in range(4)]
        seen: list[history.Booking] = []

        async def attempt(key: str) -> None:
            start_s = time.monotonic()
            deadline_s = time.monotonic() + 0.002
            answer = await bookings.book(key, deadline_s=deadline_s)
            told = msgspec.json.decode(msgspec.json.encode(answer))
            seen.append(history.Booking(key, start_s, told))

        async def run() -> None:
            pending = []
            for index, mode, waits in steps:
                for replica in bookings.targets.replicas.values():
                    replica.mode = mode
                pending.append(asyncio.create_task(attempt(used[index])))
                await asyncio.sleep(0)
                if waits:
                    await asyncio.wait(pending)
            await asyncio.gather(*pending)
            for task in bookings.runner._running:
                task.cancel()

        asyncio.run(run())
        assert not history.check_bookings(seen, bookings.targets.runs)


class TestKeyTable:
    """Memory is bounded, and each caller has a share."""

    def test_caller_cannot_use_up_the_table(self) -> None:
        # Guards against one caller that makes the bookings of others fail.
        bookings = build()
        outcomes = [
            bookings.book_now(bookings.issue()).outcome for _ in range(9)
        ]
        assert outcomes.count(Outcome.NOT_RUN) == 5
        key = bookings.issue("other")
        answer = bookings.book_now(key, caller="other")
        assert answer.outcome == Outcome.DONE

    def test_results_are_bounded(self) -> None:
        # Guards against large results that are kept for every key.
        bookings = build()
        bookings.table._results_size_max_bytes = 300
        used = [bookings.issue() for _ in range(4)]
        for key in used:
            bookings.book_now(key)
        again = bookings.book_now(used[0])
        assert (again.outcome, again.results) == (Outcome.DONE, ())
        assert len(bookings.targets.sent) == 4
        assert bookings.book_now(used[-1]).results

    def test_refusal_is_not_run_only_for_an_unused_key(self) -> None:
        # Guards against not_run for the repetition of a booking that ran.
        bookings = build()
        unused, used = bookings.issue(), bookings.issue()
        bookings.book_now(used)
        of_other = used.replace("i0.", "i1.", 1)
        outcome = bookings.runner.refusal_outcome
        assert outcome(unused) == outcome("no key") == Outcome.NOT_RUN
        assert outcome(used) == outcome(of_other) == Outcome.UNKNOWN


class TestForwarded:
    """A forwarded request is checked like one at the entry."""

    def _serve(self, key: str, bookings: Bookings, **changes: Any) -> Any:
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
            return await forwarding.serve(bookings.runner, store)(message)

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
        # Guards against a traceback, or a run for a caller without rights.
        bookings = build()
        answer = self._serve(bookings.issue(), bookings, **changes)
        assert answer["outcome"] == "not_run"
        assert answer["error"]["remedy"]
        assert not bookings.targets.sent

    def test_repetition_from_elsewhere_gets_the_first_answer(self) -> None:
        # Guards against JSON that is only written differently.
        bookings = build()
        key = bookings.issue()
        first = bookings.book_now(key)
        second = self._serve(key, bookings, payload=b'{ "seats": 2 }')
        assert second["results"] == list(first.results)

    def test_key_of_an_earlier_incarnation_is_unknown(self) -> None:
        # Guards against a second run after the issuer has restarted.
        bookings = build()
        key = bookings.issue().replace("i0.7.", "i0.6.", 1)
        answer = self._serve(key, bookings)
        assert answer["outcome"] == "unknown"
        assert not bookings.targets.sent
