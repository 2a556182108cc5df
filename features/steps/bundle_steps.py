"""Steps for the bundle life cycle."""

import asyncio
import signal
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from lycheerock_bench import bundle_operations
from lycheerock_bench import bundle_recorder


def run(context: Any, coroutine: Any) -> Any:
    """Runs a coroutine on the shared event loop and returns its result."""
    return context.loop.run_until_complete(coroutine)


def split_names(names: str) -> list[str]:
    """Splits a comma-separated list of instance ids."""
    return [name.strip() for name in names.split(",")]


@given('recorded searches of "{service}" through every instance')
def start_recorder(context: Any, service: str) -> None:
    """Starts to search through every instance and record the answers."""
    context.recorder = bundle_recorder.Recorder(context.deployment, service)

    async def start() -> None:
        context.recorder.start()

    run(context, start())


@when('bundle {number:d} is proposed and signed through "{instance}"')
def propose_and_sign(context: Any, number: int, instance: str) -> None:
    """Proposes and signs a bundle and checks the number that it gets."""
    actual = run(
        context,
        bundle_operations.propose_and_sign(context.deployment, instance),
    )
    assert actual == number, actual


@when('"{operator}" proposes a bundle through "{instance}"')
def propose(context: Any, operator: str, instance: str) -> None:
    """Proposes a bundle and keeps the reply."""
    context.reply = run(
        context,
        bundle_operations.propose(context.deployment, instance, operator),
    )


@when('"{operator}" signs bundle {number:d} through "{instance}"')
def sign(context: Any, operator: str, number: int, instance: str) -> None:
    """Signs a bundle and keeps the reply."""
    context.reply = run(
        context,
        bundle_operations.sign(context.deployment, instance, number, operator),
    )


@when('a rollback to bundle {number:d} is proposed through "{instance}"')
def propose_rollback(context: Any, number: int, instance: str) -> None:
    """Proposes a copy of an earlier bundle under a new number."""
    body = {"operator": bundle_operations.AUTHOR, "rollback_to": number}
    context.reply = run(
        context,
        context.deployment.ops(instance, "/ops/bundles", "POST", body),
    )
    assert context.reply["copy_of"] == number, context.reply


@when(
    'operators "{first}" and "{second}" concurrently propose bundle {number:d}'
)
def propose_concurrently(
    context: Any, first: str, second: str, number: int
) -> None:
    """Proposes two bundles with the same number through two instances."""

    async def propose_both() -> Any:
        return await asyncio.gather(
            bundle_operations.propose(context.deployment, "i0", first, number),
            bundle_operations.propose(context.deployment, "i1", second, number),
        )

    context.replies = dict(
        zip((first, second), run(context, propose_both()), strict=True)
    )


@then(
    "one proposal becomes bundle {number:d} and the other is rejected naming "
    "its author"
)
def check_proposal_conflict(context: Any, number: int) -> None:
    """Checks that the rejection names the author of the accepted bundle."""
    authors = [
        n for n, r in context.replies.items() if r.get("number") == number
    ]
    errors = [r["error"] for r in context.replies.values() if "error" in r]
    assert len(authors) == len(errors) == 1, context.replies
    assert errors[0]["kind"] == "conflict", errors
    assert authors[0] in errors[0]["message"], errors
    assert f"propose {number + 1}" in errors[0]["remedy"], errors


@when('"{instance}" is asked to roll out bundle {number:d}')
def request_rollout(context: Any, instance: str, number: int) -> None:
    """Requests a rollout from an instance and keeps the reply."""
    context.reply = run(
        context,
        bundle_operations.request_rollout(context.deployment, instance, number),
    )


@when(
    '"{instance}" is asked to roll out bundle {number:d} while platform calls '
    "are delayed by {delay_ms:d} ms"
)
def request_rollout_while_slow(
    context: Any, instance: str, number: int, delay_ms: int
) -> None:
    """Delays platform calls and requests a rollout, which must be accepted."""
    run(context, context.deployment.set_platform_faults(delay_ms=delay_ms))
    request_rollout(context, instance, number)
    assert "error" not in context.reply, context.reply


@then('the request is rejected with "{kind}"')
def check_rejected(context: Any, kind: str) -> None:
    """Checks the error kind and that the error suggests a remedy."""
    error = context.reply["error"]
    assert error["kind"] == kind, error
    assert error["remedy"], error


@then('bundle {number:d} is in force on "{names}"')
def wait_in_force(context: Any, number: int, names: str) -> None:
    """Waits until the instances admit requests under the bundle."""
    run(
        context,
        bundle_operations.wait_for(
            context.deployment, split_names(names), in_force=number, problem=""
        ),
    )


@when('"{instance}" has acknowledged bundle {number:d}')
def wait_acknowledged(context: Any, instance: str, number: int) -> None:
    """Waits until an instance's acknowledgement of a bundle is binding."""
    run(
        context,
        bundle_operations.wait_for(
            context.deployment, [instance], binding=number
        ),
    )


@when('"{first}" or "{second}" coordinates the rollout with epoch {epoch:d}')
def wait_takeover(context: Any, first: str, second: str, epoch: int) -> None:
    """Waits until one of two instances has taken over the coordination."""
    deadline_s = time.monotonic() + bundle_operations.WAIT_LIMIT_S
    states: dict[str, Any] = {}
    while time.monotonic() < deadline_s:
        for name in (first, second):
            state = run(
                context, bundle_operations.read_state(context.deployment, name)
            )
            states[name] = state["coordinating"]
            if states[name].get("epoch") == epoch:
                return
    raise AssertionError(states)


