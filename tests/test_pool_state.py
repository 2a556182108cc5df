"""Tests of the decisions of a target's port, on a fake clock."""

import dataclasses
from typing import Any

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies

from lycheerock._internal.dispatch import connection_table
from lycheerock._internal.dispatch import pool_actions
from lycheerock._internal.dispatch import pool_state
from lycheerock._internal.dispatch import target_reply
from lycheerock._internal.dispatch import target_states
from lycheerock._internal.dispatch import work as work_lib

RULES = connection_table.LaneRules()
SERVING = target_states.ServingState.SERVING
DRAINING = target_states.ServingState.DRAINING


@dataclasses.dataclass(eq=False)
class FakeReply:
    """Stands for the future of a request."""

    is_done: bool = False

    def done(self) -> bool:
        return self.is_done


def make_entry(
    deadline_s: float = 10.0, *, caller: str = "c", idempotent: bool = True
) -> pool_actions.Entry:
    work = work_lib.Work(
        "a", caller, "s", "t", "/v1/shard", b"{}", deadline_s, idempotent
    )
    return pool_actions.Entry(work, FakeReply())


class Harness:
    """A port without sockets: lanes answer when the test says so."""

    def __init__(self, slot_count: int = 3, share: int = 6, **limits: int):
        self.now_s = 0.0
        self.states = target_states.TargetStates()
        self.slot_count = slot_count
        self.share = share
        self.state = pool_state.PortState(
            pool_actions.PortLimits(slot_count, share, **limits),
            RULES,
            self.states.find,
        )
        self.sequence = 0
        self.busy: dict[int, pool_actions.Entry] = {}
        self.closing: list[int] = []
        self.started: list[pool_actions.Entry] = []
        self.opened: list[int] = []
        self.given_up: list[pool_actions.GiveUp] = []
        self.results: dict[pool_actions.Entry, work_lib.Result] = {}

    def offer(self, entry: pool_actions.Entry) -> work_lib.Result | None:
        refusal = self.state.offer(entry, self.now_s)
        self.advance()
        return refusal

    def advance(self) -> None:
        self._carry_out(self.state.actions(self.now_s))

    def tick(self, elapsed_s: float) -> None:
        self.now_s += elapsed_s
        self._carry_out(self.state.tick(self.now_s))
        self.advance()

    def _carry_out(self, actions: Any) -> None:
        for action in actions:
            if isinstance(action, pool_actions.Start):
                self._start(action)
            elif isinstance(action, pool_actions.Finish):
                self.results[action.entry] = action.result
                action.entry.reply.is_done = True
            elif isinstance(action, pool_actions.Close):
                self.closing.append(action.lane_id)
            else:
                self._give_up(action)

    def _start(self, action: pool_actions.Start) -> None:
        work = action.entry.work
        state = self.states.find(work.target_id)
        assert work.deadline_s > self.now_s, "sent after its deadline"
        assert state is None or state.state == SERVING, "sent to a leaving one"
        self.busy[action.lane_id] = action.entry
        self.started.append(action.entry)
        if action.opens:
            self.opened.append(action.lane_id)

    def _give_up(self, action: pool_actions.GiveUp) -> None:
        entry = self.busy.pop(action.lane_id)
        self.given_up.append(action)
        self.state.abandon(action.lane_id)
        self.closing.append(action.lane_id)
        self.state.resend(entry, self.now_s)

    def end(self, lane_id: int, said: str = "ok") -> pool_actions.Entry:
        """Ends a request with a reply or with a Status."""
        entry = self.busy.pop(lane_id)
        reply = target_reply.TargetReply(said, "a", retry_after_ms=20)
        result = work_lib.Result(work_lib.Status.REPLIED)
        if said in set(work_lib.Status):
            reply, result = None, work_lib.Result(work_lib.Status(said))
        self.state.end(lane_id, result, reply, self.now_s)
        if reply is None:
            self.closing.append(lane_id)
        entry.reply.is_done = True
        self.advance()
        return entry

    def warm_up(self) -> None:
        """Answers until the slow start is over."""
        while self.state.limit < min(self.slot_count, self.share):
            self.offer(make_entry(self.now_s + 10.0))
            self.end(next(iter(self.busy)))

    def close_lanes(self) -> None:
        for lane_id in self.closing:
            self.state.lanes.closed(lane_id)
        self.closing.clear()
        self.advance()

    def report(self, state: target_states.ServingState) -> None:
        self.sequence += 1
        report = target_states.TargetState("t", 1, self.sequence, state)
        self.states.observe(report)


