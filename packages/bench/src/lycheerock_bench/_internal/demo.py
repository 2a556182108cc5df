"""Sends one search and one booking to a local deployment."""

import asyncio
import hashlib
import json
from typing import Any

import aiohttp
import msgspec

from lycheerock_bench._internal import deployments

READY_ATTEMPTS = 100
READY_DELAY_S = 0.1


async def run(
    platform: str, caller_address: str, bundle: dict[str, Any]
) -> int:
    """Installs the bundle, sends a search and a booking and prints the answers.

    Args:
      platform: Address of the platform.
      caller_address: Address of the caller interface of an instance.
      bundle: The bundle to install.

    Returns:
      0 if both requests are done, else 1.
    """
    headers = {"Authorization": f"Bearer {deployments.CALLER_TOKEN}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        await install_bundle(session, platform, bundle)
        search = await _send_search(session, caller_address)
        booking = await _send_booking(session, caller_address)
    print(json.dumps({"search": search, "booking": booking}, indent=2))
    done = all(answer["outcome"] == "done" for answer in (search, booking))
    return 0 if done else 1


async def install_bundle(
    session: aiohttp.ClientSession, platform: str, bundle: dict[str, Any]
) -> None:
    """Stores a first signed bundle on the platform and puts it in force.

    Waits until the platform accepts connections.
    """
    base = f"http://{platform}/objects"
    number = bundle["number"]
    document = {"meta": {"name": str(number)}, "spec": {"bundle": bundle}}
    for _ in range(READY_ATTEMPTS):
        try:
            async with session.post(f"{base}/bundles", json=document):
                break
        except aiohttp.ClientConnectorError:
            await asyncio.sleep(READY_DELAY_S)
    text = msgspec.json.encode(bundle, order="deterministic")
    signoff = {
        "number": number,
        "signer": "local-signer",
        "sha256": hashlib.sha256(text).hexdigest(),
    }
    document = {"meta": {"name": str(number)}, "spec": signoff}
    async with session.post(f"{base}/signoffs", json=document):
        pass
    rollout = {"in_force": number, "staging": 0, "coordinator": "", "epoch": 0}
    document = {"meta": {"name": "current"}, "spec": rollout}
    async with session.post(f"{base}/rollout", json=document):
        pass


async def _send_search(
    session: aiohttp.ClientSession, caller_address: str
) -> Any:
    """Repeats a search until all shards are covered; returns the answer."""
    url = f"http://{caller_address}/v1/services/guest-portal/search"
    for _ in range(READY_ATTEMPTS):
        try:
            async with session.post(url, json={"query": "table"}) as response:
                answer = await response.json()
        except aiohttp.ClientConnectorError:
            answer = {"outcome": "not_run"}
        if answer["outcome"] == "done" and not answer["lacking"]:
            break
        await asyncio.sleep(READY_DELAY_S)
    return answer


async def _send_booking(
    session: aiohttp.ClientSession, caller_address: str
) -> Any:
    async with session.post(f"http://{caller_address}/v1/keys") as response:
        key = (await response.json())["keys"][0]
    async with session.post(
        f"http://{caller_address}/v1/services/guest-portal/run",
        headers={"X-Request-Key": key},
        json={"shard_key": "supper-club-12", "payload": {"seats": 4}},
    ) as response:
        return await response.json()
