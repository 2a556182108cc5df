"""State of the stream to one peer, without sockets and without a clock."""

import collections
import dataclasses
import enum
from typing import Protocol

from lycheerock._internal.dispatch import work as work_lib
from lycheerock_protocol import peer_pb2

FRAME_MESSAGES_MAX = 64

# Far below the greatest message, since one request or reply more may be added
# than fits.
FRAME_SIZE_MAX_BYTES = 1_048_576

PENDING_MAX = 4_096
OUTBOX_SIZE_MAX_BYTES = 16 * 1_048_576
RETRY_AFTER_MS = 100

# A frame asks for an answer after half a second without a frame while replies
# are pending, and after 10 s otherwise; 2 s without any frame after it end the
# stream.
TICK_S = 0.25
_BUSY_TICKS = 2
_IDLE_TICKS = 40
_SILENT_TICKS = 8


class Reply(Protocol):
    """The future that takes a result."""

    def done(self) -> bool:
        """Whether it has a result or was cancelled."""
        ...

    def set_result(self, result: work_lib.Result, /) -> None:
        """Sets the result."""
        ...


class Health(enum.Enum):
    """What a tick found."""

    GOOD = "good"
    PROBE = "probe"
    SILENT = "silent"


@dataclasses.dataclass(eq=False)
class _Pending:
    work: work_lib.Work
    reply: Reply
    was_written: bool = False


class Exchanges:
    """Requests that wait for the stream or for their reply."""

    def __init__(
        self,
        pending_max: int = PENDING_MAX,
        outbox_size_max_bytes: int = OUTBOX_SIZE_MAX_BYTES,
    ):
        self._pending_max = pending_max
        self._outbox_size_max_bytes = outbox_size_max_bytes
        self._pending: dict[int, _Pending] = {}
        self._outbox = collections.deque[int]()
        self._outbox_size_bytes = 0
        self._cancelled: list[int] = []
        self._must_probe = False
        self._next_id = 1
        self._quiet_ticks = 0
        self._probe_ticks: int | None = None

    @property
    def pending(self) -> int:
        """Requests without a result."""
        return len(self._pending)

    @property
    def has_output(self) -> bool:
        """Whether `take_frame` has something to write."""
        return bool(self._outbox or self._cancelled or self._must_probe)

    def submit(
        self, work: work_lib.Work, reply: Reply
    ) -> int | work_lib.Result:
        """Queues a request for the next frame.

        Args:
          work: The request.
          reply: Takes the result.

        Returns:
          The exchange id, or the refusal if a bound is reached.
        """
        size_bytes = self._outbox_size_bytes + len(work.body)
        if (
            len(self._pending) >= self._pending_max
            or size_bytes > self._outbox_size_max_bytes
        ):
            return work_lib.Result(
                work_lib.Status.REFUSED,
                retry_after_ms=RETRY_AFTER_MS,
                detail="too many requests to one peer",
            )
        exchange_id = self._next_id
        self._next_id += 1
        self._pending[exchange_id] = _Pending(work, reply)
        self._outbox.append(exchange_id)
        self._outbox_size_bytes = size_bytes
        return exchange_id

    def give_up(self, exchange_id: int) -> None:
        """Forgets a request; a booking that was written goes on at the peer."""
        pending = self._pending.pop(exchange_id, None)
        if pending is None:
            return
        if not pending.was_written:
            self._outbox_size_bytes -= len(pending.work.body)
        elif pending.work.idempotent:
            self._cancelled.append(exchange_id)

    def take_frame(self, now_s: float) -> peer_pb2.Frame:
        """Builds the next frame; requests that are too old get EXPIRED."""
        frame = peer_pb2.Frame(
            written_ms=int(now_s * 1000), wants_answer=self._must_probe
        )
        self._must_probe = False
        frame.cancelled_exchange_ids.extend(self._cancelled)
        self._cancelled.clear()
        size_bytes = 0
        while (
            self._outbox
            and len(frame.requests) < FRAME_MESSAGES_MAX
            and size_bytes < FRAME_SIZE_MAX_BYTES
        ):
            exchange_id = self._outbox.popleft()
            pending = self._pending.get(exchange_id)
            if pending is None:
                continue
            work = pending.work
            self._outbox_size_bytes -= len(work.body)
            time_left_ms = int((work.deadline_s - now_s) * 1000)
            if time_left_ms <= 0:
                result = work_lib.Result(work_lib.Status.EXPIRED)
                self._finish(exchange_id, result)
                continue
            pending.was_written = True
            size_bytes += len(work.body)
            frame.requests.append(_to_message(exchange_id, work, time_left_ms))
        return frame

    def on_frame(self, frame: peer_pb2.Frame) -> None:
        """Takes a frame; replies that nobody waits for are dropped."""
        self._quiet_ticks = 0
        self._probe_ticks = None
        for reply in frame.replies:
            self._finish(reply.exchange_id, _to_result(reply))

    def _finish(self, exchange_id: int, result: work_lib.Result) -> None:
        pending = self._pending.pop(exchange_id, None)
        if pending is not None and not pending.reply.done():
            pending.reply.set_result(result)

    def fail_all(self) -> None:
        """Ends all requests, because the stream is lost."""
        self._outbox.clear()
        self._outbox_size_bytes = 0
        self._cancelled.clear()
        self._must_probe = False
        self._probe_ticks = None
        for exchange_id, pending in list(self._pending.items()):
            status = (
                work_lib.Status.LOST
                if pending.was_written
                else work_lib.Status.NOT_SENT
            )
            result = work_lib.Result(
                status, detail="peer stream closed", is_stream_lost=True
            )
            self._finish(exchange_id, result)

    def open(self) -> None:
        """Starts a stream, whose first frame the peer must answer."""
        self._quiet_ticks = 0
        self._probe()

    def _probe(self) -> None:
        self._must_probe = True
        self._probe_ticks = 0

    def tick(self) -> Health:
        """Checks the progress of the stream; called every `TICK_S`.

        Ticks are counted instead of time, so that a freeze of this process does
        not make the peer look silent.
        """
        self._quiet_ticks += 1
        if self._probe_ticks is not None:
            self._probe_ticks += 1
            is_silent = self._probe_ticks > _SILENT_TICKS
            return Health.SILENT if is_silent else Health.GOOD
        if self._quiet_ticks < (_BUSY_TICKS if self._pending else _IDLE_TICKS):
            return Health.GOOD
        self._probe()
        return Health.PROBE


def _to_message(
    exchange_id: int, work: work_lib.Work, time_left_ms: int
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


def _to_result(reply: peer_pb2.ShardReply) -> work_lib.Result:
    if reply.status not in _STATUSES:
        return work_lib.Result(
            work_lib.Status.LOST, detail=f"unknown status {reply.status!r}"
        )
    return work_lib.Result(
        work_lib.Status(reply.status),
        reply.body,
        reply.retry_after_ms,
        reply.detail,
    )


_STATUSES = frozenset(work_lib.Status)
