"""Compares two ways to run a booking at most once.

Variant "platform" is an experiment: it creates an object on the platform for
each key and, if the reply is lost, reads the object back to compare its nonce.
Variant "incarnation" is the method that lycheerock uses: the instance that
issued the key stores the outcome.
"""

import contextlib
import dataclasses
import pathlib
import secrets
from typing import Any

import aiohttp

from lycheerock_bench import harness

SERVICE = "guest-portal"
SHAPES = [harness.ServiceShape(SERVICE, "latency", 3, 6, 2, 3, 30)]
INSTANCE_COUNT = 2
REPLY_LOST_RATIO = 0.1


@dataclasses.dataclass(frozen=True)
class VariantResult:
    """Results of one variant.

    Attributes:
      variant: "platform" or "incarnation".
      writes_per_booking: Platform writes per booking while the platform is up.
      refused_ratio: Share of bookings refused while the platform is down.
      done_ratio: Share of bookings done while the platform is up.
    """

    variant: str
    writes_per_booking: float
    refused_ratio: float
    done_ratio: float


async def run(
    directory: pathlib.Path, booking_count: int
) -> list[VariantResult]:
    """Measures both variants on a local deployment.

    Args:
      directory: Directory for files and logs.
      booking_count: Number of bookings per variant and phase.

    Returns:
      One result per variant.
    """
    deployment = harness.Deployment(directory, SHAPES, INSTANCE_COUNT)
    try:
        await deployment.start()
        return [
            await _measure_variant(deployment, "platform", booking_count),
            await _measure_variant(deployment, "incarnation", booking_count),
        ]
    finally:
        await deployment.stop()


async def _measure_variant(
    deployment: harness.Deployment, variant: str, count: int
) -> VariantResult:
    book = (
        _book_through_platform
        if variant == "platform"
        else _book_through_instance
    )
    await deployment.set_platform_faults(reply_lost_ratio=REPLY_LOST_RATIO)
    writes = (await deployment.platform_counts()).get("write", 0)
    outcomes_while_up = [await book(deployment) for _ in range(count)]
    writes = (await deployment.platform_counts()).get("write", 0) - writes
    await deployment.set_platform_faults(down=True)
    outcomes_while_down = [await book(deployment) for _ in range(count)]
    await deployment.set_platform_faults()
    return VariantResult(
        variant,
        writes / count,
        outcomes_while_down.count("not_run") / count,
        outcomes_while_up.count("done") / count,
    )


async def _book_through_instance(deployment: harness.Deployment) -> str:
    key = (await deployment.issue_keys("i0"))[0]
    answer = await deployment.book("i1", SERVICE, key)
    outcome: str = answer["outcome"]
    return outcome


async def _book_through_platform(deployment: harness.Deployment) -> str:
    key = secrets.token_hex(8)
    if not await _create_key_object(deployment, key):
        return "not_run"
    target = deployment.targets()[0]
    body = {
        "service": SERVICE,
        "shard": "s0",
        "attempt_id": key,
        "request_key": key,
        "payload": {},
    }
    url = f"http://{target['address']}/v1/run"
    async with deployment.session.post(url, json=body) as reply:
        status: str = (await reply.json())["status"]
        return status


async def _create_key_object(deployment: harness.Deployment, key: str) -> bool:
    """Creates the object of a key.

    Returns:
      Whether this call certainly created the object.
    """
    nonce = secrets.token_hex(8)
    url = f"http://{deployment.platform}/objects/keys"
    document = {"meta": {"name": key}, "spec": {"nonce": nonce}}
    try:
        async with deployment.session.post(url, json=document) as reply:
            return reply.status == 200
    except aiohttp.ClientError:
        # The write may have taken effect; the nonce shows whether the stored
        # object comes from this call.
        with contextlib.suppress(aiohttp.ClientError):
            async with deployment.session.get(f"{url}/{key}") as reply:
                stored: Any = await reply.json()
                return bool(stored["spec"]["nonce"] == nonce)
    return False
