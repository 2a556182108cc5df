"""Runs each test with a new test harness."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol
from typing import TypeVar


class Harness(Protocol):
    """Components that run during a test."""

    async def open(self) -> None:
        """Starts all components."""

    async def close(self) -> None:
        """Stops all components, also after a failed test."""


H = TypeVar("H", bound=Harness)


def run_with(harness: H, test: Callable[[H], Awaitable[None]]) -> None:
    """Opens a harness, runs a test with it and closes it in any case."""

    async def run() -> None:
        await harness.open()
        try:
            await test(harness)
        finally:
            await harness.close()

    asyncio.run(run())
