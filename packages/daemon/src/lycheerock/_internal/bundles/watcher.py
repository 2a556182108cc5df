"""Learns the bundle in force from the platform."""

import asyncio

import msgspec
import structlog

from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import bundle_check
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

POLL_PERIOD_S = 1.0


async def run(
    platform: client_lib.PlatformClient, store: store_lib.BundleStore
) -> None:
    """Reads the bundle in force again and again until cancelled."""
    while True:
        try:
            await _refresh(platform, store)
        except exceptions.LycheerockError as error:
            _LOG.warning("bundle_refresh_failed", error=str(error))
        await asyncio.sleep(POLL_PERIOD_S)


async def _refresh(
    platform: client_lib.PlatformClient, store: store_lib.BundleStore
) -> None:
    rollout = await platform.get("rollout", "current")
    if rollout is None or rollout.value["in_force"] <= store.number:
        return
    found = await platform.get("bundles", str(rollout.value["in_force"]))
    if found is None:
        return
    bundle = bundle_check.load(msgspec.json.encode(found.value))
    if store.put_in_force(bundle):
        _LOG.info("bundle_in_force", number=bundle.number)
