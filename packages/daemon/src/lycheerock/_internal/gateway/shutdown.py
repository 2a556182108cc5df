"""Graceful shutdown of a gateway."""

import asyncio
import time

import structlog

from lycheerock._internal.gateway import server as server_lib

_LOG = structlog.get_logger()

# Time between reporting not ready and closing the listening socket. The load
# balancer checks readiness once a second and opens new connections until two
# checks have failed.
LISTENER_CLOSE_DELAY_S = 2.4

# Time before the forced end of the process at which the remaining connections
# are closed, even if requests are running.
FORCED_EXIT_MARGIN_S = 0.6

# Time to receive the first request on the connections that were accepted last.
FIRST_REQUEST_WAIT_S = 0.3

_POLL_INTERVAL_S = 0.05


async def run(server: server_lib.GatewayServer, grace_limit_s: float) -> None:
    """Stops serving; running requests complete as far as the time allows.

    The instance must already report itself as not ready.

    Args:
      server: The server for callers.
      grace_limit_s: Time until the process is forcibly ended.
    """
    start_s = time.monotonic()
    end_s = start_s + max(0.0, grace_limit_s - FORCED_EXIT_MARGIN_S)
    await asyncio.sleep(min(LISTENER_CLOSE_DELAY_S, grace_limit_s / 2))
    await server.close_listener()
    await asyncio.sleep(FIRST_REQUEST_WAIT_S)
    while server.connection_count and time.monotonic() < end_s:
        server.close_idle()
        await asyncio.sleep(_POLL_INTERVAL_S)
    _LOG.info(
        "stopped",
        cut_connections=server.connection_count,
        elapsed_ms=round((time.monotonic() - start_s) * 1000),
    )
    await server.close()
