"""Spreads work of many connections over iterations of the event loop."""

import asyncio
from collections.abc import Callable


class TurnQueue:
    """Runs one waiting call in each iteration of the event loop.

    The work of one iteration then does not grow with the number of connections
    that wait.
    """

    def __init__(self) -> None:
        # In the order of their addition; the values are not used.
        self._waiting: dict[Callable[[], None], None] = {}
        self._is_scheduled = False

    def add(self, call: Callable[[], None]) -> None:
        """Adds a call, which runs in a later iteration."""
        self._waiting[call] = None
        self._schedule()

    def remove(self, call: Callable[[], None]) -> None:
        """Removes a call that may be waiting."""
        self._waiting.pop(call, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        call = next(iter(self._waiting))
        del self._waiting[call]
        self._schedule()
        call()
