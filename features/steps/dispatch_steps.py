"""Steps that break connections, instances and targets."""

import asyncio
from collections.abc import Coroutine
import signal
from typing import Any

from behave import given
from behave import then
from behave import when
import serving_steps

from lycheerock_bench import harness


def run(context: Any, coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on the loop of the scenario."""
    return context.loop.run_until_complete(coroutine)


def owner_of(context: Any, target_id: str) -> str:
    """Returns the instance that owns a target."""
    dump = run(context, context.deployment.ops("i0", "/ops/state"))
    owner: str = dump["targets"][target_id]["owners"][0]
    return owner


@given('a deployment of {count:d} instances in mode "{mode}"')
def start_in_mode(context: Any, count: int, mode: str) -> None:
    """Starts a deployment with a dispatch mode."""
    deployment = harness.Deployment(
        context.directory, serving_steps.SHAPES, count
    )
    deployment.bundle["dispatch_mode"] = mode
    context.deployment = deployment
    run(context, deployment.start())


@given('each instance has searched "{service}"')
def search_everywhere(context: Any, service: str) -> None:
    """Searches until each instance answers completely, so that links are up."""
    run(context, _search_everywhere(context.deployment, service))


async def _search_everywhere(
    deployment: harness.Deployment, service: str
) -> None:
    for instance in deployment.settings:
        for peer in (await deployment.ops(instance, "/ops/state"))["peers"]:
            await _wait_for_peer(deployment, instance, peer)
        answer = await deployment.search(instance, service, "first", 20_000)
        assert not answer["lacking"], answer


async def _wait_for_peer(
    deployment: harness.Deployment, instance: str, peer: str
) -> None:
    while True:
        dump = await deployment.ops(instance, "/ops/state")
        if dump["peers"][peer]["ready"]:
            return
        await asyncio.sleep(0.05)


@given('the targets of "{service}" take {time_ms:d} ms')
def slow_down(context: Any, service: str, time_ms: int) -> None:
    """Sets the service time."""
    for target in context.deployment.targets():
        target_id = target["target_id"]
        if target_id.startswith(service):
            behaviour = context.deployment.set_target_behaviour(
                target_id, service_time_ms=time_ms
            )
            run(context, behaviour)


@when('the open connections of "{target_id}" go silent')
def silence(context: Any, target_id: str) -> None:
    """Silences the connections that are open now."""
    deployment = context.deployment
    run(
        context,
        deployment.set_target_behaviour(target_id, silent_connections=True),
    )


@when(
    'a caller searches "{service}" through "{instance}" within {deadline_ms:d}'
    " ms"
)
def search_within(
    context: Any, service: str, instance: str, deadline_ms: int
) -> None:
    """Sends one search with a deadline."""
    context.answer = run(
        context,
        context.deployment.search(instance, service, "q", deadline_ms),
    )


@when('{count:d} bookings run at once on "{service}" through "{instances}"')
def book_many(context: Any, count: int, service: str, instances: str) -> None:
    """Runs bookings on different shards through some instances in turn."""
    names = instances.split()

    async def book(instance: str, number: int) -> tuple[str, Any]:
        deployment = context.deployment
        key = (await deployment.issue_keys(instance))[0]
        shard_key = f"shard-key-{number}"
        return key, await deployment.book(
            instance, service, key, shard_key, 20_000
        )

    async def book_all() -> list[tuple[str, Any]]:
        return await asyncio.gather(
            *(book(names[n % len(names)], n) for n in range(count))
        )

    context.booked = run(context, book_all())


@then('every booking is "{outcome}" and ran once')
def check_bookings(context: Any, outcome: str) -> None:
    """Checks outcomes and runs."""
    counts = _all_counts(context)
    for key, answer in context.booked:
        assert answer["outcome"] == outcome, answer
        assert sum(c["runs"].get(key, 0) for c in counts.values()) == 1


def _all_counts(context: Any) -> dict[str, Any]:
    return {
        target["target_id"]: run(
            context, context.deployment.target_counts(target["target_id"])
        )
        for target in context.deployment.targets()
    }


@then("no target has exceeded its limits")
def check_limits(context: Any) -> None:
    """Checks connections and slots of each target."""
    counts = _all_counts(context)
    for target in context.deployment.targets():
        seen = counts[target["target_id"]]["counts"]
        assert seen.get("connections_max", 0) <= target["connection_limit"]
        assert seen.get("busy_max", 0) <= target["slot_count"], seen


@when(
    'the owner of "{target_id}" is killed during {count:d} searches of'
    ' "{service}"'
)
def kill_owner(context: Any, target_id: str, count: int, service: str) -> None:
    """Kills the owner once the target has a request of the searches."""
    owner = owner_of(context, target_id)
    others = [i for i in context.deployment.settings if i != owner]

    async def kill_during_searches() -> list[Any]:
        deployment = context.deployment
        searches = [
            asyncio.create_task(
                deployment.search(
                    others[n % len(others)], service, "late", 20_000
                )
            )
            for n in range(count)
        ]
        while True:
            counts = await deployment.target_counts(target_id)
            if counts["queries"].get("late", 0):
                break
            await asyncio.sleep(0.01)
        deployment.kill(owner)
        return await asyncio.gather(*searches)

    context.answers = run(context, kill_during_searches())


@then("every answer covers {covered:d} shards")
def check_all_covered(context: Any, covered: int) -> None:
    """Checks the coverage of all answers."""
    for answer in context.answers:
        assert len(answer["covered"]) == covered, answer


@when('the owner of "{target_id}" is frozen')
def freeze_owner(context: Any, target_id: str) -> None:
    """Stops the process of the owner."""
    context.frozen = owner_of(context, target_id)
    context.deployment.signal(context.frozen, signal.SIGSTOP)


@when(
    'another instance searches "{service}" for "{query}" within'
    " {deadline_ms:d} ms"
)
def search_elsewhere(
    context: Any, service: str, query: str, deadline_ms: int
) -> None:
    """Searches through an instance that is not frozen."""
    settings = context.deployment.settings
    instance = next(i for i in settings if i != context.frozen)
    context.answer = run(
        context,
        context.deployment.search(instance, service, query, deadline_ms),
    )


@when('the frozen instance resumes and serves a search of "{service}"')
def resume(context: Any, service: str) -> None:
    """Continues the process; it has read its old frames when it answers."""
    context.counts_before = _all_counts(context)
    context.deployment.signal(context.frozen, signal.SIGCONT)
    run(context, _search_everywhere(context.deployment, service))


@when(
    'another instance searches "{service}" for "{query}" while it books'
    " {count:d} times within {deadline_ms:d} ms"
)
def search_and_book_elsewhere(
    context: Any, service: str, query: str, count: int, deadline_ms: int
) -> None:
    """Calls an instance that is not frozen; some bookings time out.

    All calls start together, before any of them can teach the instance to
    choose other replicas than those of the frozen owner.
    """
    deployment = context.deployment
    instance = next(i for i in deployment.settings if i != context.frozen)

    async def call_all() -> list[str]:
        keys = await deployment.issue_keys(instance, count)
        _, *answers = await asyncio.gather(
            deployment.search(instance, service, query, deadline_ms),
            *(
                deployment.book(instance, service, key, key, deadline_ms)
                for key in keys
            ),
        )
        return [answer["outcome"] for answer in answers]

    assert "unknown" in run(context, call_all())


@then('no target got a search for "{query}" or a booking since the resumption')
def check_no_old_work(context: Any, query: str) -> None:
    """Compares the counters of the query and of bookings."""
    for target_id, after in _all_counts(context).items():
        before = context.counts_before[target_id]
        old = before["queries"].get(query, 0)
        assert after["queries"].get(query, 0) == old, target_id
        assert after["runs"] == before["runs"], target_id


@when('"{target_id}" sheds {share} request during {count:d} searches')
def shed(context: Any, target_id: str, share: str, count: int) -> None:
    """Sets the shed ratio and searches through one instance after another."""
    ratio = {"every": 1.0, "no": 0.0}[share]

    async def search() -> None:
        deployment = context.deployment
        await deployment.set_target_behaviour(target_id, shed_ratio=ratio)
        instances = list(deployment.settings)
        for number in range(count):
            instance = instances[number % len(instances)]
            await deployment.search(instance, "guest-portal", "q", 2_000)

    run(context, search())


@then('the limit of "{target_id}" at its owner is {limit:d}')
def check_limit(context: Any, target_id: str, limit: int) -> None:
    """Checks the adaptive limit in the owner's state dump."""
    owner = owner_of(context, target_id)
    dump = run(context, context.deployment.ops(owner, "/ops/state"))
    assert dump["targets"][target_id]["limit"] == limit, dump["targets"]
