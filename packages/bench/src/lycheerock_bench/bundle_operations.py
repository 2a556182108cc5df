"""Proposes, signs and rolls out bundles in a local deployment."""

import asyncio
from collections.abc import Iterable
import time
from typing import Any

import aiohttp

from lycheerock_bench import harness

AUTHOR = "operator-a"
SIGNER = "operator-b"
WAIT_LIMIT_S = 60.0
POLL_PERIOD_S = 0.05


async def propose(
    deployment: harness.Deployment,
    instance_id: str,
    operator: str = AUTHOR,
    number: int = 0,
) -> Any:
    """Proposes the deployment's bundle and returns the reply.

    Args:
      deployment: The deployment.
      instance_id: Instance that receives the proposal.
      operator: Name of the operator who proposes the bundle.
      number: Number to request, or 0 for one above the highest.

    Returns:
      The reply as a JSON value.
    """
    body = {
        "operator": operator,
        "bundle": {**deployment.bundle, "number": number},
    }
    return await deployment.ops(instance_id, "/ops/bundles", "POST", body)


async def sign(
    deployment: harness.Deployment,
    instance_id: str,
    number: int,
    operator: str = SIGNER,
) -> Any:
    """Signs off a bundle and returns the reply."""
    path = f"/ops/bundles/{number}/sign"
    return await deployment.ops(
        instance_id, path, "POST", {"operator": operator}
    )


async def request_rollout(
    deployment: harness.Deployment, instance_id: str, number: int, **extra: Any
) -> Any:
    """Asks an instance to coordinate a rollout and returns the reply."""
    body = {"operator": AUTHOR, "number": number, **extra}
    return await deployment.ops(instance_id, "/ops/rollout", "POST", body)


async def propose_and_sign(
    deployment: harness.Deployment, instance_id: str
) -> int:
    """Proposes and signs a bundle and returns its number."""
    proposed = await propose(deployment, instance_id)
    number: int = proposed["number"]
    signed = await sign(deployment, instance_id, number)
    if "error" in signed:
        raise RuntimeError(str(signed))
    return number


async def read_state(deployment: harness.Deployment, instance_id: str) -> Any:
    """Returns the `bundles` section of an instance's state dump."""
    return (await deployment.ops(instance_id, "/ops/state"))["bundles"]


async def wait_for(
    deployment: harness.Deployment,
    instance_ids: Iterable[str],
    **expected: Any,
) -> dict[str, Any]:
    """Waits until the bundle states of instances have the expected values.

    Args:
      deployment: The deployment.
      instance_ids: Instances to wait for.
      **expected: Expected values by key of the `bundles` section.

    Returns:
      The states by instance id.

    Raises:
      TimeoutError: The states did not reach the expected values in time; the
        message contains the last states.
    """
    states: dict[str, Any] = {}
    waiting = set(instance_ids)
    deadline_s = time.monotonic() + WAIT_LIMIT_S
    while waiting:
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                f"{sorted(waiting)} did not reach the expected state: {states}"
            )
        for instance_id in sorted(waiting):
            try:
                state = await read_state(deployment, instance_id)
            except aiohttp.ClientError:
                continue
            states[instance_id] = state
            if all(state[key] == value for key, value in expected.items()):
                waiting.discard(instance_id)
        await asyncio.sleep(POLL_PERIOD_S)
    return states
