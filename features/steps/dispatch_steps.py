"""Steps for dispatch under connection, instance and target failures."""

import asyncio
from collections.abc import Coroutine
import itertools
import signal
from typing import Any

from behave import given
from behave import then
from behave import when
import serving_steps

from lycheerock_bench import harness

# Upper bound of the searches until a target of three replicas has answered some
# dozens of them.
SEARCHES_MAX = 2_000


def run(context: Any, coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on the shared event loop and returns its result."""
    return context.loop.run_until_complete(coroutine)


def owner_of(context: Any, target_id: str) -> str:
    """Returns the first owner of a target in the state dump of i0."""
    dump = run(context, context.deployment.ops("i0", "/ops/state"))
    owner: str = dump["targets"][target_id]["owners"][0]
    return owner


@given('a deployment of {count:d} instances in dispatch mode "{mode}"')
def start_in_mode(context: Any, count: int, mode: str) -> None:
    """Starts a deployment whose bundle sets the dispatch mode."""
    deployment = harness.Deployment(
        context.directory, serving_steps.SHAPES, count
    )
    deployment.bundle["dispatch_mode"] = mode
    context.deployment = deployment
    run(context, deployment.start())


@given('each instance has completed a search of "{service}"')
def search_through_all(context: Any, service: str) -> None:
    """Waits for all peer connections and searches through each instance."""
    run(context, _search_through_all(context.deployment, service))


async def _search_through_all(
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


@given(
    'the targets of "{service}" have a median service time of {time_ms:d} ms'
)
def set_service_time(context: Any, service: str, time_ms: int) -> None:
    """Sets the median service time of all targets of a service."""
    for target in context.deployment.targets():
        target_id = target["target_id"]
        if target_id.startswith(service):
            behaviour = context.deployment.set_target_behaviour(
                target_id, service_time_ms=time_ms
            )
            run(context, behaviour)


@when('the open connections to "{target_id}" stop responding')
def silence_connections(context: Any, target_id: str) -> None:
    """Makes the target stop replying on the connections that are open now."""
    deployment = context.deployment
    run(
        context,
        deployment.set_target_behaviour(target_id, silent_connections=True),
    )


@when(
    'a caller searches "{service}" through "{instance}" with a deadline of'
    " {deadline_ms:d} ms"
)
def search_within(
    context: Any, service: str, instance: str, deadline_ms: int
) -> None:
    """Sends one search with a deadline."""
    context.answer = run(
        context,
        context.deployment.search(instance, service, "q", deadline_ms),
    )


@when(
    '{count:d} concurrent bookings of "{service}" are sent through'
    ' "{instances}"'
)
def book_concurrently(
    context: Any, count: int, service: str, instances: str
) -> None:
    """Sends bookings with different shard keys through instances in turn."""
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


@then('every booking ends with "{outcome}" and ran exactly once')
def check_bookings(context: Any, outcome: str) -> None:
    """Checks each booking's outcome and that exactly one target ran it."""
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
    """Checks the peak connection and slot use of each target."""
    counts = _all_counts(context)
    for target in context.deployment.targets():
        usage = counts[target["target_id"]]["counts"]
        assert usage.get("connections_max", 0) <= target["connection_limit"]
        assert usage.get("busy_max", 0) <= target["slot_count"], usage


@when(
    'the owner of "{target_id}" is killed during {count:d} searches of'
    ' "{service}"'
)
def kill_owner(context: Any, target_id: str, count: int, service: str) -> None:
    """Kills the owner once one of the searches has reached the target."""
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
def check_all_coverage(context: Any, covered: int) -> None:
    """Checks how many shards each answer covers."""
    for answer in context.answers:
        assert len(answer["covered"]) == covered, answer


@when('the owner of "{target_id}" is frozen')
def freeze_owner(context: Any, target_id: str) -> None:
    """Suspends the process of the owner."""
    context.frozen = owner_of(context, target_id)
    context.deployment.signal(context.frozen, signal.SIGSTOP)


@when(
    'another instance searches "{service}" for "{query}" with a deadline of'
    " {deadline_ms:d} ms"
)
def search_through_another(
    context: Any, service: str, query: str, deadline_ms: int
) -> None:
    """Searches through an instance that is not frozen."""
    settings = context.deployment.settings
    instance = next(i for i in settings if i != context.frozen)
    context.answer = run(
        context,
        context.deployment.search(instance, service, query, deadline_ms),
    )


@when(
    "the frozen instance resumes and each instance completes a search of "
    '"{service}"'
)
def resume_and_search(context: Any, service: str) -> None:
    """Resumes the instance and waits until it has handled its queued frames.

    By the time it answers a search, it has read the frames that arrived while
    it was frozen.
    """
    context.counts_before = _all_counts(context)
    context.deployment.signal(context.frozen, signal.SIGCONT)
    run(context, _search_through_all(context.deployment, service))


@when(
    'another instance concurrently searches "{service}" for "{query}" and books'
    " {count:d} times with deadlines of {deadline_ms:d} ms"
)
def search_and_book_through_another(
    context: Any, service: str, query: str, count: int, deadline_ms: int
) -> None:
    """Calls an instance that is not frozen; some bookings must be unknown.

    All calls start together, so that none of them can lead the instance to
    prefer replicas that the frozen owner does not own.
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


@then(
    'no target has received a search for "{query}" or run a booking since the'
    " instance resumed"
)
def check_no_expired_requests(context: Any, query: str) -> None:
    """Compares each target's query and run counts with those before."""
    for target_id, after in _all_counts(context).items():
        before = context.counts_before[target_id]
        previous = before["queries"].get(query, 0)
        assert after["queries"].get(query, 0) == previous, target_id
        assert after["runs"] == before["runs"], target_id


@when('"{target_id}" sheds every request during {count:d} searches')
def search_with_shedding(context: Any, target_id: str, count: int) -> None:
    """Makes the target shed and searches through instances in turn."""

    async def search() -> None:
        deployment = context.deployment
        await deployment.set_target_behaviour(target_id, shed_ratio=1.0)
        instances = list(deployment.settings)
        for number in range(count):
            instance = instances[number % len(instances)]
            await deployment.search(instance, "guest-portal", "q", 2_000)

    run(context, search())


@when('"{target_id}" sheds no request until it has answered {count:d} searches')
def search_until_answered(context: Any, target_id: str, count: int) -> None:
    """Searches until the target has answered often enough.

    How many searches that takes depends on the latencies of the other
    replicas. The limit needs 30 replies to grow from 1 to 3; the owner does not
    count those to requests that a search has cancelled meanwhile.
    """

    async def search() -> None:
        deployment = context.deployment
        await deployment.set_target_behaviour(target_id, shed_ratio=0.0)
        instances = itertools.cycle(deployment.settings)
        answered_before = await _answered_count(deployment, target_id)
        for _ in range(SEARCHES_MAX):
            await deployment.search(next(instances), "guest-portal", "q", 2_000)
            answered = await _answered_count(deployment, target_id)
            if answered - answered_before >= count:
                return
        raise AssertionError(f"{target_id} gets too few searches")

    run(context, search())


async def _answered_count(deployment: Any, target_id: str) -> int:
    counts = await deployment.target_counts(target_id)
    return int(counts["counts"].get("shard_served", 0))


@then('the adaptive limit of "{target_id}" at its owner is {limit:d}')
def check_limit(context: Any, target_id: str, limit: int) -> None:
    """Checks the adaptive limit in the owner's state dump."""
    owner = owner_of(context, target_id)
    dump = run(context, context.deployment.ops(owner, "/ops/state"))
    assert dump["targets"][target_id]["limit"] == limit, dump["targets"]
