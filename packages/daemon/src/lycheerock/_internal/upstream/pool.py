"""The connections of this instance to one target."""

import asyncio
import collections
import contextlib
import time

from lycheerock._internal.upstream import connection as connection_lib

# A connection opens in one round trip, 24 ms between the farthest regions; a
# lost opening packet is sent again by the kernel only after a second.
CONNECT_TIMEOUT_S = 0.35

# Idle time after which a connection is not used again if the target names no
# limit. Targets close idle connections on their own after some seconds.
IDLE_DEFAULT_S = 4.0

# Part of a named idle limit after which a connection counts as expired, so that
# a request does not cross the target's close.
IDLE_USABLE_RATIO = 0.6

# A non-idempotent request is sent only on a connection that has carried a
# response this recently, since it cannot be sent again if the path is dead.
PROVEN_S = 0.5


class ConnectError(Exception):
    """No connection could be opened; nothing was sent."""


class Pool:
    """Opens connections to one target, up to a limit, and keeps idle ones."""

    def __init__(self, host: str, port: int, request_id_header: str) -> None:
        self._host = host
        self._port = port
        self._request_id_header = request_id_header
        self._idle: list[connection_lib.Connection] = []
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._is_closed = False
        self.open_count = 0
        self.limit = 1

    async def acquire(self, *, proven: bool) -> connection_lib.Connection:
        """Returns a connection; it waits while the limit is reached.

        Args:
          proven: Whether only a connection that is new or has answered a moment
            ago will do.

        Raises:
          ConnectError: The target does not accept a connection.
        """
        while True:
            found = self._take_idle(proven=proven)
            if found is not None:
                return found
            if self.open_count < self.limit:
                return await self._open()
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake()
                raise

    @property
    def is_cold(self) -> bool:
        """Whether the next request would have to open a connection."""
        self._drop_expired()
        return self.open_count == 0 and not self._is_closed

    async def warm(self) -> None:
        """Opens a connection ahead of the next request.

        Raises:
          ConnectError: The target does not accept a connection.
        """
        if self.is_cold:
            self.release(await self._open())

    def _drop_expired(self) -> None:
        now_s = time.monotonic()
        for connection in list(self._idle):
            idle_s = now_s - connection.idle_since_s
            if connection.is_usable and idle_s < _idle_limit_s(connection):
                continue
            self._idle.remove(connection)
            connection.close()
            self.open_count -= 1

    def release(self, connection: connection_lib.Connection) -> None:
        """Takes a connection back and keeps it if it can be used again."""
        if connection.is_usable and not self._is_closed:
            self._idle.append(connection)
        else:
            connection.close()
            self.open_count -= 1
        self._wake()

    def close_idle(self) -> None:
        """Closes idle connections and keeps none from now on."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()
            self.open_count -= 1
        self._wake()

    def _wake(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _take_idle(self, *, proven: bool) -> connection_lib.Connection | None:
        now_s = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            limit_s = PROVEN_S if proven else _idle_limit_s(connection)
            if connection.is_usable and idle_s < limit_s:
                return connection
            connection.close()
            self.open_count -= 1
        return None

    async def _open(self) -> connection_lib.Connection:
        self.open_count += 1
        loop = asyncio.get_running_loop()
        with contextlib.ExitStack() as stack:
            stack.callback(self._give_back)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, protocol = await loop.create_connection(
                        lambda: connection_lib.Connection(
                            self._request_id_header
                        ),
                        self._host,
                        self._port,
                    )
            except (TimeoutError, OSError) as error:
                raise ConnectError(type(error).__name__) from error
            stack.pop_all()
        return protocol

    def _give_back(self) -> None:
        self.open_count -= 1
        self._wake()


def _idle_limit_s(connection: connection_lib.Connection) -> float:
    if connection.idle_limit_s is None:
        return IDLE_DEFAULT_S
    return IDLE_USABLE_RATIO * connection.idle_limit_s
