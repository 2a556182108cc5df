"""Discovers seeds through the platform's list of instances."""

import asyncio
import random

from returns import result
import structlog

from lycheerock._internal.membership import seeds as seeds_lib
from lycheerock._internal.platform import client as client_lib

_LOG = structlog.get_logger()

READ_PERIOD_S = 30.0
BACKOFF_FIRST_S = 1.0
BACKOFF_MAX_S = 60.0


def backoff_s(failures: int, rng: random.Random) -> float:
    """Returns the backoff after a number of consecutive failed reads.

    Args:
      failures: Number of consecutive failures, at least 1.
      rng: Random number generator for the full jitter, which prevents the
        instances from calling at the same time when an outage ends.
    """
    doubled_s = BACKOFF_FIRST_S * 2.0 ** min(failures - 1, 16)
    return rng.uniform(0.0, min(BACKOFF_MAX_S, doubled_s))


async def run(
    platform: client_lib.PlatformClient,
    seeds: seeds_lib.Seeds,
    rng: random.Random,
) -> None:
    """Reads the list of instances periodically until cancelled."""
    failures = 0
    while True:
        listed = await platform.list_instances()
        if isinstance(listed, result.Failure):
            failures += 1
            _LOG.info("instance_list_failed", error=str(listed.failure()))
            await asyncio.sleep(backoff_s(failures, rng))
            continue
        failures = 0
        entries = listed.unwrap().instances
        seeds.set_listed({i.instance_id: i.peer_address for i in entries})
        await asyncio.sleep(READ_PERIOD_S * rng.uniform(0.5, 1.5))
