"""One open connection to another instance."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import time

import aiohttp
import aiohttp.web
import msgspec

from lycheerock._internal.links import liveness as liveness_lib
from lycheerock_protocol import links

# Maximum size of one message. The largest ones contain a caller's body, which
# is limited to 256 kB.
MESSAGE_SIZE_MAX_BYTES = 1_048_576

# Limits on the messages that are queued for a peer that does not read.
QUEUED_MESSAGES_MAX = 512
QUEUED_BYTES_MAX = 2 * MESSAGE_SIZE_MAX_BYTES

# Time for the closing handshake; the connection is closed in any case.
CLOSE_TIMEOUT_S = 0.1

Socket = aiohttp.web.WebSocketResponse | aiohttp.ClientWebSocketResponse


class LinkError(Exception):
    """The link must be closed; the text states the reason."""


class Link:
    """Sends queued messages and passes on received ones.

    Attributes:
      peer: The hello message of the other instance.
      opened_s: Monotonic time at which the link was opened.
      is_outgoing: Whether this instance opened the link.
      liveness: Times of the messages.
    """

    def __init__(
        self, socket: Socket, peer: links.Hello, *, is_outgoing: bool
    ) -> None:
        self._socket = socket
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._is_ping_due = False
        self._wakeup = asyncio.Event()
        self._tasks: tuple[asyncio.Task[None], ...] = ()
        self._close_reason: str | None = None
        self.peer = peer
        self.opened_s = time.monotonic()
        self.is_outgoing = is_outgoing
        self.liveness = liveness_lib.Liveness(self.opened_s)

    def put(self, data: bytes) -> bool:
        """Queues an encoded message; returns False if the queue is full."""
        if self._close_reason is not None:
            return False
        if len(data) > MESSAGE_SIZE_MAX_BYTES:
            return False
        if len(self._queue) >= QUEUED_MESSAGES_MAX:
            return False
        if self._queued_bytes + len(data) > QUEUED_BYTES_MAX:
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        self.liveness.record_sent(time.monotonic())
        self._wakeup.set()
        return True

    def close(self, reason: str) -> None:
        """Ends `run` without sending what is queued."""
        if self._close_reason is None:
            self._close_reason = reason
        for task in self._tasks:
            task.cancel()

    def ping(self) -> None:
        """Asks the peer for a sign of life."""
        self._is_ping_due = True
        self._wakeup.set()

    async def run(self, on_frame: Callable[[links.Frame], None]) -> str:
        """Exchanges messages until the link is closed or lost.

        Args:
          on_frame: Called with each received frame. A LinkError ends the link.

        Returns:
          The reason for the end.
        """
        if self._close_reason is None:
            self._tasks = (
                asyncio.create_task(self._send()),
                asyncio.create_task(self._receive(on_frame)),
            )
            try:
                await asyncio.wait(
                    self._tasks, return_when=asyncio.FIRST_COMPLETED
                )
                reason = _reason_of(self._tasks)
            finally:
                for task in self._tasks:
                    task.cancel()
                self._queue.clear()
                await asyncio.gather(*self._tasks, return_exceptions=True)
            self._close_reason = self._close_reason or reason
        with contextlib.suppress(
            TimeoutError, ConnectionError, aiohttp.ClientError
        ):
            async with asyncio.timeout(2 * CLOSE_TIMEOUT_S):
                await self._socket.close()
        return self._close_reason

    async def _send(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            if self._is_ping_due:
                self._is_ping_due = False
                await self._socket.ping()
            while self._queue:
                data = self._queue.popleft()
                await self._socket.send_bytes(data)
                self._queued_bytes -= len(data)

    async def _receive(self, on_frame: Callable[[links.Frame], None]) -> None:
        while True:
            received = await self._socket.receive()
            kind = received.type
            now_s = time.monotonic()
            if kind == aiohttp.WSMsgType.BINARY:
                self.liveness.record_received(now_s, is_message=True)
                on_frame(_decode(received.data))
            elif kind == aiohttp.WSMsgType.PING:
                self.liveness.record_received(now_s, is_message=False)
                await self._socket.pong(received.data)
            elif kind == aiohttp.WSMsgType.PONG:
                self.liveness.record_received(now_s, is_message=False)
            else:
                raise LinkError(_describe_end(self._socket, received))


def _decode(data: bytes) -> links.Frame:
    try:
        return links.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise LinkError("malformed") from error


def _describe_end(socket: Socket, received: aiohttp.WSMessage) -> str:
    error = received.data
    if isinstance(error, aiohttp.WebSocketError):
        if error.code == aiohttp.WSCloseCode.MESSAGE_TOO_BIG:
            return "oversized"
        return "malformed"
    if received.type == aiohttp.WSMsgType.TEXT:
        return "malformed"
    return f"closed by the peer ({socket.close_code})"


def _reason_of(tasks: tuple[asyncio.Task[None], ...]) -> str:
    for task in tasks:
        if not task.done() or task.cancelled():
            continue
        error = task.exception()
        if isinstance(error, LinkError):
            return str(error)
        if error is not None:
            return f"{type(error).__name__}: {error}"
    return "closed"
