"""Probes draining targets to learn when they serve again.

A draining target gets no requests, so no reply would ever report its return.
Its owner therefore sends probes, within its own share of connections, and
gossip spreads the reported state to the other instances.
"""

import asyncio
import itertools
import time

import msgspec

from lycheerock._internal.dispatch import dispatcher as dispatcher_lib
from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.dispatch import work as work_lib

STATE_PATH = "/v1/state"
PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 1.0


async def run(
    dispatcher: dispatcher_lib.Dispatcher,
    states: target_states_lib.TargetStates,
    attempt_prefix: str,
) -> None:
    """Periodically probes the draining targets that this instance owns.

    Runs until cancelled.

    Args:
      dispatcher: Sends the probes and records the reports in their replies.
      states: Latest known states of the targets.
      attempt_prefix: Prefix of attempt ids; contains instance and incarnation.
    """
    for number in itertools.count(1):
        await asyncio.sleep(PROBE_PERIOD_S)
        probes = [
            dispatcher.submit_direct(
                _probe(report.target_id, f"{attempt_prefix}.state.{number:x}")
            )
            for report in states.reports()
            if states.is_draining(report.target_id)
            and dispatcher.is_owner(report.target_id)
        ]
        if probes:
            await asyncio.wait(probes)


def _probe(target_id: str, attempt_id: str) -> work_lib.TargetRequest:
    return work_lib.TargetRequest(
        attempt_id=attempt_id,
        caller="",
        service="",
        target_id=target_id,
        path=STATE_PATH,
        body=msgspec.json.encode({"attempt_id": attempt_id}),
        deadline_s=time.monotonic() + PROBE_TIMEOUT_S,
        idempotent=True,
        is_probe=True,
    )
