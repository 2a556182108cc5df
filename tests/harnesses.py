"""Runs tests in worlds of their own."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol
from typing import TypeVar


class World(Protocol):
    """What a test needs around it."""

    async def open(self) -> None:
        """Starts the parts of the world."""

    async def close(self) -> None:
        """Ends them, also after a test that failed."""


W = TypeVar("W", bound=World)


def run_with(world: W, test: Callable[[W], Awaitable[None]]) -> None:
    """Runs a test in a world that is opened before and closed after it."""

    async def run() -> None:
        await world.open()
        try:
            await test(world)
        finally:
            await world.close()

    asyncio.run(run())
