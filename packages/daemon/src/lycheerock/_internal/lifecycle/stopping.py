"""Graceful shutdown of the process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import os
import sys
from typing import NoReturn

import structlog

from lycheerock._internal.lifecycle import in_flight as in_flight_lib
from lycheerock._internal.lifecycle import phase as phase_lib

_LOG = structlog.get_logger()

# A request of a peer counts as complete once its reply is queued on the peer's
# stream. This delay is many times longer than the stream takes to write it.
REPLY_WRITE_DELAY_S = 0.3


@dataclasses.dataclass(frozen=True)
class Steps:
    """Actions of the graceful shutdown, in the order in which they run.

    Attributes:
      announce_leaving: Notifies the members that this instance is leaving, so
        that they choose other owners for its targets.
      close_callers: Stops listening for connections from callers.
      announce_left: Notifies the members that this instance has left.
      close_peers: Stops the server for peers, with a grace period for calls.
    """

    announce_leaving: Callable[[], Awaitable[None]]
    close_callers: Callable[[], Awaitable[None]]
    announce_left: Callable[[], Awaitable[None]]
    close_peers: Callable[[], Awaitable[None]]


async def run(
    state: phase_lib.PhaseState,
    in_flight: in_flight_lib.InFlight,
    balancer_notice_s: float,
    steps: Steps,
) -> None:
    """Stops admitting requests and waits until none are in flight.

    Args:
      state: Phase of the process, which is updated.
      in_flight: Requests in flight.
      balancer_notice_s: Time for which new requests are still admitted after
        the readiness check has started to fail.
      steps: Actions on other components.
    """
    state.phase = phase_lib.Phase.NOTICE
    notice_period = asyncio.create_task(asyncio.sleep(balancer_notice_s))
    await steps.announce_leaving()
    await notice_period
    await steps.close_callers()
    state.phase = phase_lib.Phase.CLOSED
    while True:
        await in_flight.wait_empty()
        await asyncio.sleep(REPLY_WRITE_DELAY_S)
        if not len(in_flight):
            break
    await steps.announce_left()
    await steps.close_peers()


def abort(in_flight: in_flight_lib.InFlight, reason: str) -> NoReturn:
    """Ends the process immediately and logs the requests that it aborts.

    No other code runs on the event loop between listing the requests and
    ending the process, so the list is exact.

    Args:
      in_flight: Requests in flight.
      reason: Why the shutdown was not completed.
    """
    _LOG.error(
        "stop_cut_short",
        reason=reason,
        requests=[
            dataclasses.asdict(request) for request in in_flight.requests()
        ],
    )
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(1)
