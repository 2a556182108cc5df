"""Steps for draining and restarted targets."""

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


async def _request_count(context: Any, target: str) -> int:
    counts = await context.deployment.target_counts(target)
    requests: int = counts["counts"].get("shard_requests", 0)
    return requests


@when('target "{target}" starts draining')
def start_drain(context: Any, target: str) -> None:
    """Makes a target refuse new requests as draining."""
    context.loop.run_until_complete(
        context.deployment.set_target_behaviour(
            target, state="draining", state_sequence=1
        )
    )
    context.target = target


@when('searches run through "{instance}" until it reports the drain')
def search_until_drain_reported(context: Any, instance: str) -> None:
    """Searches until the instance reports the target as leaving."""

    async def search_until_reported() -> None:
        while not await _is_leaving(context, instance, context.target):
            await context.deployment.search(instance, SERVICE)

    context.loop.run_until_complete(search_until_reported())


@step('every instance reports target "{target}" as leaving')
def check_leaving(context: Any, target: str) -> None:
    """Waits until all instances report the target as leaving."""

    async def wait_until_reported() -> None:
        for instance in context.deployment.settings:
            while not await _is_leaving(context, instance, target):
                await asyncio.sleep(0.05)

    context.loop.run_until_complete(wait_until_reported())


@then('{count:d} searches through all instances send no requests to "{target}"')
def check_no_requests(context: Any, count: int, target: str) -> None:
    """Checks that searches don't change the target's request count."""

    async def compare_counts() -> tuple[int, int]:
        before = await _request_count(context, target)
        instances = list(context.deployment.settings)
        for number in range(count):
            context.answer = await context.deployment.search(
                instances[number % len(instances)], SERVICE
            )
        return before, await _request_count(context, target)

    before, after = context.loop.run_until_complete(compare_counts())
    assert after == before, (before, after)


@then("the last search covers all {count:d} shards")
def check_last_answer(context: Any, count: int) -> None:
    """Checks that the other replicas cover the target's shards."""
    assert len(context.answer["covered"]) == count, context.answer


@when('the process of target "{target}" is restarted')
def restart_target(context: Any, target: str) -> None:
    """Kills and restarts a target's process and waits until it listens."""
    context.deployment.kill(target)
    context.deployment.start_target(target)
    context.loop.run_until_complete(context.deployment.wait_target(target))


@then('searches through all instances reach "{target}" again')
def check_requests_return(context: Any, target: str) -> None:
    """Checks that a limited number of searches reaches the target again."""

    async def search_until_reached() -> bool:
        instances = list(context.deployment.settings)
        for number in range(2_000):
            instance = instances[number % len(instances)]
            await context.deployment.search(instance, SERVICE)
            if number >= 100 and await _request_count(context, target):
                return True
        return False

    assert context.loop.run_until_complete(search_until_reached())
