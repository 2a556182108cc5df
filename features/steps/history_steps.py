"""Steps that check the history of concurrent searches and bookings."""

import copy
import signal
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from lycheerock_bench import bundle_operations
from lycheerock_bench import harness
from lycheerock_bench import history
from lycheerock_bench import request_streams

SHAPES = [
    harness.ServiceShape("guest-portal", "latency", 3, 6, 2, 3, 30),
    harness.ServiceShape("ronda-app", "coverage", 3, 6, 2, 2, 25),
]
SERVICES = [shape.name for shape in SHAPES]
SEED = 20261204
REQUESTS_PER_PHASE = 60
KILLED_TARGET = "guest-portal-t1"


@given("a deployment of {count:d} instances with one process per target")
def start_with_target_processes(context: Any, count: int) -> None:
    """Starts a deployment that runs each target in its own process."""
    deployment = harness.Deployment(context.directory, SHAPES, count)
    context.deployment = deployment
    context.loop.run_until_complete(deployment.start(separate_targets=True))


def _start_stream(context: Any, searchers: int, bookers: int) -> Any:
    context.stream = request_streams.RequestStream(
        context.deployment, SERVICES, SEED
    )
    context.stream.start(searchers, bookers)
    return context.stream


@when("searches run while the index version and the shard map change")
def change_versions(context: Any) -> None:
    """Changes index versions and shard maps, one target at a time."""

    async def send_requests() -> None:
        stream = _start_stream(context, 4, 0)
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        await _set_held_versions(context, {1: [1, 2]})
        await _set_held_versions(context, {1: [2]})
        bundle = copy.deepcopy(context.deployment.bundle)
        for service in bundle["services"]:
            service["shard_maps"].append(_build_second_map(service))
        await _roll_out(context, bundle)
        await _set_held_versions(context, {1: [2], 2: [2]})
        await _set_held_versions(context, {2: [2, 3]})
        bundle = copy.deepcopy(bundle)
        for service in bundle["services"]:
            del service["shard_maps"][0]
        await _roll_out(context, bundle)
        context.last_change_number = stream.number
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        await stream.stop()

    context.loop.run_until_complete(send_requests())


async def _set_held_versions(context: Any, held: dict[int, list[int]]) -> None:
    for target in context.deployment.targets():
        await context.deployment.set_target_behaviour(
            target["target_id"], held=held
        )
        await context.stream.wait_for_requests(REQUESTS_PER_PHASE // 4)


def _build_second_map(service: Any) -> Any:
    """Returns shard map 2, which has twice as many shards."""
    ids = [target["target_id"] for target in service["targets"]]
    shards = [
        {
            "shard_id": f"r{index}",
            "target_ids": [ids[index % 3], ids[(index + 2) % 3]],
        }
        for index in range(12)
    ]
    return {"shard_map_version": 2, "shards": shards}


async def _roll_out(context: Any, bundle: Any) -> None:
    deployment = context.deployment
    deployment.bundle = bundle
    number = await bundle_operations.propose_and_sign(deployment, "i0")
    await bundle_operations.request_rollout(deployment, "i0", number)
    await bundle_operations.wait_for(
        deployment, deployment.settings, in_force=number
    )


@when("a target is killed during searches")
def kill_target(context: Any) -> None:
    """Kills one target during searches and restarts it at the end."""

    async def send_requests() -> None:
        # No bookings, since the journal of the killed target is lost.
        stream = _start_stream(context, 4, 0)
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        context.deployment.kill(KILLED_TARGET)
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        context.last_change_number = stream.number
        await stream.wait_for_requests(2 * REQUESTS_PER_PHASE)
        await stream.stop()
        context.deployment.start_target(KILLED_TARGET)
        await context.deployment.wait_target(KILLED_TARGET)

    context.loop.run_until_complete(send_requests())


async def _book_with_unreachable_issuer(context: Any, key: str) -> Any:
    start_s = time.monotonic()
    answer = await context.deployment.book("i1", SERVICES[0], key)
    context.stream.bookings.append(history.Booking(key, start_s, answer))
    return answer


@when("an instance is killed during searches and bookings")
def kill_instance(context: Any) -> None:
    """Kills one instance and continues with the others."""

    async def send_requests() -> None:
        stream = _start_stream(context, 2, 4)
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        keys = await context.deployment.issue_keys("i0")
        context.deployment.kill("i0")
        context.unreachable_issuer_answer = await _book_with_unreachable_issuer(
            context, keys[0]
        )
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        await stream.stop()

    context.loop.run_until_complete(send_requests())


@when("an instance is frozen and resumed during searches and bookings")
def freeze_instance(context: Any) -> None:
    """Suspends one instance and resumes it with its unfinished requests."""

    async def send_requests() -> None:
        stream = _start_stream(context, 2, 4)
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        keys = await context.deployment.issue_keys("i0")
        context.deployment.signal("i0", signal.SIGSTOP)
        context.unreachable_issuer_answer = await _book_with_unreachable_issuer(
            context, keys[0]
        )
        await stream.wait_for_requests(REQUESTS_PER_PHASE // 2)
        context.deployment.signal("i0", signal.SIGCONT)
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        await stream.stop()

    context.loop.run_until_complete(send_requests())


@when(
    'a target of each service has fault "{field}" during searches and bookings'
)
def set_target_fault(context: Any, field: str) -> None:
    """Sets a fault on one target of each service and later clears it."""

    async def send_requests() -> None:
        stream = _start_stream(context, 2, 3)
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        for service in SERVICES:
            await context.deployment.set_target_behaviour(
                f"{service}-t1", **{field: True}
            )
        await stream.wait_for_requests(2 * REQUESTS_PER_PHASE)
        for service in SERVICES:
            await context.deployment.set_target_behaviour(f"{service}-t1")
        await stream.wait_for_requests(REQUESTS_PER_PHASE)
        await stream.stop()

    context.loop.run_until_complete(send_requests())


@then("the history has no violations")
def check_history(context: Any) -> None:
    """Checks searches, bookings and target journals for violations."""
    first = [f"s{index}" for index in range(6)]
    second = [f"r{index}" for index in range(12)]
    maps = {name: {1: first, 2: second} for name in SERVICES}
    violations = context.loop.run_until_complete(
        context.stream.violations(maps)
    )
    assert not violations, violations[:5]


@then(
    "every search after the last change covers all shards of shard map"
    " {number:d}"
)
def check_full_coverage(context: Any, number: int) -> None:
    """Checks that later searches are complete and use the given shard map."""
    for searches in context.stream.searches.values():
        for search in searches:
            if search.query["number"] <= context.last_change_number:
                continue
            answer = search.answer
            assert answer is not None
            assert not answer["lacking"], answer
            assert answer["snapshot"]["shard_map_version"] == number, answer


@then('at least one booking ended with "{outcome}"')
def check_outcomes(context: Any, outcome: str) -> None:
    """Checks that at least one booking had the outcome."""
    outcomes = {
        b.answer["outcome"] for b in context.stream.bookings if b.answer
    }
    assert outcome in outcomes, outcomes


@then(
    "a booking with a key of that instance through another one ended with"
    ' "{outcome}"'
)
def check_unreachable_issuer(context: Any, outcome: str) -> None:
    """Checks the booking that was sent while the issuer was unreachable."""
    assert context.unreachable_issuer_answer["outcome"] == outcome, (
        context.unreachable_issuer_answer
    )
