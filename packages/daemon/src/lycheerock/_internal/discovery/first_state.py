"""Waiting for the first state after a start."""

import asyncio
import contextlib


async def wait(is_known: asyncio.Event, limit_s: float) -> None:
    """Waits until a state is known.

    Args:
      is_known: Set once the state is known.
      limit_s: Maximum time to wait.
    """
    if is_known.is_set():
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await is_known.wait()
