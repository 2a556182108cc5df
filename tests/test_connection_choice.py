"""Tests of silent lanes and of the lane of a booking, on a fake clock."""

from hypothesis import given
from hypothesis import strategies
import test_pool_state

from lycheerock._internal.dispatch import connection_table
from lycheerock._internal.dispatch import pool_actions
from lycheerock._internal.dispatch import pool_state

Harness = test_pool_state.Harness
make_entry = test_pool_state.make_entry
SILENT = connection_table.Verdict.SILENT
SILENT_S = test_pool_state.RULES.silent_after_ms / 1000
LIMIT_S = test_pool_state.RULES.progress_limit_ms / 1000
PROVEN_S = test_pool_state.RULES.proven_for_ms / 1000


def run_for(port: Harness, duration_s: float) -> None:
    for _ in range(round(duration_s / pool_state.TICK_S)):
        port.tick(pool_state.TICK_S)


class TestSilentLane:
    """A silent connection is found, and its work is sent again once."""

    def _two_busy(self) -> Harness:
        port = Harness(3, 6)
        port.warm_up()
        port.offer(make_entry(100.0))
        port.offer(make_entry(100.0))
        return port

    def test_found_while_the_target_answers_elsewhere(self) -> None:
        # Guards against waiting until the deadline on a silent connection.
        port = self._two_busy()
        silent, other = port.busy
        entry = port.busy[silent]
        port.end(other)
        run_for(port, SILENT_S + 0.1)
        assert [a.lane_id for a in port.given_up] == [silent]
        assert list(port.busy.values()) == [entry]
        assert entry.was_resent
        assert next(iter(port.busy)) not in (silent, other)

    def test_second_silence_is_reported(self) -> None:
        # Guards against work that is sent again and again.
        port = self._two_busy()
        entry = port.busy[next(iter(port.busy))]
        port.end(list(port.busy)[1])
        run_for(port, SILENT_S + 0.1)
        assert not port.state.resend(entry, port.now_s)

    def test_progress_keeps_the_lane(self) -> None:
        # Guards against cutting a long reply that is arriving.
        port = self._two_busy()
        silent, other = port.busy
        port.end(other)
        for _ in range(10):
            run_for(port, SILENT_S / 2)
            port.state.lanes.progress(silent)
        assert not port.given_up

    def test_slow_target_on_a_new_connection_is_no_silence(self) -> None:
        # Guards against cutting the first request of a cold target.
        port = Harness(3, 6)
        port.offer(make_entry(100.0))
        run_for(port, LIMIT_S - 0.5)
        assert not port.given_up
        run_for(port, 1.0)
        assert [a.verdict for a in port.given_up] == [SILENT]

    def test_few_requests_on_silent_lanes_are_found(self) -> None:
        # Guards against a silent connection that nobody else can reveal,
        # because the target has no other request.
        port = self._two_busy()
        for lane_id in list(port.busy):
            port.end(lane_id)
        port.offer(make_entry(100.0))
        run_for(port, SILENT_S + 0.1)
        assert [a.verdict for a in port.given_up] == [SILENT]
        assert len(port.busy) == 1

    def test_all_lanes_silent_frees_one_at_a_time(self) -> None:
        # Guards against a port whose every slot is on a silent connection.
        port = Harness(3, 6)
        port.warm_up()
        for _ in range(3):
            port.offer(make_entry(100.0))
        for lane_id in list(port.busy):
            port.end(lane_id)
        for _ in range(3):
            port.offer(make_entry(100.0))
        assert len(port.opened) == 3
        run_for(port, SILENT_S + pool_state.TICK_S)
        assert len(port.given_up) == 1
        assert len(port.opened) == 4
        port.end(max(port.busy))
        run_for(port, pool_state.TICK_S)
        assert len(port.given_up) == 3

    def test_time_in_which_the_process_was_frozen_does_not_count(self) -> None:
        # Guards against cutting lanes whose replies wait to be read.
        port = self._two_busy()
        port.end(list(port.busy)[1])
        port.tick(pool_state.TICK_S)
        port.tick(30.0)
        assert not port.given_up