@then('the rollout coordinated by "{instance}" has ended')
def wait_rollout_end(context: Any, instance: str) -> None:
    """Waits until the rollout of a coordinator is accepted or superseded."""
    deadline_s = time.monotonic() + bundle_operations.WAIT_LIMIT_S
    phase = ""
    while time.monotonic() < deadline_s:
        state = run(
            context, bundle_operations.read_state(context.deployment, instance)
        )
        phase = state["coordinating"]["phase"]
        if phase in ("accepted", "superseded"):
            return
    raise AssertionError(f"rollout coordinated by {instance} is still {phase}")


@then('"{instance}" stops admitting requests')
def wait_not_admitting(context: Any, instance: str) -> None:
    """Waits until an instance rejects searches as not admitting."""
    deadline_s = time.monotonic() + bundle_operations.WAIT_LIMIT_S
    outcome = ""
    while time.monotonic() < deadline_s:
        try:
            answer = run(
                context, context.deployment.search(instance, "guest-portal")
            )
        except OSError:
            continue
        outcome = answer["outcome"]
        error = answer.get("error") or {}
        if error.get("kind") == "not_admitting":
            return
        run(context, asyncio.sleep(bundle_operations.POLL_PERIOD_S))
    raise AssertionError(
        f"{instance} still admits requests; last outcome: {outcome}"
    )


@then("no instance admits requests")
def wait_none_admitting(context: Any) -> None:
    """Waits until every instance has rejected a search."""
    for instance in context.deployment.settings:
        wait_not_admitting(context, instance)


@then(
    "every instance keeps admitting requests under bundle {number:d} for "
    "{time_s:d} s"
)
def check_keeps_admitting(context: Any, number: int, time_s: int) -> None:
    """Checks for a while that every instance keeps admitting requests."""
    deployment = context.deployment
    run(
        context,
        bundle_operations.wait_for(
            deployment, deployment.settings, in_force=number, problem=""
        ),
    )
    deadline_s = time.monotonic() + time_s
    while time.monotonic() < deadline_s:
        for instance in deployment.settings:
            state = run(
                context, bundle_operations.read_state(deployment, instance)
            )
            actual = (state["in_force"], state["problem"])
            assert actual == (number, ""), (instance, state)
        run(context, asyncio.sleep(bundle_operations.POLL_PERIOD_S))


@then('"{instance}" blocks the rollout of bundle {number:d}')
def check_blocked(context: Any, instance: str, number: int) -> None:
    """Waits until only this instance blocks; checks the suggested remedy."""
    deadline_s = time.monotonic() + bundle_operations.WAIT_LIMIT_S
    status: Any = {}
    while time.monotonic() < deadline_s:
        status = run(context, context.deployment.ops("i0", "/ops/rollout"))
        if status["blockers"] == [instance]:
            break
    assert status["blockers"] == [instance], status
    assert status["staging"] == number, status
    report = next(
        r for r in status["instances"] if r["instance_id"] == instance
    )
    assert "restart it" in report["problem"], report


@when('process "{name}" is frozen')
def freeze(context: Any, name: str) -> None:
    """Suspends a process with SIGSTOP."""
    context.deployment.signal(name, signal.SIGSTOP)


@when('process "{name}" resumes')
def resume(context: Any, name: str) -> None:
    """Resumes a suspended process with SIGCONT."""
    context.deployment.signal(name, signal.SIGCONT)


@when('process "{name}" is killed')
def kill(context: Any, name: str) -> None:
    """Kills a process with SIGKILL and waits for its exit."""
    context.deployment.kill(name)


@when('instance "{name}" is started')
def start_instance(context: Any, name: str) -> None:
    """Starts the process of an instance."""
    context.deployment.start_instance(name)


@when('the platform lists the instances "{names}"')
def set_instance_list(context: Any, names: str) -> None:
    """Replaces the platform's list of instances."""
    run(context, context.deployment.set_listed_instances(split_names(names)))


@when("the platform is down")
def start_outage(context: Any) -> None:
    """Makes every platform call fail."""
    run(context, context.deployment.set_platform_faults(down=True))


@when('the platform is down for "{name}"')
def start_outage_for(context: Any, name: str) -> None:
    """Makes every platform call of one instance fail."""
    run(context, context.deployment.set_platform_faults(down=True, client=name))


@when("the platform is healthy")
def clear_faults(context: Any) -> None:
    """Clears all platform faults."""
    run(context, context.deployment.set_platform_faults())


@when("platform calls are delayed by {delay_ms:d} ms")
def delay_calls(context: Any, delay_ms: int) -> None:
    """Delays every platform call."""
    run(context, context.deployment.set_platform_faults(delay_ms=delay_ms))


@when("the platform drops the reply to every write")
def drop_write_replies(context: Any) -> None:
    """Applies every platform write without sending a reply."""
    run(context, context.deployment.set_platform_faults(reply_lost_ratio=1.0))


@when("the platform applies the next write without a reply and then goes down")
def start_outage_after_write(context: Any) -> None:
    """Starts an outage once the platform has applied the next write."""
    run(
        context,
        context.deployment.set_platform_faults(down_after_write=True),
    )


@when("{time_s:d} s pass")
def wait(context: Any, time_s: int) -> None:
    """Waits for a fixed time."""
    run(context, asyncio.sleep(time_s))


@then("the recorded history is consistent")
def check_history(context: Any) -> None:
    """Checks the recorded answers against the platform's log of writes."""

    async def stop_and_check() -> list[str]:
        async with asyncio.timeout(bundle_operations.WAIT_LIMIT_S):
            while not context.recorder.answers:
                await asyncio.sleep(bundle_operations.POLL_PERIOD_S)
        await context.recorder.stop()
        violations: list[str] = await context.recorder.violations()
        return violations

    violations = run(context, stop_and_check())
    assert not violations, violations[:10]
