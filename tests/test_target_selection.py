"""Tests of the choice of a target under patterns of load."""

import collections

from lycheerock._internal.targets import health as health_lib
from lycheerock._internal.targets import selection

USUAL_S = 0.02
_Distance = selection.Distance


class Shard:
    """Three targets of one shard, one of them near, and a clock."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.latency_s = {"near": 0.02, "far1": 0.042, "far2": 0.046}
        self.candidates = [
            selection.Candidate(
                name,
                health_lib.TargetHealth(selection.EXPECTED_SLOWNESS[distance]),
                distance,
                3,
                is_warming=False,
            )
            for name, distance in (
                ("near", _Distance.SAME_ZONE),
                ("far1", _Distance.OTHER_REGION),
                ("far2", _Distance.OTHER_REGION),
            )
        ]

    def health(self, name: str) -> health_lib.TargetHealth:
        return next(c.health for c in self.candidates if c.target_id == name)

    def choose(self, *tried: str) -> str | None:
        return selection.select(self.candidates, self.now_s, tried)

    def send(self) -> tuple[str, health_lib.TargetHealth, int]:
        """Starts a request; returns its target, health and flight."""
        name = self.choose()
        assert name is not None
        health = self.health(name)
        return name, health, health.record_start(self.now_s, USUAL_S)

    def serve(self, count: int, period_s: float = 0.1) -> collections.Counter:
        """Serves requests one after the other and counts the targets."""
        chosen: collections.Counter = collections.Counter()
        for _ in range(count):
            name, health, flight = self.send()
            chosen[name] += 1
            health.record_reply(flight, self.now_s + self.latency_s[name])
            self.now_s += period_s
        return chosen


class TestChoiceOfTarget:
    """Which target gets a request."""

    def test_calm_load_stays_near(self) -> None:
        # Pattern: all targets sound. Guards against bytes between regions that
        # nobody needed.
        assert Shard().serve(200) == {"near": 200}

    def test_slow_target_is_left(self) -> None:
        # Pattern: the near target works nine times as long for eight seconds.
        # Guards against searches that all wait for it.
        shard = Shard()
        shard.serve(20)
        shard.latency_s["near"] = 9 * 0.02
        chosen = shard.serve(80)
        assert chosen["near"] <= 16
        shard.latency_s["near"] = 0.02
        shard.serve(60)
        assert shard.serve(20)["near"] >= 16

    def test_slow_target_is_left_at_a_low_rate(self) -> None:
        # Pattern: one request in 0.6 s, as each of many instances has, while
        # the near target works eight times as long for twelve seconds. Guards
        # against a target that is tried again and again as if one slow reply
        # told nothing.
        shard = Shard()
        shard.serve(10, period_s=0.6)
        shard.latency_s["near"] = 8 * 0.02
        assert shard.serve(20, period_s=0.6)["near"] <= 4
        shard.latency_s["near"] = 0.02
        shard.serve(20, period_s=0.6)
        assert shard.serve(20, period_s=0.6)["near"] >= 16

    def test_silent_target_is_left_at_a_low_rate(self) -> None:
        # Pattern: the near target goes dark for five seconds; one request in
        # 0.6 s, given up after 0.46 s. Guards against hedges for requests to a
        # target that has shown to be gone.
        shard = Shard()
        shard.serve(10, period_s=0.6)
        silent = 0
        for _ in range(8):
            name, health, flight = shard.send()
            if name == "near":
                silent += 1
                health.record_abandonment(flight, shard.now_s + 0.46)
            else:
                health.record_reply(flight, shard.now_s + 0.04)
            shard.now_s += 0.6
        assert silent <= 1
        shard.serve(20, period_s=0.6)
        assert shard.serve(20, period_s=0.6)["near"] >= 16

    def test_stopped_target_is_avoided_at_once(self) -> None:
        # Pattern: a pause of 200 ms. Guards against sending the next requests
        # to a target that has not answered the last one.
        shard = Shard()
        shard.serve(20)
        near = shard.health("near")
        flight = near.record_start(shard.now_s, USUAL_S)
        shard.now_s += 0.08
        assert shard.choose() != "near"
        shard.now_s += 0.12
        near.record_reply(flight, shard.now_s)
        shard.now_s += 1.5
        assert shard.serve(30)["near"] >= 25

    def test_failing_target_gets_few_requests(self) -> None:
        # Pattern: a target fails every request while its listing is good.
        # Guards against retries that use up the budget.
        shard = Shard()
        chosen = 0
        for _ in range(100):
            name, health, flight = shard.send()
            if name == "near":
                chosen += 1
                health.record_failure(flight, shard.now_s + 0.001)
            else:
                health.record_reply(flight, shard.now_s + 0.04)
            shard.now_s += 0.1
        assert chosen <= 8

    def test_shedding_target_gets_few_requests(self) -> None:
        # Pattern: the near target refuses every second request for ten seconds
        # and is sound again. Guards against first attempts that are refused
        # and use up the budget, and against a target that is never tried again.
        shard = Shard()
        refused = 0
        for number in range(200):
            name, health, flight = shard.send()
            if name == "near" and number % 2:
                refused += 1
                health.record_refusal(flight, shard.now_s, 0.1)
            else:
                latency_s = shard.latency_s[name]
                health.record_reply(flight, shard.now_s + latency_s)
            shard.now_s += 0.05
        assert refused <= 20
        shard.serve(160)
        assert shard.serve(20)["near"] >= 16

    def test_all_targets_failing_are_still_tried(self) -> None:
        # Pattern: every target of a shard went dark and came back. Guards
        # against a shard that nobody asks any more.
        shard = Shard()
        for _ in range(5):
            for candidate in shard.candidates:
                flight = candidate.health.record_start(shard.now_s, USUAL_S)
                candidate.health.record_failure(flight, shard.now_s)
        assert shard.choose() is not None

    def test_busy_near_target_shares_its_load(self) -> None:
        # Pattern: a burst. Guards against a queue at one target while others
        # are idle.
        shard = Shard()
        for _ in range(12):
            name = shard.choose()
            assert name is not None
            shard.health(name).record_start(shard.now_s, USUAL_S)
        assert min(c.health.in_flight for c in shard.candidates) >= 1
        assert shard.health("near").in_flight <= 8

    def test_tried_targets_are_not_tried_again(self) -> None:
        # Guards against a second send to the target that has just failed.
        shard = Shard()
        assert shard.choose("near", "far1") == "far2"
        assert shard.choose("near", "far1", "far2") is None
