"""Tracks the connections to one target and detects silent ones.

A connection is silent if it is still open but no more bytes arrive on it.
"""

from collections.abc import Iterator
import dataclasses
import enum


class ConnectionState(enum.Enum):
    """State of a connection; in each state it counts as open."""

    IDLE = "idle"
    BUSY = "busy"
    CLOSING = "closing"


class AbortReason(enum.Enum):
    """Why a request in flight is aborted and its connection closed."""

    DEADLINE = "deadline passed"
    SILENT = "silent connection"


@dataclasses.dataclass(frozen=True)
class ConnectionTimeouts:
    """Timeouts for reusing and aborting connections.

    Attributes:
      silent_after_ms: Time without progress after which a connection counts
        as silent if the target replies on other connections.
      progress_timeout_ms: Time without progress after which a connection
        counts as silent in any case.
      verified_for_ms: Time after a reply during which a connection may be
        reused for a non-idempotent request.
    """

    silent_after_ms: int = 300
    progress_timeout_ms: int = 10_000
    verified_for_ms: int = 500


@dataclasses.dataclass(eq=False)
class ConnectionRecord:
    """State of one connection and of the request assigned to it.

    Attributes:
      connection_id: Identifies the connection within its pool.
      state: Whether it is idle, busy or closing.
      idempotent: Whether its request may be sent again.
      deadline_s: Deadline of its request, monotonic time.
      started_s: When its request was assigned, monotonic time.
      no_progress_s: Time without progress while this process was running.
      is_new: Whether its request is the first on the connection.
      no_other_replied: Whether no other connection has received a reply since
        this one last made progress.
      last_reply_s: When its last reply was complete, monotonic time.
    """

    connection_id: int
    state: ConnectionState = ConnectionState.BUSY
    idempotent: bool = True
    deadline_s: float = 0.0
    started_s: float = 0.0
    no_progress_s: float = 0.0
    is_new: bool = True
    no_other_replied: bool = True
    last_reply_s: float = float("-inf")


