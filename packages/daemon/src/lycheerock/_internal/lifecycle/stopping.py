"""The planned stop."""

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

# A reply for a peer is done when it is queued for the peer's stream; this is
# many times what the stream needs to write it.
REPLY_WRITE_S = 0.3


@dataclasses.dataclass(frozen=True)
class Steps:
    """What the planned stop does to the other parts.

    Attributes:
      announce_leaving: Tells the members that owners must move away.
      close_callers: Stops listening for connections of callers.
      announce_left: Tells the members that this process ends.
      close_peers: Stops the server for peers once its calls have ended.
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
    """Ends admission and waits until nothing is in flight.

    Args:
      state: Phase of the process.
      in_flight: Requests in flight.
      balancer_notice_s: Time for which requests are still admitted.
      steps: Actions on the other parts.
    """
    state.phase = phase_lib.Phase.NOTICE
    notice = asyncio.create_task(asyncio.sleep(balancer_notice_s))
    await steps.announce_leaving()
    await notice
    await steps.close_callers()
    state.phase = phase_lib.Phase.CLOSED
    while True:
        await in_flight.wait_empty()
        await asyncio.sleep(REPLY_WRITE_S)
        if not len(in_flight):
            break
    await steps.announce_left()
    await steps.close_peers()


def cut(in_flight: in_flight_lib.InFlight, reason: str) -> NoReturn:
    """Ends the process at once and logs what was cut.

    Nothing runs between the list and the end, so that the list is exact.

    Args:
      in_flight: Requests in flight.
      reason: Why the stop was not waited for.
    """
    _LOG.error(
        "stop_cut_short",
        reason=reason,
        requests=[dataclasses.asdict(r) for r in in_flight.requests()],
    )
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(1)
