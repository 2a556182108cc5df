"""Coordinates the calls of several followers while the store is unreachable."""

import asyncio
import contextlib

# Maximum time for which a follower relies on another one to find out that the
# store is reachable again.
RELY_MAX_S = 3.0


class StoreProbe:
    """Lets one follower call an unreachable store on behalf of the others.

    Each call is billed, also one that fails. All kinds of objects are in the
    same store, so one of them suffices to find out that it has recovered.
    """

    def __init__(self) -> None:
        self._prober: str | None = None
        self._recovered = asyncio.Event()

    async def wait_to_retry(self, kind: str, delay_s: float) -> None:
        """Waits until a follower should call the store again.

        Args:
          kind: Kind of the follower whose call has failed.
          delay_s: Backoff of the follower that probes the store.
        """
        if self._prober in (None, kind):
            self._prober = kind
            await asyncio.sleep(delay_s)
            return
        recovered = self._recovered
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELY_MAX_S):
                await recovered.wait()

    def record_success(self) -> None:
        """Records that the store is reachable or that a feed replaces it."""
        self._prober = None
        self._recovered.set()
        self._recovered = asyncio.Event()