class TestIdleLane:
    """Connections that are not needed or not trusted are closed."""

    def _three_idle(self) -> Harness:
        port = Harness(3, 6)
        port.warm_up()
        for _ in range(3):
            port.offer(make_entry(100.0))
        for lane_id in list(port.busy):
            port.end(lane_id)
        return port

    def test_idle_lanes_close_with_a_silent_one(self) -> None:
        # Guards against one silent connection after another being tried.
        port = self._three_idle()
        run_for(port, 0.1)
        port.offer(make_entry(100.0))
        run_for(port, SILENT_S + 0.1)
        assert len(port.given_up) == 1
        assert sorted(port.closing) == [1, 2, 3]

    def test_lower_share_closes_idle_lanes(self) -> None:
        # Guards against a bundle change that leaves too many connections.
        port = self._three_idle()
        port.state.update(pool_actions.PortLimits(3, 1))
        port.advance()
        port.close_lanes()
        assert len(port.state.lanes) == 1

    def test_unused_lanes_close(self) -> None:
        # Guards against a former owner that keeps its connections.
        port = self._three_idle()
        run_for(port, 0.1)
        port.tick(pool_state.IDLE_LIMIT_S)
        port.close_lanes()
        assert not port.state.lanes


class TestBookingLane:
    """A booking uses a proven or a new connection and is not cut."""

    @given(strategies.floats(0.0, 3.0))
    def test_only_a_proven_lane_is_used_again(self, gap_s: float) -> None:
        # Guards against a booking on a connection that has gone silent.
        port = Harness(1, 6)
        port.warm_up()
        port.offer(make_entry(100.0))
        port.end(next(iter(port.busy)))
        opened = len(port.opened)
        port.now_s += gap_s
        port.offer(make_entry(100.0, idempotent=False))
        assert len(port.busy) == 1
        assert (len(port.opened) > opened) == (gap_s > PROVEN_S)

    def test_unproven_lane_gives_way_when_the_share_is_used(self) -> None:
        # Guards against a booking that waits forever, and against a share
        # that is exceeded while the old connection closes.
        port = Harness(1, 1)
        port.offer(make_entry(100.0))
        port.end(next(iter(port.busy)))
        port.now_s += PROVEN_S + 1.0
        port.offer(make_entry(100.0, idempotent=False))
        assert not port.busy
        assert len(port.closing) == len(port.state.lanes) == 1
        port.close_lanes()
        assert len(port.busy) == 1

    def test_booking_is_not_cut_before_its_deadline(self) -> None:
        # Guards against giving up a booking that may be running.
        port = Harness(3, 6)
        port.warm_up()
        port.offer(make_entry(30.0, idempotent=False))
        port.offer(make_entry(30.0))
        port.end(max(port.busy))
        run_for(port, 29.0)
        assert not port.given_up
        run_for(port, 1.2)
        assert [a.verdict for a in port.given_up] == [SILENT]


class TestDeadline:
    """A request is given up at its deadline."""

    def test_waiting_request_expires_in_the_queue(self) -> None:
        # Guards against a future without a result.
        port = Harness(1, 6)
        port.offer(make_entry(100.0))
        waiting = make_entry(1.0)
        port.offer(waiting)
        run_for(port, 1.1)
        assert port.results[waiting].status == "expired"

    def test_idempotent_request_in_flight_frees_its_slot(self) -> None:
        # Guards against a slot that useless work occupies.
        port = Harness(1, 6)
        port.offer(make_entry(1.0))
        run_for(port, 1.1)
        assert [a.verdict for a in port.given_up] == [
            connection_table.Verdict.DEADLINE
        ]
        assert not port.busy
