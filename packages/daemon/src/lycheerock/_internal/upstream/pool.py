"""Connection pool for one target."""

import asyncio
import contextlib
import time

from lycheerock._internal.upstream import connection as connection_lib
from lycheerock._internal.upstream import receive_budget
from lycheerock._internal.upstream import wait_queue

# Opening a connection takes one round trip, 24 ms between the farthest regions.
# After a lost SYN packet a slightly longer wait would not help, since the
# kernel retransmits it only after a second.
CONNECT_TIMEOUT_S = 0.35

# Idle time after which a connection is not reused if the target announces no
# limit. Targets close idle connections by themselves after some seconds.
IDLE_LIMIT_DEFAULT_S = 4.0

# Fraction of an announced idle limit after which a connection counts as
# expired, so that no request is sent while the target closes the connection.
IDLE_USABLE_RATIO = 0.6

# Longest idle time of a connection that is reused for a non-idempotent request,
# since such a request cannot be retried if the network path is dead.
FRESH_IDLE_MAX_S = 0.5

# An exchange that ended after this time without a byte of a response may have
# used a connection that has gone silent without a reset. Pauses of targets are
# shorter.
SILENT_EXCHANGE_MIN_S = 0.4

# Weight of the newest exchange in the average duration.
EXCHANGE_WEIGHT = 0.2


class ConnectError(Exception):
    """No connection could be opened; nothing was sent."""


class WithdrawnError(Exception):
    """The request must be sent to another target; nothing was sent."""


class Pool:
    """Opens connections to one target up to a limit and reuses idle ones."""

    def __init__(
        self,
        host: str,
        port: int,
        request_id_header: str,
        memory: receive_budget.ReceiveBudget,
    ) -> None:
        self._memory = memory
        self._host = host
        self._port = port
        self._request_id_header = request_id_header
        self._idle: list[connection_lib.Connection] = []
        self._waiters = wait_queue.WaitQueue()
        self._usual_exchange_s = 0.0
        self._is_closed = False
        # Number of calls of `withdraw_waiting`, by which a request notices that
        # one occurred while it waited.
        self._withdrawal_count = 0
        self.open_count = 0
        self.limit = 1

    async def acquire(
        self, *, fresh_only: bool, useful_until_s: float
    ) -> connection_lib.Connection:
        """Returns a connection, waiting while the limit is reached.

        Args:
          useful_until_s: Monotonic time after which the reply is of little use.
            Requests whose replies can be in time go before this one if its own
            cannot.
          fresh_only: Whether to return only a new connection or one that has
            been idle for less than FRESH_IDLE_MAX_S.

        Raises:
          ConnectError: No connection could be opened in time.
          WithdrawnError: The pool was closed, or `withdraw_waiting` was called
            meanwhile.
        """
        withdrawal_count = self._withdrawal_count
        while True:
            if self._is_closed or withdrawal_count != self._withdrawal_count:
                raise WithdrawnError
            connection = self._pop_idle(fresh_only=fresh_only)
            if connection is not None:
                return connection
            if self.open_count < self.limit:
                connection = await self._open()
                if withdrawal_count != self._withdrawal_count:
                    self.release(connection)
                    raise WithdrawnError
                return connection
            granted = asyncio.get_running_loop().create_future()
            waiter = wait_queue.Waiter(granted, useful_until_s)
            self._waiters.add(waiter)
            try:
                await granted
            except asyncio.CancelledError:
                self._waiters.discard(waiter)
                if granted.done() and not granted.cancelled():
                    self._wake_next_waiter()
                raise

    @property
    def is_cold(self) -> bool:
        """Whether no connection is open, so that a request must open one."""
        self._close_expired()
        return self.open_count == 0 and not self._is_closed

    async def warm(self) -> None:
        """Opens a connection in advance if there is none.

        Raises:
          ConnectError: No connection could be opened in time.
        """
        if self.is_cold:
            self.release(await self._open())

    def _close_expired(self) -> None:
        now_s = time.monotonic()
        for connection in list(self._idle):
            idle_s = now_s - connection.idle_since_s
            if connection.is_usable and idle_s < _idle_limit_s(connection):
                continue
            self._idle.remove(connection)
            connection.close()
            self.open_count -= 1

    def release(self, connection: connection_lib.Connection) -> None:
        """Returns a connection to the pool, which closes it if not reusable."""
        self._record_exchange(connection)
        if (
            connection.was_silent
            and connection.exchange_s >= SILENT_EXCHANGE_MIN_S
        ):
            start_s = connection.idle_since_s - connection.exchange_s
            self._close_idle_since_before(start_s)
        is_surplus = self.open_count > self.limit
        if connection.is_usable and not self._is_closed and not is_surplus:
            self._idle.append(connection)
        else:
            connection.close()
            self.open_count -= 1
        self._wake_next_waiter()

    def _close_idle_since_before(self, time_s: float) -> None:
        """Closes the idle connections that nothing has come over since then.

        Whatever silenced one connection to the target may have silenced these
        as well. Each of them would cost the next request a timeout.
        """
        for connection in list(self._idle):
            if connection.idle_since_s < time_s:
                self._idle.remove(connection)
                connection.close()
                self.open_count -= 1

    def close_surplus(self) -> None:
        """Closes idle connections above the limit after it was lowered."""
        while self._idle and self.open_count > self.limit:
            self._idle.pop(0).close()
            self.open_count -= 1

    def close(self) -> None:
        """Closes idle connections now and others once they are released."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()
            self.open_count -= 1
        self.withdraw_waiting()

    def withdraw_waiting(self) -> None:
        """Ends `acquire` for all requests that have no connection yet."""
        self._withdrawal_count += 1
        while len(self._waiters):
            if not self._wake_next_waiter():
                return

    def _wake_next_waiter(self) -> bool:
        """Wakes the waiting request that goes next; returns whether one did."""
        waiter = self._waiters.pop(time.monotonic(), self._usual_exchange_s)
        if waiter is None:
            return False
        waiter.granted.set_result(None)
        return True

    def _record_exchange(self, connection: connection_lib.Connection) -> None:
        elapsed_s = connection.exchange_s
        # The time of an incomplete exchange is a lower bound of its duration.
        if connection.is_usable or elapsed_s > self._usual_exchange_s:
            difference_s = elapsed_s - self._usual_exchange_s
            self._usual_exchange_s += EXCHANGE_WEIGHT * difference_s

    def _pop_idle(
        self, *, fresh_only: bool
    ) -> connection_lib.Connection | None:
        now_s = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            limit_s = (
                FRESH_IDLE_MAX_S if fresh_only else _idle_limit_s(connection)
            )
            if connection.is_usable and idle_s < limit_s:
                return connection
            connection.close()
            self.open_count -= 1
        return None

    async def _open(self) -> connection_lib.Connection:
        self.open_count += 1
        loop = asyncio.get_running_loop()
        with contextlib.ExitStack() as stack:
            stack.callback(self._release_slot)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, protocol = await loop.create_connection(
                        lambda: connection_lib.Connection(
                            self._request_id_header, self._memory
                        ),
                        self._host,
                        self._port,
                    )
            except (TimeoutError, OSError) as error:
                raise ConnectError(type(error).__name__) from error
            stack.pop_all()
        return protocol

    def _release_slot(self) -> None:
        self.open_count -= 1
        self._wake_next_waiter()


def _idle_limit_s(connection: connection_lib.Connection) -> float:
    if connection.idle_limit_s is None:
        return IDLE_LIMIT_DEFAULT_S
    return IDLE_USABLE_RATIO * connection.idle_limit_s
