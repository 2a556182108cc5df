"""Limits the connections of callers and what their requests hold."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Sequence
import dataclasses
import enum
import http
import os
import time
from typing import Any

import structlog

from lycheerock._internal.ingress import distance as distance_lib
from lycheerock._internal.ingress import framing as framing_lib
from lycheerock._internal.ingress import turns as turns_lib
from lycheerock._internal.routing import table

_LOG = structlog.get_logger()

# At most one log line for each reason is written in this time.
LOG_INTERVAL_S = 1.0

# Share of the machine's memory that unfinished requests may hold, and share
# that open connections may use in addition.
HELD_MEMORY_RATIO = 0.1
CONNECTION_MEMORY_RATIO = 0.1
# Memory of one idle connection in this process.
CONNECTION_BYTES = 24_000
# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
# Share of the other descriptors for callers; targets need the rest.
CALLER_FDS_RATIO = 0.5
# Assumed where the kernel sets no limit.
FDS_UNLIMITED = 1_048_576
CONNECTIONS_MIN = 64
HELD_MIN_BYTES = 4_194_304
# Requests that hold more than this may use only a share of the memory, so that
# large requests leave room for ordinary ones.
SMALL_REQUEST_BYTES = 32_768
LARGE_REQUESTS_RATIO = 0.8


class Activity(enum.Enum):
    """What a caller's connection is used for."""

    # No byte of a request has arrived since the last response.
    IDLE = enum.auto()
    # A request has begun to arrive and is incomplete.
    INCOMPLETE = enum.auto()
    # A complete request is being handled.
    RUNNING = enum.auto()
    # The same, and bytes of the next request have arrived.
    RUNNING_AHEAD = enum.auto()


_UNFINISHED = (Activity.INCOMPLETE, Activity.RUNNING_AHEAD)
_RUNNING = (Activity.RUNNING, Activity.RUNNING_AHEAD)


@dataclasses.dataclass(frozen=True)
class CallerCapacity:
    """Limits on all callers together.

    Attributes:
      connections_max: Maximum number of open connections.
      held_max_bytes: Maximum memory that unfinished requests hold.
    """

    connections_max: int
    held_max_bytes: int


def capacity_of(memory_mb: float, fds_max: int) -> CallerCapacity:
    """Derives the limits from the resources of a machine.

    Args:
      memory_mb: Memory of the machine.
      fds_max: Maximum number of open descriptors, or 0 for the limit that the
        kernel sets for this process.
    """
    if not fds_max:
        # -1 if there is no limit.
        fds_max = os.sysconf("SC_OPEN_MAX")
        if fds_max < 0:
            fds_max = FDS_UNLIMITED
    memory_bytes = memory_mb * 1_000_000
    by_memory = CONNECTION_MEMORY_RATIO * memory_bytes / CONNECTION_BYTES
    by_descriptors = CALLER_FDS_RATIO * max(0, fds_max - RESERVED_FDS)
    return CallerCapacity(
        max(CONNECTIONS_MIN, int(min(by_memory, by_descriptors))),
        max(HELD_MIN_BYTES, int(HELD_MEMORY_RATIO * memory_bytes)),
    )


@dataclasses.dataclass(slots=True)
class _Entry:
    address: str
    changed_s: float
    held_bytes: int = 0
    activity: Activity = Activity.IDLE


