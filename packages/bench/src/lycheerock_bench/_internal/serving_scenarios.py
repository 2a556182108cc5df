"""Scenarios that inject faults while the serving path is under load."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import signal
from typing import Any

from lycheerock_bench import harness

FaultInjector = Callable[[harness.Deployment], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One scenario of the serving measurement.

    Attributes:
      name: Name on the command line and in the table.
      inject: Injects the fault.
      is_steady: Whether the fault is injected before the warm-up, so that its
        onset is not measured.
    """

    name: str
    inject: FaultInjector
    is_steady: bool = False


# Service times are long compared with the processing cost of a request in the
# fake targets, so that this cost does not dominate the latency.
BASE_BEHAVIOUR: dict[str, Any] = {
    "service_time_ms": 8.0,
    "service_time_sigma": 0.3,
    "connect_ms": 6.0,
}
STRAGGLER_FACTOR = 10.0


def _first_targets(deployment: harness.Deployment) -> list[str]:
    services = deployment.bundle["services"]
    return [service["targets"][0]["target_id"] for service in services]


async def _set_behaviour(
    deployment: harness.Deployment, target_ids: list[str], **changes: Any
) -> None:
    behaviour = BASE_BEHAVIOUR | changes
    for target_id in target_ids:
        await deployment.set_target_behaviour(target_id, **behaviour)


async def _healthy(deployment: harness.Deployment) -> None:
    del deployment


async def _straggler(deployment: harness.Deployment) -> None:
    await _set_behaviour(
        deployment,
        _first_targets(deployment),
        slow_ratio=1.0,
        slow_factor=STRAGGLER_FACTOR,
    )


async def _lost_replica(deployment: harness.Deployment) -> None:
    for target_id in _first_targets(deployment):
        deployment.kill(target_id)


async def _cold_start(deployment: harness.Deployment) -> None:
    for target_id in _first_targets(deployment):
        deployment.kill(target_id)
    await asyncio.sleep(1.0)
    for target_id in _first_targets(deployment):
        deployment.start_target(target_id)
    for target_id in _first_targets(deployment):
        await deployment.wait_target(target_id)
        await _set_behaviour(deployment, [target_id], cold_s=3.0)


async def _index_roll(deployment: harness.Deployment) -> None:
    target_ids = [target["target_id"] for target in deployment.targets()]
    for held in ((1, 2), (2,)):
        for target_id in target_ids:
            await _set_behaviour(deployment, [target_id], held={"1": held})
            await asyncio.sleep(3.0 / len(target_ids))


async def _shedding(deployment: harness.Deployment) -> None:
    await _set_behaviour(deployment, _first_targets(deployment), shed_ratio=0.5)


async def _instance_killed(deployment: harness.Deployment) -> None:
    deployment.kill("i0")


async def _instance_frozen(deployment: harness.Deployment) -> None:
    deployment.signal("i0", signal.SIGSTOP)
    await asyncio.sleep(4.0)
    deployment.signal("i0", signal.SIGCONT)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("healthy", _healthy),
        Scenario("straggler", _straggler, is_steady=True),
        Scenario("straggler-onset", _straggler),
        Scenario("lost-replica", _lost_replica),
        Scenario("cold-start", _cold_start),
        Scenario("index-roll", _index_roll),
        Scenario("shedding", _shedding),
        Scenario("instance-killed", _instance_killed),
        Scenario("instance-frozen", _instance_frozen),
    )
}
