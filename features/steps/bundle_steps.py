"""Steps for the life cycle of bundles."""

import asyncio
import signal
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from lycheerock_bench import bundle_recorder
from lycheerock_bench import bundle_runs


def run(context: Any, coroutine: Any) -> Any:
    """Runs a coroutine on the scenario's loop."""
    return context.loop.run_until_complete(coroutine)


def split(names: str) -> list[str]:
    """Splits a list of instances."""
    return [name.strip() for name in names.split(",")]


@given('a recorded stream of searches on "{service}"')
def start_recorder(context: Any, service: str) -> None:
    """Starts to record answers of every instance."""
    context.recorder = bundle_recorder.Recorder(context.deployment, service)

    async def start() -> None:
        context.recorder.start()

    run(context, start())


@when('bundle {number:d} is proposed and signed through "{instance}"')
def prepare(context: Any, number: int, instance: str) -> None:
    """Proposes and signs a bundle and checks its number."""
    found = run(
        context, bundle_runs.propose_and_sign(context.deployment, instance)
    )
    assert found == number, found


@when('"{operator}" proposes a bundle through "{instance}"')
def propose(context: Any, operator: str, instance: str) -> None:
    """Proposes a bundle."""
    context.reply = run(
        context, bundle_runs.propose(context.deployment, instance, operator)
    )


@when('"{operator}" signs bundle {number:d} through "{instance}"')
def sign(context: Any, operator: str, number: int, instance: str) -> None:
    """Signs a bundle."""
    context.reply = run(
        context,
        bundle_runs.sign(context.deployment, instance, number, operator),
    )


@when('the content of bundle {number:d} is proposed again through "{instance}"')
def roll_back(context: Any, number: int, instance: str) -> None:
    """Proposes a rollback."""
    body = {"operator": bundle_runs.AUTHOR, "rollback_to": number}
    context.reply = run(
        context,
        context.deployment.ops(instance, "/ops/bundles", "POST", body),
    )
    assert context.reply["copy_of"] == number, context.reply


@when('operators "{one}" and "{two}" propose bundle {number:d} together')
def race(context: Any, one: str, two: str, number: int) -> None:
    """Proposes two bundles of the same number through two instances."""

    async def propose_both() -> Any:
        return await asyncio.gather(
            bundle_runs.propose(context.deployment, "i0", one, number),
            bundle_runs.propose(context.deployment, "i1", two, number),
        )

    context.replies = dict(
        zip((one, two), run(context, propose_both()), strict=True)
    )


@then("one of them has bundle {number:d} and the other is told who was first")
def check_race(context: Any, number: int) -> None:
    """Checks that one operator won and the other knows the winner."""
    won = [n for n, r in context.replies.items() if r.get("number") == number]
    lost = [r["error"] for r in context.replies.values() if "error" in r]
    assert len(won) == len(lost) == 1, context.replies
    assert lost[0]["kind"] == "conflict", lost
    assert won[0] in lost[0]["message"], lost
    assert f"propose {number + 1}" in lost[0]["remedy"], lost


@when('"{instance}" is asked to roll out bundle {number:d}')
def roll_out(context: Any, instance: str, number: int) -> None:
    """Asks for a rollout."""
    context.reply = run(
        context,
        bundle_runs.request_rollout(context.deployment, instance, number),
    )


@when(
    '"{instance}" is asked to roll out bundle {number:d} while calls take '
    "{delay_ms:d} ms"
)
def roll_out_slowly(
    context: Any, instance: str, number: int, delay_ms: int
) -> None:
    """Asks for a rollout at a slow platform."""
    run(context, context.deployment.set_platform_faults(delay_ms=delay_ms))
    roll_out(context, instance, number)
    assert "error" not in context.reply, context.reply


@then('the operator is refused with "{kind}"')
def check_refused(context: Any, kind: str) -> None:
    """Checks the kind of the error and that it names a remedy."""
    error = context.reply["error"]
    assert error["kind"] == kind, error
    assert error["remedy"], error


@then('bundle {number:d} comes into force on "{names}"')
def wait_in_force(context: Any, number: int, names: str) -> None:
    """Waits until instances admit requests under a bundle."""
    run(
        context,
        bundle_runs.wait_for(
            context.deployment, split(names), in_force=number, problem=""
        ),
    )


@when('"{instance}" has acknowledged bundle {number:d}')
def wait_acknowledged(context: Any, instance: str, number: int) -> None:
    """Waits until an instance is bound to a rollout."""
    run(
        context,
        bundle_runs.wait_for(context.deployment, [instance], binding=number),
    )


@when('"{one}" or "{two}" coordinates with epoch {epoch:d}')
def wait_takeover(context: Any, one: str, two: str, epoch: int) -> None:
    """Waits until one of two instances has taken over."""
    limit_s = time.monotonic() + bundle_runs.WAIT_LIMIT_S
    states: dict[str, Any] = {}
    while time.monotonic() < limit_s:
        for name in (one, two):
            state = run(
                context, bundle_runs.read_state(context.deployment, name)
            )
            states[name] = state["coordinating"]
            if states[name].get("epoch") == epoch:
                return
    raise AssertionError(states)