class CallerTable:
    """Knows all connections of callers and selects those that must yield.

    The caller of each method ends the selected connections and removes them.

    Attributes:
      capacity: The limits.
      held_bytes: Bytes that all connections hold.
    """

    def __init__(self, capacity: CallerCapacity) -> None:
        self.capacity = capacity
        self.held_bytes = 0
        self._entries: dict[Hashable, _Entry] = {}
        self._count_by_address: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: Hashable, address: str, now_s: float) -> Hashable | None:
        """Adds a new connection.

        Args:
          key: Identifies the connection.
          address: Address of the caller, or an empty string.
          now_s: Monotonic time.

        Returns:
          The connection that must be closed, which is the new one if requests
          run on all others, or None.
        """
        victim = None
        if len(self._entries) >= self.capacity.connections_max:
            victim = self._select_connection(now_s) or key
        self._entries[key] = _Entry(address, now_s)
        self._count_by_address[address] += 1
        return victim

    def _select_connection(self, now_s: float) -> Hashable | None:
        """Selects a connection on which no complete request runs.

        A single address with many connections yields before others. A new
        connection yields last, since its request may be on its way.
        """
        counts = self._count_by_address

        def rank(item: tuple[Hashable, _Entry]) -> tuple[int, bool, int, float]:
            entry = item[1]
            return (
                counts[entry.address],
                entry.activity is Activity.INCOMPLETE,
                entry.held_bytes,
                now_s - entry.changed_s,
            )

        candidates = (
            item
            for item in self._entries.items()
            if item[1].activity not in _RUNNING
        )
        found = max(candidates, key=rank, default=None)
        return None if found is None else found[0]

    def has_room(self, key: Hashable, held_bytes: int) -> bool:
        """Returns whether a connection may hold this much."""
        others_bytes = self.held_bytes - self._entries[key].held_bytes
        limit_bytes: float = self.capacity.held_max_bytes
        if held_bytes > SMALL_REQUEST_BYTES:
            limit_bytes *= LARGE_REQUESTS_RATIO
        return others_bytes + held_bytes <= limit_bytes

    def update(
        self, key: Hashable, held_bytes: int, activity: Activity, now_s: float
    ) -> Sequence[Hashable]:
        """Records what a connection holds.

        Args:
          key: Identifies the connection.
          held_bytes: Bytes that it holds now.
          activity: What it is used for.
          now_s: Monotonic time.

        Returns:
          Connections whose incomplete requests must be ended, so that the rest
          stays within the limit. Those that hold most are selected.
        """
        entry = self._entries.get(key)
        if entry is None:
            return ()
        self.held_bytes += held_bytes - entry.held_bytes
        entry.held_bytes = held_bytes
        if activity is not entry.activity:
            entry.activity = activity
            entry.changed_s = now_s
        excess_bytes = (
            self.held_bytes
            - LARGE_REQUESTS_RATIO * self.capacity.held_max_bytes
        )
        if excess_bytes <= 0:
            return ()
        # Small ones yield only beyond the whole limit.
        small_excess_bytes = self.held_bytes - self.capacity.held_max_bytes
        candidates = sorted(
            (
                (item.held_bytes, number, other)
                for number, (other, item) in enumerate(self._entries.items())
                if item.activity in _UNFINISHED and item.held_bytes
            ),
            reverse=True,
        )
        victims = []
        for size_bytes, _, other in candidates:
            if size_bytes <= SMALL_REQUEST_BYTES:
                excess_bytes = min(excess_bytes, small_excess_bytes)
            if excess_bytes <= 0:
                break
            victims.append(other)
            excess_bytes -= size_bytes
            small_excess_bytes -= size_bytes
        return victims

    def remove(self, key: Hashable) -> None:
        """Removes a connection that was closed."""
        entry = self._entries.pop(key, None)
        if entry is None:
            return
        self.held_bytes -= entry.held_bytes
        self._count_by_address[entry.address] -= 1
        if not self._count_by_address[entry.address]:
            del self._count_by_address[entry.address]

    def describe(self) -> dict[str, int]:
        """Returns the totals for the state dump."""
        activities = collections.Counter(
            entry.activity for entry in self._entries.values()
        )
        return {
            "connections": len(self._entries),
            "connections_max": self.capacity.connections_max,
            "addresses": len(self._count_by_address),
            "most_of_one_address": max(
                self._count_by_address.values(), default=0
            ),
            "incomplete_requests": activities[Activity.INCOMPLETE],
            "running_requests": activities[Activity.RUNNING]
            + activities[Activity.RUNNING_AHEAD],
            "held_bytes": self.held_bytes,
            "held_max_bytes": self.capacity.held_max_bytes,
        }


class IngressGate:
    """Limits, totals and counters that all connections of callers share.

    Attributes:
      table: Open connections and what they hold.
      distance: Estimate of the network distance of callers.
      turns: Connections with chunked input that waits for its examination.
      refused: Number of refused requests and closed connections by reason.
    """

    def __init__(
        self,
        current_limits: Callable[[], table.CallerLimits],
        capacity: CallerCapacity,
    ) -> None:
        self._current_limits = current_limits
        self.table = CallerTable(capacity)
        self.distance = distance_lib.CallerDistance()
        self.turns = turns_lib.TurnQueue()
        self.refused: collections.Counter[str] = collections.Counter()
        # Derived anew only when the configuration changes.
        self._known_limits: table.CallerLimits | None = None
        self._framing_limits = framing_lib.FramingLimits()
        self._logged_s: dict[str, float] = {}
        self._unlogged: collections.Counter[str] = collections.Counter()

    @property
    def caller_limits(self) -> table.CallerLimits:
        """Limits of the configuration in force."""
        return self._current_limits()

    @property
    def framing_limits(self) -> framing_lib.FramingLimits:
        """Limits on one request."""
        limits = self._current_limits()
        if limits is not self._known_limits:
            self._known_limits = limits
            self._framing_limits = framing_lib.FramingLimits(
                limits.header_size_max_bytes, limits.body_size_max_bytes
            )
        return self._framing_limits

    def count_refusal(self, reason: str, status: int, address: str) -> None:
        """Counts a refusal and logs it at a bounded rate.

        Args:
          reason: Reason, of a fixed set.
          status: Status of the response, or 0 if the connection is closed
            without one.
          address: Address of the caller.
        """
        self.refused[reason] += 1
        self._unlogged[reason] += 1
        now_s = time.monotonic()
        if now_s - self._logged_s.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[reason] = now_s
        _LOG.warning(
            "caller_refused",
            reason=reason,
            status=status,
            address=address,
            count=self._unlogged.pop(reason),
            connections=len(self.table),
            held_bytes=self.table.held_bytes,
        )

    def describe(self) -> dict[str, Any]:
        """Returns the state as JSON-compatible values for the state dump."""
        round_trip_s = self.distance.round_trip_s
        return self.table.describe() | {
            "refused": dict(self.refused),
            "round_trip_ms": (
                None if round_trip_s is None else round(round_trip_s * 1000, 2)
            ),
            "loop_lag_ms": round(self.distance.lag.lag_s * 1000, 2),
            "margin_new_ms": round(
                1000
                * self.distance.margin_s(is_new=True, own_round_trip_s=None),
                2,
            ),
            "margin_kept_ms": round(
                1000
                * self.distance.margin_s(is_new=False, own_round_trip_s=None),
                2,
            ),
        }


class RequestRefusedError(Exception):
    """The rest of a request is refused while a handler reads its body.

    Attributes:
      status: HTTP status; the request has not run.
      reason: Reason for the log and the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def encode_refusal(refusal: framing_lib.Refusal) -> bytes:
    """Returns the response to a request that ends its connection."""
    body = f"{refusal.reason}\n".encode()
    phrase = http.HTTPStatus(refusal.status).phrase
    head = (
        f"HTTP/1.1 {refusal.status} {phrase}\r\n"
        "Content-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
