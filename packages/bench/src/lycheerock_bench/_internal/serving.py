"""Serves aiohttp applications until SIGTERM or SIGINT."""

import asyncio
from collections.abc import Mapping
import signal

import aiohttp.web


async def serve(apps: Mapping[str, aiohttp.web.Application]) -> None:
    """Serves each application on its address until a signal arrives.

    Args:
      apps: Applications by IP address and port.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    runners = [await _start(address, app) for address, app in apps.items()]
    await stop.wait()
    for runner in runners:
        await runner.cleanup()


async def _start(
    address: str, app: aiohttp.web.Application
) -> aiohttp.web.AppRunner:
    # Cancels a request when its connection is closed, like a real target.
    runner = aiohttp.web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=0.1,
        handler_cancellation=True,
    )
    await runner.setup()
    host, _, port = address.rpartition(":")
    await aiohttp.web.TCPSite(runner, host, int(port)).start()
    return runner
