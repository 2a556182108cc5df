"""Tests of the state of a peer stream."""

import asyncio

from hypothesis import given
from hypothesis import strategies

from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import exchanges as exchanges_lib
from lycheerock._internal.peers import frame_age
from lycheerock._internal.peers import server as server_lib
from lycheerock_protocol import peer_pb2


class FakeReply:
    """Stands for the future of a request."""

    def __init__(self) -> None:
        self.result: work_lib.Result | None = None

    def done(self) -> bool:
        return self.result is not None

    def set_result(self, result: work_lib.Result, /) -> None:
        assert self.result is None, "two results"
        self.result = result


def make_work(
    deadline_s: float = 10.0, *, idempotent: bool = True, body: bytes = b"{}"
) -> work_lib.Work:
    return work_lib.Work(
        "a", "c", "s", "t", "/v1/shard", body, deadline_s, idempotent
    )


class TestFrames:
    """Requests share frames and keep to their bounds."""

    def test_waiting_requests_share_frames(self) -> None:
        # Guards against one frame per request.
        exchanges = exchanges_lib.Exchanges()
        for _ in range(130):
            exchanges.submit(make_work(), FakeReply())
        sizes = [len(exchanges.take_frame(0.0).requests) for _ in range(3)]
        assert sizes == [64, 64, 2]

    def test_frame_of_large_requests_stays_below_the_message_size(self) -> None:
        # Guards against a frame that gRPC refuses, which ends the stream.
        exchanges = exchanges_lib.Exchanges()
        for _ in range(40):
            work = make_work(body=b"x" * 262_144)
            exchanges.submit(work, FakeReply())
        while exchanges.has_output:
            assert exchanges.take_frame(0.0).ByteSize() < 2 * 1_048_576

    def test_bounds_refuse_with_a_retry_time(self) -> None:
        # Guards against memory that grows while a peer does not read.
        exchanges = exchanges_lib.Exchanges(3, 100)
        accepted = [exchanges.submit(make_work(), FakeReply()) for _ in "1234"]
        assert accepted[:3] == [1, 2, 3]
        assert accepted[3].status == work_lib.Status.REFUSED
        assert accepted[3].retry_after_ms > 0
        exchanges = exchanges_lib.Exchanges(3, 100)
        exchanges.submit(make_work(body=b"x" * 90), FakeReply())
        refused = exchanges.submit(make_work(body=b"x" * 20), FakeReply())
        assert refused.status == work_lib.Status.REFUSED
        exchanges.take_frame(0.0)
        work = make_work(body=b"x" * 20)
        assert isinstance(exchanges.submit(work, FakeReply()), int)

    def test_old_request_is_not_written(self) -> None:
        # Guards against a frozen process that sends old work.
        exchanges = exchanges_lib.Exchanges()
        reply = FakeReply()
        exchanges.submit(make_work(1.0), reply)
        assert not exchanges.take_frame(2.0).requests
        assert reply.result.status == work_lib.Status.EXPIRED

    def test_reply_that_nobody_waits_for_is_dropped(self) -> None:
        # Guards against an error in the stream after a late reply.
        exchanges = exchanges_lib.Exchanges()
        reply = FakeReply()
        exchange_id = exchanges.submit(make_work(), reply)
        exchanges.take_frame(0.0)
        message = peer_pb2.ShardReply(exchange_id=exchange_id, status="replied")
        stray = peer_pb2.ShardReply(exchange_id=99, status="no such status")
        frame = peer_pb2.Frame(replies=[message, message, stray])
        exchanges.on_frame(frame)
        assert reply.result.status == work_lib.Status.REPLIED
        assert exchanges.pending == 0