@then('"{instance}" coordinates no more')
def wait_coordination_end(context: Any, instance: str) -> None:
    """Waits until the rollout that an instance coordinated has ended."""
    limit_s = time.monotonic() + bundle_runs.WAIT_LIMIT_S
    phase = ""
    while time.monotonic() < limit_s:
        state = run(
            context, bundle_runs.read_state(context.deployment, instance)
        )
        phase = state["coordinating"]["phase"]
        if phase in ("accepted", "superseded"):
            return
    raise AssertionError(f"{instance} is still {phase}")


@then('"{instance}" stops admitting requests')
def wait_stopped(context: Any, instance: str) -> None:
    """Waits until an instance refuses requests."""
    limit_s = time.monotonic() + bundle_runs.WAIT_LIMIT_S
    outcome = ""
    while time.monotonic() < limit_s:
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
        run(context, asyncio.sleep(bundle_runs.POLL_PERIOD_S))
    raise AssertionError(f"{instance} still answers with {outcome}")


@then("no instance admits requests")
def wait_all_stopped(context: Any) -> None:
    """Waits until every instance refuses requests."""
    for instance in context.deployment.settings:
        wait_stopped(context, instance)


@then("every instance admits requests under bundle {number:d} for {time_s:d} s")
def check_serving(context: Any, number: int, time_s: int) -> None:
    """Checks that no instance stops admitting requests."""
    deployment = context.deployment
    run(
        context,
        bundle_runs.wait_for(
            deployment, deployment.settings, in_force=number, problem=""
        ),
    )
    limit_s = time.monotonic() + time_s
    while time.monotonic() < limit_s:
        for instance in deployment.settings:
            state = run(context, bundle_runs.read_state(deployment, instance))
            found = (state["in_force"], state["problem"])
            assert found == (number, ""), (instance, state)
        run(context, asyncio.sleep(bundle_runs.POLL_PERIOD_S))


@then('"{instance}" blocks the rollout of bundle {number:d}')
def check_blocked(context: Any, instance: str, number: int) -> None:
    """Checks that the status names the instance and a remedy."""
    limit_s = time.monotonic() + bundle_runs.WAIT_LIMIT_S
    status: Any = {}
    while time.monotonic() < limit_s:
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
    """Stops a process without ending it."""
    context.deployment.signal(name, signal.SIGSTOP)


@when('process "{name}" resumes')
def resume(context: Any, name: str) -> None:
    """Lets a stopped process run again."""
    context.deployment.signal(name, signal.SIGCONT)


@when('process "{name}" is killed')
def kill(context: Any, name: str) -> None:
    """Kills a process."""
    context.deployment.kill(name)


@when('instance "{name}" is started')
def start_instance(context: Any, name: str) -> None:
    """Starts an instance again."""
    context.deployment.start_instance(name)


@when('the platform lists "{names}"')
def set_listed(context: Any, names: str) -> None:
    """Replaces the platform's list of instances."""
    run(context, context.deployment.set_listed(split(names)))


@when("the platform is down")
def set_down(context: Any) -> None:
    """Makes every call to the platform fail."""
    run(context, context.deployment.set_platform_faults(down=True))


@when('the platform is down for "{name}"')
def set_down_for(context: Any, name: str) -> None:
    """Makes every call of one instance to the platform fail."""
    run(context, context.deployment.set_platform_faults(down=True, client=name))


@when("the platform is healthy")
def set_healthy(context: Any) -> None:
    """Ends all faults of the platform."""
    run(context, context.deployment.set_platform_faults())


@when("the platform takes {delay_ms:d} ms per call")
def set_slow(context: Any, delay_ms: int) -> None:
    """Delays every call to the platform."""
    run(context, context.deployment.set_platform_faults(delay_ms=delay_ms))


@when("the platform loses every reply to a write")
def lose_replies(context: Any) -> None:
    """Lets writes take effect without a reply."""
    run(context, context.deployment.set_platform_faults(reply_lost_ratio=1.0))


@when("the platform accepts the next write without a reply and is then down")
def lose_next_write(context: Any) -> None:
    """Starts an outage with a write that takes effect."""
    run(
        context,
        context.deployment.set_platform_faults(down_after_write=True),
    )


@when("{time_s:d} s pass")
def wait(context: Any, time_s: int) -> None:
    """Lets time pass."""
    run(context, asyncio.sleep(time_s))


@then("the recorded history is correct")
def check_history(context: Any) -> None:
    """Checks every recorded answer against the platform's writes."""

    async def stop_and_check() -> list[str]:
        async with asyncio.timeout(bundle_runs.WAIT_LIMIT_S):
            while not context.recorder.answers:
                await asyncio.sleep(bundle_runs.POLL_PERIOD_S)
        await context.recorder.stop()
        violations: list[str] = await context.recorder.violations()
        return violations

    violations = run(context, stop_and_check())
    assert not violations, violations[:10]
