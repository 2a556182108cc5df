"""Graceful shutdown of a gateway."""

import asyncio
import time

import structlog

from lycheerock._internal.gateway import running as running_lib
from lycheerock._internal.gateway import server as server_lib

_LOG = structlog.get_logger()

# Time between reporting not ready and closing the listening socket. The load
# balancer checks readiness once a second and opens new connections until two
# checks have failed.
LISTENER_CLOSE_DELAY_S = 2.4

# Time before the forced end of the process at which the remaining connections
# are closed, even if requests are running.
FORCED_EXIT_MARGIN_S = 0.6

# Time before that close at which requests that are still running are answered
# with an error, so that their responses can be written.
RESPONSE_MARGIN_S = 0.2

# Time to receive the first request on the connections that were accepted last.
FIRST_REQUEST_WAIT_S = 0.3

_POLL_INTERVAL_S = 0.05


def respond_by_s(start_s: float, grace_limit_s: float) -> float:
    """Returns the time by which all requests must be answered.

    Args:
      start_s: Monotonic time of the start of the shutdown.
      grace_limit_s: Time until the process is forcibly ended.
    """
    margin_s = FORCED_EXIT_MARGIN_S + RESPONSE_MARGIN_S
    return start_s + max(0.0, grace_limit_s - margin_s)


async def run(
    server: server_lib.GatewayServer,
    requests: running_lib.RunningRequests,
    grace_limit_s: float,
) -> None:
    """Stops serving; running requests complete as far as the time allows.

    Those that do not complete are answered with an error before their
    connections are closed. The instance must already report itself as not
    ready.

    Args:
      server: The server for callers.
      requests: The requests that are being handled.
      grace_limit_s: Time until the process is forcibly ended.
    """
    start_s = time.monotonic()
    requests.respond_by_s = respond_by_s(start_s, grace_limit_s)
    await asyncio.sleep(min(LISTENER_CLOSE_DELAY_S, grace_limit_s / 2))
    await server.close_listener()
    await asyncio.sleep(FIRST_REQUEST_WAIT_S)
    await _close_connections(server, requests.respond_by_s)
    requests.expire()
    await _close_connections(server, requests.respond_by_s + RESPONSE_MARGIN_S)
    _LOG.info(
        "stopped",
        cut_connections=server.connection_count,
        elapsed_ms=round((time.monotonic() - start_s) * 1000),
    )
    await server.close()


async def _close_connections(
    server: server_lib.GatewayServer, end_s: float
) -> None:
    """Closes connections as soon as they have no request, until `end_s`."""
    while server.connection_count and time.monotonic() < end_s:
        server.close_idle()
        await asyncio.sleep(_POLL_INTERVAL_S)
