"""Messages between the decisions of a port and the task that owns it."""

import dataclasses
from typing import Protocol

from lycheerock._internal.dispatch import connection_table
from lycheerock._internal.dispatch import fair_queue
from lycheerock._internal.dispatch import work as work_lib


@dataclasses.dataclass(frozen=True)
class PortLimits:
    """Limits of one target as seen by this instance.

    Attributes:
      slot_count: Requests in flight at most.
      connection_share: Connections that this instance may open.
      flow_size_max: Waiting requests of one flow at most.
      queue_size_max: Waiting requests at most; a flow without a waiting request
        may always add one, and the bundle bounds the number of flows.
    """

    slot_count: int
    connection_share: int
    flow_size_max: int = 256
    queue_size_max: int = 2_048

    @property
    def ceiling(self) -> int:
        """Greatest limit of requests in flight."""
        return min(self.slot_count, self.connection_share)


class Reply(Protocol):
    """The future that takes a result."""

    def done(self) -> bool:
        """Whether it has a result or was cancelled."""
        ...


@dataclasses.dataclass(eq=False)
class Entry:
    """One request and the future of its result.

    Attributes:
      work: The request.
      reply: Takes the result.
      was_resent: Whether a silent connection caused a second send.
    """

    work: work_lib.Work
    reply: Reply
    was_resent: bool = False

    @property
    def flow(self) -> fair_queue.Flow:
        """Flow of the request in the queue."""
        return (self.work.service, self.work.caller)


@dataclasses.dataclass(frozen=True)
class Start:
    """Send a request on a lane."""

    entry: Entry
    lane_id: int
    opens: bool


@dataclasses.dataclass(frozen=True)
class Finish:
    """Give a request its result; nothing was sent."""

    entry: Entry
    result: work_lib.Result


@dataclasses.dataclass(frozen=True)
class Close:
    """Close the connection of an idle lane."""

    lane_id: int


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Close the connection of a busy lane."""

    lane_id: int
    verdict: connection_table.Verdict


Action = Start | Finish | Close
