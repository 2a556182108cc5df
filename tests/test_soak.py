"""Tests of the soak: a short seeded run, and that its judge finds faults."""

import asyncio
import pathlib

import pytest

from lycheerock_bench._internal import fake_http_target
from lycheerock_bench._internal.soak import promises
from lycheerock_bench._internal.soak import records
from lycheerock_bench._internal.soak import run as soak_lib

# Seeds that failed once, with the length of the run and the cause.
REGRESSIONS = {
    # A SIGHUP reached a process before its handler was installed and ended it.
    102: 15.0,
}

SHORT_RUN_S = 8.0


class TestShortRun:
    """The promises hold under the faults of some seeds."""

    @pytest.mark.parametrize(
        ("seed", "duration_s"), [(1, SHORT_RUN_S), *REGRESSIONS.items()]
    )
    def test_no_promise_is_broken(
        self, seed: int, duration_s: float, tmp_path: pathlib.Path
    ) -> None:
        # Guards against faults that come in series and overlap.
        report = asyncio.run(soak_lib.run(seed, duration_s, tmp_path))
        assert report.breaches == (), report.faults
        assert report.served_count > 100


class _Case:
    """A run of two desks and a search, without any breach."""

    def __init__(self) -> None:
        self.targets = {
            name: fake_http_target.FakeHttpTarget(name, bytes([n]) * 16)
            for n, name in enumerate(("deska-1", "deskb-2", "s0-3", "s1-4"))
        }
        self.journal = records.Journal()
        self.journal.versions.append(
            records.Version("deska", ("s0", "s1"), 0.0)
        )

    def send(
        self, route: str = "unsafe", status: int = 200, sent_s: float = 50.0
    ) -> records.Sent:
        sent = records.Sent(
            "q1",
            route,
            0,
            sent_s,
            sent_s + 0.1,
            status,
            ("deska-1.q1",),
            0,
            self.targets["deska-1"].body,
        )
        self.journal.sent.append(sent)
        return sent

    def search(self, *names: str, missing: int, body: bytes) -> records.Sent:
        signatures = tuple(f"{name}.q1" for name in names)
        return records.Sent(
            "q1", "search", 0, 50.0, 50.1, 200, signatures, missing, body
        )

    def run_on(self, name: str, at_s: float = 50.05) -> None:
        arrival = fake_http_target.Arrival("q1", "POST", "/", {}, b"", at_s, 0)
        self.targets[name].arrivals.append(arrival)
        self.targets[name].runs.append(arrival)

    def found(self) -> set[str]:
        breaches = promises.judge_run(self.journal, self.targets)
        return {breach.promise for breach in breaches}

    def found_in(self, sent: records.Sent) -> set[str]:
        breaches = promises.judge_answer(
            sent, self.targets, self.journal.versions
        )
        return {breach.promise for breach in breaches}


class TestJudgeOfRuns:
    """Each promise, broken alone, is found."""

    def test_sound_run(self) -> None:
        # Guards against a judge that finds fault with everything.
        case = _Case()
        case.send()
        case.run_on("deska-1")
        assert case.found() == set()

    def test_second_run(self) -> None:
        # Guards against a booking that runs twice unnoticed.
        case = _Case()
        case.send()
        case.run_on("deska-1")
        case.run_on("deska-1")
        assert case.found() == {"at most once"}

    def test_untrue_refusal(self) -> None:
        # Guards against "not run" for a booking that ran.
        case = _Case()
        case.send(status=503)
        case.run_on("deska-1")
        assert case.found() == {"true refusal"}

    def test_cut_request(self) -> None:
        # Guards against a planned stop that cuts a request.
        case = _Case()
        case.send(status=0)
        case.run_on("deska-1")
        assert case.found() == {"no cut request"}
        case.journal.disturbances.append(
            records.Disturbance("kill", "gateway 0", 49.0, 49.5)
        )
        assert case.found() == set()

    def test_old_configuration(self) -> None:
        # Guards against routes that are not in force in time.
        case = _Case()
        case.journal.versions.append(
            records.Version("deskb", ("s0", "s1"), 40.0)
        )
        case.send()
        case.run_on("deska-1")
        assert case.found() == {"configuration in force"}
        case.journal.disturbances.append(
            records.Disturbance("down", "store", 44.0, 46.0)
        )
        assert case.found() == set()

    def test_service_that_no_configuration_allows(self) -> None:
        # Guards against a reused address that runs another's request.
        case = _Case()
        case.send()
        case.run_on("deskb-2")
        assert "allowed service" in case.found()

    def test_leaving_target(self) -> None:
        # Guards against requests to a target that announced its end.
        case = _Case()
        case.journal.leaving_s["deska-1"] = 40.0
        case.send()
        case.run_on("deska-1")
        assert case.found() == {"leaving target"}

    def test_too_many_retries(self) -> None:
        # Guards against retries that multiply the load.
        case = _Case()
        for _ in range(60):
            case.run_on("s0-3")
        assert case.found() == {"retry budget"}


class TestJudgeOfAnswers:
    """Each fault of an answer is found."""

    def test_answer_of_another_request(self) -> None:
        # Guards against mixed answers.
        case = _Case()
        sent = case.send("safe")
        other = records.Sent(**(vars(sent) | {"request_id": "q2"}))
        assert case.found_in(sent) == set()
        assert case.found_in(other) == {"own answer"}

    def test_cut_body(self) -> None:
        # Guards against an answer that ends early and looks whole.
        case = _Case()
        sent = case.send("safe")
        short = records.Sent(**(vars(sent) | {"body": sent.body[:5]}))
        assert case.found_in(short) == {"whole answer"}

    def test_search(self) -> None:
        # Guards against false coverage, wrong records and mixed snapshots.
        case = _Case()
        high, low = bytes([3]) * 16, bytes([2]) * 16
        whole = case.search("s0-3", "s1-4", missing=0, body=high + low)
        assert case.found_in(whole) == set()
        untrue = case.search("s0-3", "s1-4", missing=1, body=high + low)
        assert case.found_in(untrue) == {"true coverage"}
        wrong = case.search("s0-3", "s1-4", missing=0, body=low + high)
        assert case.found_in(wrong) == {"greatest records"}
        twice = case.search("s0-3", "s0-3", missing=0, body=low + low)
        assert case.found_in(twice) == {"one snapshot"}

    def test_recovery(self) -> None:
        # Guards against a deployment that stays down after its faults.
        case = _Case()
        served, refused = case.send(), case.send(status=503)
        assert not list(promises.judge_recovery([served] * 20))
        assert list(promises.judge_recovery([served, refused]))
