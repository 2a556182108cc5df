"""Tests of both ends of a peer stream, without a connection."""

import asyncio

from hypothesis import given
from hypothesis import strategies

from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import frame_age
from lycheerock._internal.peers import outgoing_stream
from lycheerock._internal.peers import server as server_lib
from lycheerock_protocol import peer_pb2


class FakeFuture:
    """Future without an event loop that accepts one result."""

    def __init__(self) -> None:
        self.result: work_lib.TargetResult | None = None

    def done(self) -> bool:
        return self.result is not None

    def set_result(self, result: work_lib.TargetResult, /) -> None:
        assert self.result is None, "two results"
        self.result = result


def make_work(
    deadline_s: float = 10.0, *, idempotent: bool = True, body: bytes = b"{}"
) -> work_lib.TargetRequest:
    return work_lib.TargetRequest(
        "a", "c", "s", "t", "/v1/shard", body, deadline_s, idempotent
    )


class TestFrames:
    """Requests are batched into frames within limits."""

    def test_queued_requests_share_frames(self) -> None:
        # Guards against one frame per request.
        stream = outgoing_stream.OutgoingStream()
        for _ in range(130):
            stream.submit(make_work(), FakeFuture())
        sizes = [len(stream.next_frame(0.0).requests) for _ in range(3)]
        assert sizes == [64, 64, 2]

    def test_frame_of_large_requests_stays_below_the_message_size(self) -> None:
        # Guards against a frame that gRPC rejects, which ends the stream.
        stream = outgoing_stream.OutgoingStream()
        for _ in range(40):
            work = make_work(body=b"x" * 262_144)
            stream.submit(work, FakeFuture())
        while stream.has_output:
            assert stream.next_frame(0.0).ByteSize() < 2 * 1_048_576

    def test_requests_above_the_limits_are_refused(self) -> None:
        # Guards against unbounded memory use while a peer does not read.
        stream = outgoing_stream.OutgoingStream(3, 100)
        accepted = [stream.submit(make_work(), FakeFuture()) for _ in "1234"]
        assert accepted[:3] == [1, 2, 3]
        assert accepted[3].status == work_lib.Status.REFUSED
        assert accepted[3].retry_after_ms > 0
        stream = outgoing_stream.OutgoingStream(3, 100)
        stream.submit(make_work(body=b"x" * 90), FakeFuture())
        refused = stream.submit(make_work(body=b"x" * 20), FakeFuture())
        assert refused.status == work_lib.Status.REFUSED
        stream.next_frame(0.0)
        work = make_work(body=b"x" * 20)
        assert isinstance(stream.submit(work, FakeFuture()), int)

    def test_expired_request_is_not_written(self) -> None:
        # Guards against late requests from a process that was suspended.
        stream = outgoing_stream.OutgoingStream()
        future = FakeFuture()
        stream.submit(make_work(1.0), future)
        assert not stream.next_frame(2.0).requests
        assert future.result.status == work_lib.Status.EXPIRED

    def test_reply_without_a_pending_request_is_ignored(self) -> None:
        # Guards against a late reply that breaks the stream.
        stream = outgoing_stream.OutgoingStream()
        future = FakeFuture()
        exchange_id = stream.submit(make_work(), future)
        stream.next_frame(0.0)
        message = peer_pb2.ShardReply(exchange_id=exchange_id, status="replied")
        unmatched = peer_pb2.ShardReply(exchange_id=99, status="no such status")
        frame = peer_pb2.Frame(replies=[message, message, unmatched])
        stream.receive_frame(frame)
        assert future.result.status == work_lib.Status.REPLIED
        assert stream.pending_count == 0


