"""State of the stream to one peer, independent of sockets and clocks."""

import collections
import dataclasses
import enum
from typing import Protocol

from lycheerock._internal.dispatch import work as work_lib
from lycheerock_protocol import peer_pb2

FRAME_MESSAGES_MAX = 64

# Well below the gRPC message limit, because the last request or reply that is
# added to a frame may take it beyond this size.
FRAME_SIZE_MAX_BYTES = 1_048_576

PENDING_MAX = 4_096
SEND_QUEUE_SIZE_MAX_BYTES = 16 * 1_048_576
RETRY_AFTER_MS = 100

# Keepalive: if no frame is received for 0.5 s while replies are pending, or for
# 10 s otherwise, the next frame is a probe that requests an answer. The stream
# is closed if no frame is received within about 2 s of the probe.
TICK_INTERVAL_S = 0.25
_PENDING_PROBE_TICKS = 2
_IDLE_PROBE_TICKS = 40
_PROBE_TIMEOUT_TICKS = 8


class ResultFuture(Protocol):
    """A future for the result of a request."""

    def done(self) -> bool:
        """Returns whether the future has a result or was cancelled."""
        ...

    def set_result(self, result: work_lib.TargetResult, /) -> None:
        """Sets the result."""
        ...


class StreamHealth(enum.Enum):
    """Result of a keepalive check."""

    HEALTHY = "good"
    # A probe frame is due.
    PROBE_DUE = "probe"
    # No frame arrived in time after a probe.
    UNRESPONSIVE = "silent"


@dataclasses.dataclass(eq=False)
class _PendingRequest:
    work: work_lib.TargetRequest
    future: ResultFuture
    was_written: bool = False