class TestBookingOnStream:
    """A booking that was written is never cancelled."""

    @given(strategies.booleans(), strategies.booleans())
    def test_only_written_idempotent_work_is_cancelled(
        self, is_written: bool, idempotent: bool
    ) -> None:
        # Guards against cancelling a booking that may be running.
        exchanges = exchanges_lib.Exchanges()
        work = make_work(idempotent=idempotent)
        exchange_id = exchanges.submit(work, FakeReply())
        if is_written:
            exchanges.take_frame(0.0)
        exchanges.give_up(exchange_id)
        frame = exchanges.take_frame(0.0)
        expected = [exchange_id] if is_written and idempotent else []
        assert list(frame.cancelled_exchange_ids) == expected
        assert not frame.requests

    @given(strategies.booleans())
    def test_owner_keeps_a_booking_when_the_stream_is_lost(
        self, is_frame: bool
    ) -> None:
        # Guards against an owner that cancels a booking in flight.
        async def run() -> tuple[bool, bool]:
            loop = asyncio.get_running_loop()
            futures = [loop.create_future(), loop.create_future()]
            waiting = iter(futures)
            exchange = server_lib.Exchange(lambda _: next(waiting))
            requests = [
                peer_pb2.ShardRequest(exchange_id=n, idempotent=n == 0)
                for n in (0, 1)
            ]
            exchange.accept(peer_pb2.Frame(requests=requests), 0.0)
            if is_frame:
                frame = peer_pb2.Frame(cancelled_exchange_ids=[0, 1])
                exchange.accept(frame, 0.0)
            else:
                exchange.cancel_idempotent()
            return futures[0].cancelled(), futures[1].cancelled()

        assert asyncio.run(run()) == (True, False)

    def test_lost_stream_tells_what_may_have_been_sent(self) -> None:
        # Guards against a booking reported as not run although it may run.
        exchanges = exchanges_lib.Exchanges()
        written, waiting = FakeReply(), FakeReply()
        exchanges.submit(make_work(idempotent=False), written)
        exchanges.take_frame(0.0)
        exchanges.submit(make_work(idempotent=False), waiting)
        exchanges.fail_all()
        assert written.result.status == work_lib.Status.LOST
        assert waiting.result.status == work_lib.Status.NOT_SENT
        assert not exchanges.has_output


class TestSilentStream:
    """A stream without progress is found."""

    @given(strategies.integers(0, 60), strategies.booleans())
    def test_silence_is_found_in_bounded_ticks(
        self, idle_ticks: int, answers: bool
    ) -> None:
        # Guards against a stream that stays open although the peer is frozen,
        # and against ending a stream whose peer answers a slow request late.
        exchanges = exchanges_lib.Exchanges()
        exchanges.open()
        assert exchanges.take_frame(0.0).wants_answer
        exchanges.on_frame(peer_pb2.Frame())
        for _ in range(idle_ticks):
            exchanges.tick()
            if exchanges.take_frame(0.0).wants_answer:
                exchanges.on_frame(peer_pb2.Frame())
        found = []
        for _ in range(12):
            # Requests that come and go do not hide the silence.
            exchange_id = exchanges.submit(make_work(), FakeReply())
            health = exchanges.tick()
            found.append(health)
            wants = exchanges.take_frame(0.0).wants_answer
            assert wants == (health == exchanges_lib.Health.PROBE)
            if wants and answers:
                exchanges.on_frame(peer_pb2.Frame())
            exchanges.give_up(exchange_id)
        assert (exchanges_lib.Health.SILENT in found) != answers


class TestFrameAge:
    """Frames that were held up are found without a common clock."""

    @given(
        strategies.floats(-1e6, 1e6),
        strategies.lists(strategies.floats(0.001, 0.2), min_size=1),
        strategies.floats(0.0, 600.0),
    )
    def test_held_up_time_is_found(
        self, offset_s: float, delays_s: list[float], frozen_s: float
    ) -> None:
        # Guards against an instance that runs old work after a freeze.
        age = frame_age.FrameAge()
        now_s = 1e6
        for delay_s in delays_s:
            now_s += 1.0
            age.observe(now_s + offset_s, now_s + delay_s)
        found_s = age.observe(now_s + offset_s, now_s + frozen_s + 0.2)
        assert frozen_s - 1e-3 <= found_s <= frozen_s + 0.2

    def test_owner_counts_the_time_in_the_buffer(self) -> None:
        # Guards against a deadline that starts when a frame is read.
        deadlines = []

        async def run() -> None:
            def submit(work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
                deadlines.append(work.deadline_s)
                return asyncio.get_running_loop().create_future()

            exchange = server_lib.Exchange(submit)
            exchange.accept(peer_pb2.Frame(written_ms=5_000), 100.0)
            request = peer_pb2.ShardRequest(time_left_ms=2_000)
            frame = peer_pb2.Frame(requests=[request], written_ms=6_000)
            exchange.accept(frame, 131.0)

        asyncio.run(run())
        assert deadlines == [103.0]