class TestNonIdempotentRequests:
    """A non-idempotent request that was written is never cancelled."""

    @given(strategies.booleans(), strategies.booleans())
    def test_only_written_idempotent_requests_are_cancelled(
        self, is_written: bool, idempotent: bool
    ) -> None:
        # Guards against cancelling a booking that may be running.
        stream = outgoing_stream.OutgoingStream()
        work = make_work(idempotent=idempotent)
        exchange_id = stream.submit(work, FakeFuture())
        if is_written:
            stream.next_frame(0.0)
        stream.cancel(exchange_id)
        frame = stream.next_frame(0.0)
        expected = [exchange_id] if is_written and idempotent else []
        assert list(frame.cancelled_exchange_ids) == expected
        assert not frame.requests

    @given(strategies.booleans())
    def test_peer_continues_a_booking_when_the_stream_is_lost(
        self, with_frame: bool
    ) -> None:
        # Guards against a peer that cancels an in-flight booking.
        async def run() -> tuple[bool, bool]:
            loop = asyncio.get_running_loop()
            futures = [loop.create_future(), loop.create_future()]
            waiting = iter(futures)
            incoming = server_lib.IncomingStream(lambda _: next(waiting))
            requests = [
                peer_pb2.ShardRequest(exchange_id=n, idempotent=n == 0)
                for n in (0, 1)
            ]
            incoming.receive_frame(peer_pb2.Frame(requests=requests), 0.0)
            if with_frame:
                frame = peer_pb2.Frame(cancelled_exchange_ids=[0, 1])
                incoming.receive_frame(frame, 0.0)
            else:
                incoming.cancel_idempotent()
            return futures[0].cancelled(), futures[1].cancelled()

        assert asyncio.run(run()) == (True, False)

    def test_lost_stream_distinguishes_sent_from_unsent_requests(self) -> None:
        # Guards against reporting a booking as not run although it may have
        # run.
        stream = outgoing_stream.OutgoingStream()
        written, waiting = FakeFuture(), FakeFuture()
        stream.submit(make_work(idempotent=False), written)
        stream.next_frame(0.0)
        stream.submit(make_work(idempotent=False), waiting)
        stream.fail_all()
        assert written.result.status == work_lib.Status.LOST
        assert waiting.result.status == work_lib.Status.NOT_SENT
        assert not stream.has_output


class TestKeepalive:
    """A stream whose peer stops responding is detected."""

    @given(strategies.integers(0, 60), strategies.booleans())
    def test_unresponsive_peer_is_detected_in_bounded_ticks(
        self, idle_ticks: int, answers: bool
    ) -> None:
        # Guards against keeping the stream of an unresponsive peer open, and
        # against closing the stream of a peer that is slow to answer a request.
        stream = outgoing_stream.OutgoingStream()
        stream.open()
        assert stream.next_frame(0.0).wants_answer
        stream.receive_frame(peer_pb2.Frame())
        for _ in range(idle_ticks):
            stream.tick()
            if stream.next_frame(0.0).wants_answer:
                stream.receive_frame(peer_pb2.Frame())
        results = []
        for _ in range(12):
            # Submitting and cancelling requests must not keep the stream from
            # probing the peer.
            exchange_id = stream.submit(make_work(), FakeFuture())
            health = stream.tick()
            results.append(health)
            wants_answer = stream.next_frame(0.0).wants_answer
            assert wants_answer == (
                health == outgoing_stream.StreamHealth.PROBE_DUE
            )
            if wants_answer and answers:
                stream.receive_frame(peer_pb2.Frame())
            stream.cancel(exchange_id)
        assert (outgoing_stream.StreamHealth.UNRESPONSIVE in results) != answers


class TestFrameAge:
    """The age of frames is estimated without synchronized clocks."""

    @given(
        strategies.floats(-1e6, 1e6),
        strategies.lists(strategies.floats(0.001, 0.2), min_size=1),
        strategies.floats(0.0, 600.0),
    )
    def test_age_includes_the_time_of_a_suspension(
        self, offset_s: float, delays_s: list[float], suspended_s: float
    ) -> None:
        # Guards against an instance that runs outdated requests after it was
        # suspended.
        estimator = frame_age.FrameAgeEstimator()
        now_s = 1e6
        for delay_s in delays_s:
            now_s += 1.0
            estimator.observe(now_s + offset_s, now_s + delay_s)
        estimate_s = estimator.observe(
            now_s + offset_s, now_s + suspended_s + 0.2
        )
        assert suspended_s - 1e-3 <= estimate_s <= suspended_s + 0.2

    def test_deadline_includes_the_frame_age(self) -> None:
        # Guards against a deadline that is computed from the time at which a
        # delayed frame is read.
        deadlines = []

        async def run() -> None:
            def submit(
                work: work_lib.TargetRequest,
            ) -> asyncio.Future[work_lib.TargetResult]:
                deadlines.append(work.deadline_s)
                return asyncio.get_running_loop().create_future()

            incoming = server_lib.IncomingStream(submit)
            incoming.receive_frame(peer_pb2.Frame(written_ms=5_000), 100.0)
            request = peer_pb2.ShardRequest(time_left_ms=2_000)
            frame = peer_pb2.Frame(requests=[request], written_ms=6_000)
            incoming.receive_frame(frame, 131.0)

        asyncio.run(run())
        assert deadlines == [103.0]
