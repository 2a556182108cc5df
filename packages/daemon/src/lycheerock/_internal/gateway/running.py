"""Requests that are being handled, and the end that a stop sets for them."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import structlog

_LOG = structlog.get_logger()


class RunningRequests:
    """Ends requests that are still running when the process must end.

    Attributes:
      respond_by_s: Monotonic time by which all requests must be answered,
        infinite unless the process is stopping.
    """

    def __init__(self) -> None:
        self.respond_by_s = float("inf")
        self._scopes: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def track(self) -> AsyncIterator[asyncio.Timeout]:
        """Makes `expire` raise a TimeoutError from the body.

        The timeout that is returned tells this error from others.
        """
        async with asyncio.timeout(None) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def is_too_late(self, now_s: float, expected_latency_s: float) -> bool:
        """Returns whether a request would probably be ended by `expire`.

        Args:
          now_s: Current monotonic time.
          expected_latency_s: Expected duration of the request.
        """
        return now_s + expected_latency_s > self.respond_by_s

    def expire(self) -> None:
        """Ends all requests that are running."""
        if self._scopes:
            _LOG.warning("requests_expired", count=len(self._scopes))
        now_s = asyncio.get_running_loop().time()
        for scope in self._scopes:
            if not scope.expired():
                scope.reschedule(now_s)
