"""The planned stop of a gateway."""

import asyncio
import time

import structlog

from lycheerock._internal.gateway import server as server_lib

_LOG = structlog.get_logger()

# The balancer asks once a second and takes an instance out after two misses;
# until then it sends new connections, which are served.
BALANCER_NOTICE_S = 2.4

# Time before the forced end at which requests that still run are cut.
END_MARGIN_S = 0.6

# Time for the first request on a connection that was accepted last.
FIRST_REQUEST_S = 0.3

_POLL_S = 0.05


async def run(server: server_lib.GatewayServer, grace_limit_s: float) -> None:
    """Stops serving without cutting a request, as far as the time allows.

    Readiness must have been withdrawn before.

    Args:
      server: The server for callers.
      grace_limit_s: Time from now until the forced end of the process.
    """
    start_s = time.monotonic()
    end_s = start_s + max(0.0, grace_limit_s - END_MARGIN_S)
    await asyncio.sleep(min(BALANCER_NOTICE_S, grace_limit_s / 2))
    await server.close_listener()
    await asyncio.sleep(FIRST_REQUEST_S)
    while server.connection_count and time.monotonic() < end_s:
        server.close_idle()
        await asyncio.sleep(_POLL_S)
    _LOG.info(
        "stopped",
        cut_connections=server.connection_count,
        elapsed_ms=round((time.monotonic() - start_s) * 1000),
    )
    await server.close()