class PortMachine(stateful.RuleBasedStateMachine):
    """Any order of events keeps every limit."""

    @stateful.initialize(
        slots=strategies.integers(1, 5), share=strategies.integers(1, 8)
    )
    def build(self, slots: int, share: int) -> None:
        self.port = Harness(slots, share)

    @stateful.rule(
        left_s=strategies.floats(-0.1, 1.0),
        idempotent=strategies.booleans(),
        caller=strategies.sampled_from("abc"),
    )
    def offer(self, left_s: float, idempotent: bool, caller: str) -> None:
        deadline_s = self.port.now_s + left_s
        self.port.offer(
            make_entry(deadline_s, caller=caller, idempotent=idempotent)
        )

    @stateful.precondition(lambda self: self.port.busy)
    @stateful.rule(
        data=strategies.data(),
        said=strategies.sampled_from(
            ["ok", "ok", "shed", "draining", "lost", "not_sent", "expired"]
        ),
    )
    def end(self, data: Any, said: str) -> None:
        lane_id = data.draw(strategies.sampled_from(sorted(self.port.busy)))
        self.port.end(lane_id, said)

    @stateful.rule(elapsed_s=strategies.floats(0.0, 2.0))
    def tick(self, elapsed_s: float) -> None:
        self.port.tick(elapsed_s)

    @stateful.rule(elapsed_s=strategies.floats(0.0, 2.0))
    def freeze(self, elapsed_s: float) -> None:
        self.port.now_s += elapsed_s

    @stateful.rule()
    def close(self) -> None:
        self.port.close_lanes()

    @stateful.rule(state=strategies.sampled_from([SERVING, DRAINING]))
    def report(self, state: target_states.ServingState) -> None:
        self.port.report(state)

    @stateful.rule(
        slots=strategies.integers(1, 5), share=strategies.integers(1, 8)
    )
    def change_bundle(self, slots: int, share: int) -> None:
        self.port.slot_count = max(slots, len(self.port.busy))
        self.port.share = max(share, len(self.port.state.lanes))
        self.port.state.update(pool_actions.PortLimits(slots, share))
        self.port.advance()

    @stateful.invariant()
    def keeps_limits(self) -> None:
        port = self.port
        assert len(port.busy) == port.state.in_flight <= port.slot_count
        assert len(port.state.lanes) <= port.share
        # Lower limits of a bundle hold from the moment that they are reached.
        limits = port.state.port_limits
        port.slot_count = max(limits.slot_count, len(port.busy))
        port.share = max(limits.connection_share, len(port.state.lanes))


class TestPortMachine(PortMachine.TestCase):
    """Guards against limits that an order of events exceeds.

    Also guards against a request sent after its deadline or to a leaving
    target; the fake port checks that at each start.
    """


class TestFairness:
    """A busy caller neither fills the queue nor starves another one."""

    @given(strategies.lists(strategies.sampled_from("abcd"), max_size=300))
    def test_no_flow_waits_more_than_one_round_per_own_request(
        self, callers: list[str]
    ) -> None:
        # Guards against a queue in order of arrival or with the last flow
        # first, which starve a flow behind a busy one.
        port = Harness(1, 6)
        port.offer(make_entry(1e6, caller="first"))
        for caller in callers:
            port.offer(make_entry(1e6, caller=caller))
        while port.busy:
            port.end(next(iter(port.busy)))
        order = [entry.work.caller for entry in port.started[1:]]
        assert sorted(order) == sorted(callers)
        for caller in set(callers):
            places = [n for n, c in enumerate(order, 1) if c == caller]
            rounds = [n * len(set(callers)) for n in range(1, len(places) + 1)]
            assert all(p <= r for p, r in zip(places, rounds, strict=True))

    def test_full_flow_is_refused_and_another_admitted(self) -> None:
        # Guards against one caller that fills the queue of all callers.
        port = Harness(1, 6, flow_size_max=8)
        refusals = [port.offer(make_entry(1e6)) for _ in range(10)]
        assert [r is None for r in refusals] == [True] * 9 + [False]
        assert refusals[-1].status == work_lib.Status.REFUSED
        assert refusals[-1].retry_after_ms > 0
        assert port.offer(make_entry(1e6, caller="other")) is None

    def test_full_queue_admits_a_flow_that_has_nothing_waiting(self) -> None:
        # Guards against callers that together shut out another one.
        port = Harness(1, 6, queue_size_max=4)
        refusals = [port.offer(make_entry(1e6)) for _ in range(6)]
        assert refusals[-1].status == work_lib.Status.REFUSED
        assert port.offer(make_entry(1e6, caller="other")) is None

    def test_wait_longer_than_time_left_is_refused(self) -> None:
        # Guards against a request that waits for nothing.
        port = Harness(1, 6)
        port.warm_up()
        port.offer(make_entry(100.0))
        port.now_s += 1.0
        port.end(next(iter(port.busy)))
        for _ in range(5):
            port.offer(make_entry(100.0))
        assert port.offer(make_entry(100.0, caller="x")) is None
        refusal = port.offer(make_entry(port.now_s + 0.05))
        assert refusal.status == work_lib.Status.REFUSED
        assert refusal.retry_after_ms >= 50