class ConnectionTable:
    """Tracks all connections of this instance to one target."""

    def __init__(self, timeouts: ConnectionTimeouts):
        self._timeouts = timeouts
        self._connections: dict[int, ConnectionRecord] = {}
        self._unanswered_since_s = float("-inf")
        self._next_id = 1

    def __len__(self) -> int:
        return len(self._connections)

    def count(self, state: ConnectionState) -> int:
        """Returns the number of connections in a state."""
        return sum(
            connection.state == state
            for connection in self._connections.values()
        )

    def choose(self, replied_since_s: float, share: int) -> int | None:
        """Chooses the connection for the next request.

        Args:
          replied_since_s: Only a connection whose last reply arrived at or
            after this monotonic time is reused.
          share: Maximum number of open connections.

        Returns:
          The id of an idle connection, an unused id if a connection is to be
          opened, or None if the request must wait for a connection to close.
        """
        idle = self._idle()
        if idle:
            best = max(idle, key=lambda connection: connection.last_reply_s)
            if best.last_reply_s >= replied_since_s:
                return best.connection_id
        if len(self._connections) < share:
            self._next_id += 1
            return self._next_id - 1
        return None

    def verified_since_s(self, now_s: float) -> float:
        """Returns the time since which a connection must have replied.

        It applies to bookings, which cannot be resent if the connection turns
        out silent. What silences one connection to a target often silences all
        of them, so a request that ended without a reply counts as well.
        """
        return max(
            now_s - self._timeouts.verified_for_ms / 1000,
            self._unanswered_since_s,
        )

    def record_unanswered(self, connection_id: int) -> None:
        """Records that the request on a connection ends without a reply."""
        self._unanswered_since_s = max(
            self._unanswered_since_s,
            self._connections[connection_id].started_s,
        )

    def oldest_idle(self) -> int | None:
        """Returns the idle connection whose last reply is the oldest."""
        idle = self._idle()
        if not idle:
            return None
        return min(
            idle, key=lambda connection: connection.last_reply_s
        ).connection_id

    def _idle(self) -> list[ConnectionRecord]:
        connections = self._connections.values()
        return [
            connection
            for connection in connections
            if connection.state == ConnectionState.IDLE
        ]

    def _busy(self) -> list[ConnectionRecord]:
        connections = self._connections.values()
        return [
            connection
            for connection in connections
            if connection.state == ConnectionState.BUSY
        ]

    def assign(
        self,
        connection_id: int,
        *,
        idempotent: bool,
        deadline_s: float,
        now_s: float,
    ) -> bool:
        """Assigns a request to a connection, which becomes busy.

        Returns:
          Whether the connection must be opened first.
        """
        is_new = connection_id not in self._connections
        connection = self._connections.setdefault(
            connection_id, ConnectionRecord(connection_id)
        )
        connection.state = ConnectionState.BUSY
        connection.idempotent = idempotent
        connection.deadline_s = deadline_s
        connection.started_s = now_s
        connection.no_progress_s = 0.0
        connection.is_new = is_new
        connection.no_other_replied = True
        return is_new

    def record_progress(self, connection_id: int) -> None:
        """Records that bytes arrived on a connection."""
        connection = self._connections.get(connection_id)
        if connection is not None:
            connection.no_progress_s = 0.0
            connection.no_other_replied = True

    def record_reply(self, connection_id: int, now_s: float) -> None:
        """Records a complete reply; the connection becomes idle."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.state != ConnectionState.BUSY:
            return
        connection.state = ConnectionState.IDLE
        connection.last_reply_s = now_s
        for other in self._busy():
            other.no_other_replied = False

    def mark_closing(self, connection_id: int) -> None:
        """Marks a connection as closing."""
        self._connections[connection_id].state = ConnectionState.CLOSING

    def remove(self, connection_id: int) -> None:
        """Removes a closed connection."""
        self._connections.pop(connection_id, None)

    def unverified(self, connection_id: int) -> list[int]:
        """Returns the idle connections that may be silent like the given one.

        These are the connections without a reply since the request on the
        given connection was assigned.
        """
        since_s = self._connections[connection_id].started_s
        idle = self._idle()
        return [
            connection.connection_id
            for connection in idle
            if connection.last_reply_s < since_s
        ]

    def excess_idle(self, share: int) -> list[int]:
        """Returns the idle connections to close to get down to `share`."""
        idle = sorted(
            self._idle(), key=lambda connection: connection.last_reply_s
        )
        count = (
            len(self._connections) - self.count(ConnectionState.CLOSING) - share
        )
        return [
            connection.connection_id for connection in idle[: max(0, count)]
        ]

    def idle_since(self, cutoff_s: float) -> list[int]:
        """Returns the idle connections last used before `cutoff_s`."""
        idle = self._idle()
        return [
            connection.connection_id
            for connection in idle
            if connection.last_reply_s < cutoff_s
        ]

    def tick(
        self, elapsed_s: float, now_s: float, service_time_s: float
    ) -> Iterator[tuple[int, AbortReason]]:
        """Finds the connections whose requests must be aborted.

        Args:
          elapsed_s: Time since the last call while this process was running.
            Time in which it was frozen must not count, because replies that
            arrived meanwhile have not been read yet.
          now_s: Monotonic time.
          service_time_s: Typical service time; see `silent_after_s`.

        Yields:
          The id of each connection and the reason.
        """
        busy = self._busy()
        silent_after_s = self.silent_after_s(service_time_s)
        for connection in busy:
            connection.no_progress_s += elapsed_s
        # If every busy connection is stalled, no other reply can show that the
        # target still works. One request is then aborted so that it can be
        # resent on a new connection. A request that is the first on its
        # connection is not aborted: the connection was just opened, so the
        # target itself is probably slow.
        all_stalled = all(
            connection.no_progress_s >= silent_after_s for connection in busy
        )
        for connection in sorted(
            busy, key=lambda connection: -connection.no_progress_s
        ):
            is_suspect = (
                connection.idempotent
                and connection.no_progress_s >= silent_after_s
            )
            if connection.idempotent and now_s >= connection.deadline_s:
                yield connection.connection_id, AbortReason.DEADLINE
            elif self._exceeds_progress_timeout(connection, now_s) or (
                is_suspect
                and (
                    not connection.no_other_replied
                    or (all_stalled and not connection.is_new)
                )
            ):
                all_stalled = False
                yield connection.connection_id, AbortReason.SILENT

    def silent_after_s(self, service_time_s: float) -> float:
        """Returns the time without progress that makes a connection suspect.

        A straggler takes about twenty times the typical service time and must
        not be mistaken for a silent connection.
        """
        return max(self._timeouts.silent_after_ms / 1000, 25.0 * service_time_s)

    def _exceeds_progress_timeout(
        self, connection: ConnectionRecord, now_s: float
    ) -> bool:
        # A booking cannot be resent, so aborting it before its deadline gains
        # nothing.
        if not connection.idempotent and now_s < connection.deadline_s:
            return False
        return (
            connection.no_progress_s
            >= self._timeouts.progress_timeout_ms / 1000
        )