class OutgoingStream:
    """Requests to one peer that wait to be written or for their reply."""

    def __init__(
        self,
        pending_max: int = PENDING_MAX,
        send_queue_size_max_bytes: int = SEND_QUEUE_SIZE_MAX_BYTES,
    ):
        self._pending_max = pending_max
        self._send_queue_size_max_bytes = send_queue_size_max_bytes
        self._pending: dict[int, _PendingRequest] = {}
        self._send_queue = collections.deque[int]()
        self._send_queue_size_bytes = 0
        self._cancelled: list[int] = []
        self._probe_due = False
        self._next_id = 1
        self._ticks_since_frame = 0
        self._ticks_since_probe: int | None = None

    @property
    def pending_count(self) -> int:
        """Number of requests without a result."""
        return len(self._pending)

    @property
    def has_output(self) -> bool:
        """Whether a frame should be written."""
        return bool(self._send_queue or self._cancelled or self._probe_due)

    def submit(
        self, work: work_lib.TargetRequest, future: ResultFuture
    ) -> int | work_lib.TargetResult:
        """Queues a request for the next frame.

        Args:
          work: The request.
          future: Receives the result.

        Returns:
          The exchange ID, or a refusal if a limit is reached.
        """
        size_bytes = self._send_queue_size_bytes + len(work.body)
        if (
            len(self._pending) >= self._pending_max
            or size_bytes > self._send_queue_size_max_bytes
        ):
            return work_lib.TargetResult(
                work_lib.Status.REFUSED,
                retry_after_ms=RETRY_AFTER_MS,
                detail="too many requests to one peer",
            )
        exchange_id = self._next_id
        self._next_id += 1
        self._pending[exchange_id] = _PendingRequest(work, future)
        self._send_queue.append(exchange_id)
        self._send_queue_size_bytes = size_bytes
        return exchange_id

    def cancel(self, exchange_id: int) -> None:
        """Stops waiting for a request.

        The peer is told to cancel the request only if it was written and is
        idempotent.
        """
        pending = self._pending.pop(exchange_id, None)
        if pending is None:
            return
        if not pending.was_written:
            self._send_queue_size_bytes -= len(pending.work.body)
        elif pending.work.idempotent:
            self._cancelled.append(exchange_id)

    def next_frame(self, now_s: float) -> peer_pb2.Frame:
        """Builds the next frame and expires requests past their deadline."""
        frame = peer_pb2.Frame(
            written_ms=int(now_s * 1000), wants_answer=self._probe_due
        )
        self._probe_due = False
        frame.cancelled_exchange_ids.extend(self._cancelled)
        self._cancelled.clear()
        size_bytes = 0
        while (
            self._send_queue
            and len(frame.requests) < FRAME_MESSAGES_MAX
            and size_bytes < FRAME_SIZE_MAX_BYTES
        ):
            exchange_id = self._send_queue.popleft()
            pending = self._pending.get(exchange_id)
            if pending is None:
                continue
            work = pending.work
            self._send_queue_size_bytes -= len(work.body)
            time_left_ms = int((work.deadline_s - now_s) * 1000)
            if time_left_ms <= 0:
                result = work_lib.TargetResult(work_lib.Status.EXPIRED)
                self._finish(exchange_id, result)
                continue
            pending.was_written = True
            size_bytes += len(work.body)
            frame.requests.append(_to_message(exchange_id, work, time_left_ms))
        return frame

    def receive_frame(self, frame: peer_pb2.Frame) -> None:
        """Processes a frame; replies without a pending request are ignored."""
        self._ticks_since_frame = 0
        self._ticks_since_probe = None
        for reply in frame.replies:
            self._finish(reply.exchange_id, _to_result(reply))

    def _finish(self, exchange_id: int, result: work_lib.TargetResult) -> None:
        pending = self._pending.pop(exchange_id, None)
        if pending is not None and not pending.future.done():
            pending.future.set_result(result)

    def fail_all(self) -> None:
        """Fails all requests after the stream was lost."""
        self._send_queue.clear()
        self._send_queue_size_bytes = 0
        self._cancelled.clear()
        self._probe_due = False
        self._ticks_since_probe = None
        for exchange_id, pending in list(self._pending.items()):
            status = (
                work_lib.Status.LOST
                if pending.was_written
                else work_lib.Status.NOT_SENT
            )
            result = work_lib.TargetResult(
                status, detail="peer stream closed", is_stream_lost=True
            )
            self._finish(exchange_id, result)

    def open(self) -> None:
        """Prepares a new stream, whose first frame is a probe."""
        self._ticks_since_frame = 0
        self._start_probe()

    def _start_probe(self) -> None:
        self._probe_due = True
        self._ticks_since_probe = 0

    def tick(self) -> StreamHealth:
        """Checks whether the peer responds; called every `TICK_INTERVAL_S`.

        Counting ticks instead of measuring time prevents a pause of this
        process from being mistaken for an unresponsive peer.
        """
        self._ticks_since_frame += 1
        if self._ticks_since_probe is not None:
            self._ticks_since_probe += 1
            timed_out = self._ticks_since_probe > _PROBE_TIMEOUT_TICKS
            return (
                StreamHealth.UNRESPONSIVE if timed_out else StreamHealth.HEALTHY
            )
        if self._ticks_since_frame < (
            _PENDING_PROBE_TICKS if self._pending else _IDLE_PROBE_TICKS
        ):
            return StreamHealth.HEALTHY
        self._start_probe()
        return StreamHealth.PROBE_DUE


def _to_message(
    exchange_id: int, work: work_lib.TargetRequest, time_left_ms: int
) -> peer_pb2.ShardRequest:
    return peer_pb2.ShardRequest(
        exchange_id=exchange_id,
        attempt_id=work.attempt_id,
        caller=work.caller,
        service=work.service,
        target_id=work.target_id,
        time_left_ms=time_left_ms,
        idempotent=work.idempotent,
        path=work.path,
        body=work.body,
    )


def _to_result(reply: peer_pb2.ShardReply) -> work_lib.TargetResult:
    if reply.status not in _STATUSES:
        return work_lib.TargetResult(
            work_lib.Status.LOST, detail=f"unknown status {reply.status!r}"
        )
    return work_lib.TargetResult(
        work_lib.Status(reply.status),
        reply.body,
        reply.retry_after_ms,
        reply.detail,
    )


_STATUSES = frozenset(work_lib.Status)
