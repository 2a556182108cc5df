"""Steps for streams of searches and bookings whose history is checked."""

import copy
import signal
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from lycheerock_bench import bundle_runs
from lycheerock_bench import harness
from lycheerock_bench import history
from lycheerock_bench import streams

SHAPES = [
    harness.ServiceShape("guest-portal", "latency", 3, 6, 2, 3, 30),
    harness.ServiceShape("ronda-app", "coverage", 3, 6, 2, 2, 25),
]
SERVICES = [shape.name for shape in SHAPES]
SEED = 20261204
PHASE_REQUESTS = 60
KILLED_TARGET = "guest-portal-t1"


@given("a deployment of {count:d} instances with separate targets")
def start_separate(context: Any, count: int) -> None:
    """Starts a deployment with one process for each target."""
    deployment = harness.Deployment(context.directory, SHAPES, count)
    context.deployment = deployment
    context.loop.run_until_complete(deployment.start(separate_targets=True))


def _start_stream(context: Any, searchers: int, bookers: int) -> Any:
    context.stream = streams.Stream(context.deployment, SERVICES, SEED)
    context.stream.start(searchers, bookers)
    return context.stream


@when("searches run while the index version and the partition change")
def change_versions(context: Any) -> None:
    """Walks all targets, one by one, through versions and shard maps."""

    async def act() -> None:
        stream = _start_stream(context, 4, 0)
        await stream.wait_for_requests(PHASE_REQUESTS)
        await _hold(context, {1: [1, 2]})
        await _hold(context, {1: [2]})
        bundle = copy.deepcopy(context.deployment.bundle)
        for service in bundle["services"]:
            service["shard_maps"].append(_second_map(service))
        await _put_in_force(context, bundle)
        await _hold(context, {1: [2], 2: [2]})
        await _hold(context, {2: [2, 3]})
        bundle = copy.deepcopy(bundle)
        for service in bundle["services"]:
            del service["shard_maps"][0]
        await _put_in_force(context, bundle)
        context.mark = stream.number
        await stream.wait_for_requests(PHASE_REQUESTS)
        await stream.stop()

    context.loop.run_until_complete(act())


async def _hold(context: Any, held: dict[int, list[int]]) -> None:
    for target in context.deployment.targets():
        await context.deployment.set_target_behaviour(
            target["target_id"], held=held
        )
        await context.stream.wait_for_requests(PHASE_REQUESTS // 4)


def _second_map(service: Any) -> Any:
    """Splits the data into twice as many shards."""
    ids = [target["target_id"] for target in service["targets"]]
    shards = [
        {
            "shard_id": f"r{index}",
            "target_ids": [ids[index % 3], ids[(index + 2) % 3]],
        }
        for index in range(12)
    ]
    return {"shard_map_version": 2, "shards": shards}


async def _put_in_force(context: Any, bundle: Any) -> None:
    deployment = context.deployment
    deployment.bundle = bundle
    number = await bundle_runs.propose_and_sign(deployment, "i0")
    await bundle_runs.request_rollout(deployment, "i0", number)
    await bundle_runs.wait_for(deployment, deployment.settings, in_force=number)


@when("a target is killed during searches")
def kill_target(context: Any) -> None:
    """Kills one replica and goes on."""

    async def act() -> None:
        # No bookings: the journal of the killed target would be lost.
        stream = _start_stream(context, 4, 0)
        await stream.wait_for_requests(PHASE_REQUESTS)
        context.deployment.kill(KILLED_TARGET)
        await stream.wait_for_requests(PHASE_REQUESTS)
        context.mark = stream.number
        await stream.wait_for_requests(2 * PHASE_REQUESTS)
        await stream.stop()
        context.deployment.start_target(KILLED_TARGET)
        await context.deployment.wait_target(KILLED_TARGET)

    context.loop.run_until_complete(act())


async def _book_lost_key(context: Any, key: str) -> Any:
    start_s = time.monotonic()
    answer = await context.deployment.book("i1", SERVICES[0], key)
    context.stream.bookings.append(history.Booking(key, start_s, answer))
    return answer


@when("an instance is killed during searches and bookings")
def kill_instance(context: Any) -> None:
    """Kills one instance and goes on with the others."""

    async def act() -> None:
        stream = _start_stream(context, 2, 4)
        await stream.wait_for_requests(PHASE_REQUESTS)
        keys = await context.deployment.issue_keys("i0")
        context.deployment.kill("i0")
        context.lost_answer = await _book_lost_key(context, keys[0])
        await stream.wait_for_requests(PHASE_REQUESTS)
        await stream.stop()

    context.loop.run_until_complete(act())


@when("an instance is frozen and resumed during searches and bookings")
def freeze_instance(context: Any) -> None:
    """Stops one instance for a while; it resumes with old work."""

    async def act() -> None:
        stream = _start_stream(context, 2, 4)
        await stream.wait_for_requests(PHASE_REQUESTS)
        keys = await context.deployment.issue_keys("i0")
        context.deployment.signal("i0", signal.SIGSTOP)
        context.lost_answer = await _book_lost_key(context, keys[0])
        await stream.wait_for_requests(PHASE_REQUESTS // 2)
        context.deployment.signal("i0", signal.SIGCONT)
        await stream.wait_for_requests(PHASE_REQUESTS)
        await stream.stop()

    context.loop.run_until_complete(act())


@when('a target has "{field}" set during searches and bookings')
def break_target(context: Any, field: str) -> None:
    """Makes one target of each service misbehave for a while."""

    async def act() -> None:
        stream = _start_stream(context, 2, 3)
        await stream.wait_for_requests(PHASE_REQUESTS)
        for service in SERVICES:
            await context.deployment.set_target_behaviour(
                f"{service}-t1", **{field: True}
            )
        await stream.wait_for_requests(2 * PHASE_REQUESTS)
        for service in SERVICES:
            await context.deployment.set_target_behaviour(f"{service}-t1")
        await stream.wait_for_requests(PHASE_REQUESTS)
        await stream.stop()

    context.loop.run_until_complete(act())


@then("the history has no violation")
def check_history(context: Any) -> None:
    """Checks searches, bookings and journals."""
    first = [f"s{index}" for index in range(6)]
    second = [f"r{index}" for index in range(12)]
    maps = {name: {1: first, 2: second} for name in SERVICES}
    found = context.loop.run_until_complete(context.stream.violations(maps))
    assert not found, found[:5]


@then("every search since the last change covers all shards of map {number:d}")
def check_full(context: Any, number: int) -> None:
    """Checks that coverage returned."""
    for searches in context.stream.searches.values():
        for search in searches:
            if search.query["number"] <= context.mark:
                continue
            answer = search.answer
            assert answer is not None
            assert not answer["lacking"], answer
            assert answer["snapshot"]["shard_map_version"] == number, answer


@then('bookings ended with "{outcome}"')
def check_outcomes(context: Any, outcome: str) -> None:
    """Checks that bookings went on."""
    seen = {b.answer["outcome"] for b in context.stream.bookings if b.answer}
    assert outcome in seen, seen


@then('a key of that instance got "{outcome}" through another one')
def check_lost_key(context: Any, outcome: str) -> None:
    """Checks the booking that was sent while the issuer was away."""
    assert context.lost_answer["outcome"] == outcome, context.lost_answer