class TestMomentOfSending:
    """What waits is checked again when its turn comes."""

    @given(strategies.booleans())
    def test_old_work_is_not_sent(self, is_leaving: bool) -> None:
        # Guards against a process that was frozen and sends what is too late,
        # and against work for a target that leaves meanwhile.
        port = Harness(1, 6)
        port.report(SERVING)
        port.offer(make_entry(1e6))
        waiting = make_entry(5.0)
        port.offer(waiting)
        if is_leaving:
            port.report(DRAINING)
        else:
            port.now_s = 6.0
        port.end(next(iter(port.busy)))
        assert not port.busy
        expected = "leaving" if is_leaving else "expired"
        assert port.results[waiting].status == expected

    def test_cancelled_request_is_not_sent(self) -> None:
        # Guards against work that nobody waits for.
        port = Harness(1, 6)
        port.offer(make_entry(1e6))
        waiting = make_entry(1e6)
        port.offer(waiting)
        waiting.reply.is_done = True
        port.end(next(iter(port.busy)))
        assert not port.busy


class TestLimit:
    """The limit falls when the target sheds, and recovers."""

    def test_new_target_starts_with_one_request(self) -> None:
        # Guards against all slots of a cold target being used at once.
        port = Harness(4, 6)
        for _ in range(8):
            port.offer(make_entry())
        assert len(port.busy) == 1
        port.end(next(iter(port.busy)))
        assert len(port.busy) == 2

    def test_shed_halves_once_per_round_and_recovers(self) -> None:
        # Guards against a limit that does not fall, that falls once for each
        # of several requests in flight, or that never recovers.
        port = Harness(4, 6)
        port.warm_up()
        for _ in range(4):
            port.offer(make_entry())
        for lane_id in list(port.busy):
            port.end(lane_id, "shed")
        assert port.state.limit == 2
        for _ in range(200):
            port.offer(make_entry())
            port.end(next(iter(port.busy)))
        assert port.state.limit == 4

    def test_shed_of_the_only_request_pauses(self) -> None:
        # Guards against a target that sheds everything and gets each waiting
        # request at once.
        port = Harness(4, 6)
        for _ in range(5):
            port.offer(make_entry())
        port.end(next(iter(port.busy)), "shed")
        assert not port.busy
        port.tick(0.05)
        assert len(port.busy) == 1

    @given(strategies.sampled_from(["lost", "not_sent", "return", "restart"]))
    def test_target_that_was_away_starts_slowly(self, cause: str) -> None:
        # Guards against full load on a target that has just returned.
        port = Harness(4, 6)
        port.report(SERVING)
        port.warm_up()
        if cause in ("lost", "not_sent"):
            port.offer(make_entry())
            port.end(next(iter(port.busy)), cause)
        elif cause == "return":
            port.report(DRAINING)
            refusal = port.offer(make_entry())
            assert refusal.status == work_lib.Status.LEAVING
            port.report(SERVING)
        else:
            port.report(SERVING)
        for _ in range(6):
            port.offer(make_entry())
        assert len(port.busy) == 1
