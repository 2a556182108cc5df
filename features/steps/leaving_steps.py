"""Steps for targets that leave and return."""

import asyncio
from typing import Any

from behave import step
from behave import then
from behave import when

SERVICE = "guest-portal"


async def _is_leaving(context: Any, instance: str, target: str) -> bool:
    listed = await context.deployment.ops(instance, "/ops/targets")
    return any(
        entry["leaving"]
        for entry in listed["targets"]
        if entry["target_id"] == target
    )


async def _requests(context: Any, target: str) -> int:
    counts = await context.deployment.target_counts(target)
    requests: int = counts["counts"].get("shard_requests", 0)
    return requests


@when('target "{target}" starts to drain')
def start_drain(context: Any, target: str) -> None:
    """Lets a target refuse new work."""
    context.loop.run_until_complete(
        context.deployment.set_target_behaviour(
            target, state="draining", state_sequence=1
        )
    )
    context.target = target


@when('searches through "{instance}" have met the drain')
def meet_drain(context: Any, instance: str) -> None:
    """Searches until the instance knows of the drain."""

    async def act() -> None:
        while not await _is_leaving(context, instance, context.target):
            await context.deployment.search(instance, SERVICE)

    context.loop.run_until_complete(act())


@step('every instance reports target "{target}" as leaving')
def check_leaving(context: Any, target: str) -> None:
    """Waits until all instances know of the drain."""

    async def act() -> None:
        for instance in context.deployment.settings:
            while not await _is_leaving(context, instance, target):
                await asyncio.sleep(0.05)

    context.loop.run_until_complete(act())


@then('{count:d} searches through all instances send nothing to "{target}"')
def check_no_work(context: Any, count: int, target: str) -> None:
    """Searches and compares the counters of the target."""

    async def act() -> tuple[int, int]:
        before = await _requests(context, target)
        instances = list(context.deployment.settings)
        for number in range(count):
            context.answer = await context.deployment.search(
                instances[number % len(instances)], SERVICE
            )
        return before, await _requests(context, target)

    before, after = context.loop.run_until_complete(act())
    assert after == before, (before, after)


@then("the last of them covers all {count:d} shards")
def check_last(context: Any, count: int) -> None:
    """Checks that the other replicas cover what the target held."""
    assert len(context.answer["covered"]) == count, context.answer


@when('target "{target}" is restarted by itself')
def restart_target(context: Any, target: str) -> None:
    """Replaces the process of a target and waits until it listens."""
    context.deployment.kill(target)
    context.deployment.start_target(target)
    context.loop.run_until_complete(context.deployment.wait_target(target))


@then('searches through all instances reach "{target}" again')
def check_return(context: Any, target: str) -> None:
    """Searches until the restarted target serves; fails after many tries."""

    async def act() -> bool:
        instances = list(context.deployment.settings)
        for number in range(2_000):
            instance = instances[number % len(instances)]
            await context.deployment.search(instance, SERVICE)
            if number >= 100 and await _requests(context, target):
                return True
        return False

    assert context.loop.run_until_complete(act())
