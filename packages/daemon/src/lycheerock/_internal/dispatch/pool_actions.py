"""Limits, requests and actions shared by `pool_state` and `target_pool`."""

import dataclasses
from typing import Protocol

from lycheerock._internal.dispatch import connection_table
from lycheerock._internal.dispatch import fair_queue
from lycheerock._internal.dispatch import work as work_lib


@dataclasses.dataclass(frozen=True)
class PoolLimits:
    """Limits that this instance applies to one target.

    Attributes:
      slot_count: Maximum number of requests in flight.
      connection_share: Maximum number of connections that this instance opens.
      flow_size_max: Maximum number of queued requests per flow.
      queue_size_max: Maximum number of queued requests. A flow without a queued
        request may always add one; the bundle bounds the number of flows.
    """

    slot_count: int
    connection_share: int
    flow_size_max: int = 256
    queue_size_max: int = 2_048

    @property
    def ceiling(self) -> int:
        """Upper bound of the adaptive limit on requests in flight."""
        return min(self.slot_count, self.connection_share)


class ResultFuture(Protocol):
    """The part of a future that `pool_state` needs."""

    def done(self) -> bool:
        """Returns whether the future has a result or was cancelled."""
        ...


@dataclasses.dataclass(eq=False)
class PendingRequest:
    """A request without a result yet.

    Attributes:
      work: The request.
      future: Future that receives the result.
      was_resent: Whether the request was queued again after its connection
        turned out to be silent.
    """

    work: work_lib.TargetRequest
    future: ResultFuture
    was_resent: bool = False

    @property
    def flow(self) -> fair_queue.Flow:
        """The flow that the request is queued in."""
        return (self.work.service, self.work.caller)


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a request on a connection.

    Attributes:
      request: The request.
      connection_id: The connection.
      is_new: Whether the connection must be opened first.
    """

    request: PendingRequest
    connection_id: int
    is_new: bool


@dataclasses.dataclass(frozen=True)
class Complete:
    """Complete a request that was not sent."""

    request: PendingRequest
    result: work_lib.TargetResult


@dataclasses.dataclass(frozen=True)
class Close:
    """Close an idle connection."""

    connection_id: int


@dataclasses.dataclass(frozen=True)
class Abort:
    """Abort a request in flight and close its connection."""

    connection_id: int
    reason: connection_table.AbortReason


Action = Send | Complete | Close
