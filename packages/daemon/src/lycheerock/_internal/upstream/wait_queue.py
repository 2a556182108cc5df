"""Order in which requests get the connections of a busy target."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """A request that waits for a connection.

    Attributes:
      granted: Completed when the request may take a connection.
      useful_until_s: Monotonic time after which its reply is of little use.
    """

    granted: asyncio.Future[None]
    useful_until_s: float


class WaitQueue:
    """Requests that wait for a connection to one target.

    Requests whose replies can still be in time go first, in the order of their
    arrival. If all went in this order, a target that has been overloaded for a
    moment would from then on run only requests that have waited too long, and
    would stay overloaded although it could serve all new ones in time.
    """

    def __init__(self) -> None:
        self._waiters: dict[Waiter, None] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Appends a request."""
        self._waiters[waiter] = None

    def discard(self, waiter: Waiter) -> None:
        """Removes a request that no longer waits."""
        self._waiters.pop(waiter, None)

    def pop(self, now_s: float, exchange_s: float) -> Waiter | None:
        """Removes and returns the request that goes next, if any waits.

        Args:
          now_s: Current monotonic time.
          exchange_s: Usual time from sending a request to its reply.
        """
        waiting = [w for w in self._waiters if not w.granted.done()]
        in_time_s = now_s + exchange_s
        chosen = next(
            (w for w in waiting if w.useful_until_s >= in_time_s),
            waiting[0] if waiting else None,
        )
        if chosen is not None:
            self.discard(chosen)
        return chosen
