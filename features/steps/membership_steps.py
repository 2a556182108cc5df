"""Steps for membership and graceful shutdown."""

import asyncio
from collections.abc import Callable
import json
import signal
import time
from typing import Any

import aiohttp
from behave import given
from behave import then
from behave import when
import serving_steps

from lycheerock_bench import harness

# Fails a scenario that would otherwise wait forever.
WAIT_MAX_S = 60.0
LOAD_BEFORE_S = 1.0
LOAD_AFTER_S = 1.0
# Errors that don't count as aborted requests. A target may shed requests as
# overloaded while two instances both consider themselves its owner.
ALLOWED_ERROR_KINDS = ("not_admitting", "overloaded")


def _run(context: Any, coroutine: Any) -> Any:
    return context.loop.run_until_complete(coroutine)


async def _wait_for(check: Callable[[], Any], problem: str) -> None:
    deadline_s = time.monotonic() + WAIT_MAX_S
    while not await check():
        if time.monotonic() > deadline_s:
            raise AssertionError(problem)
        await asyncio.sleep(0.05)


async def _members(deployment: Any, observer: str) -> dict[str, Any]:
    state = await deployment.ops(observer, "/ops/state")
    return {m["instance_id"]: m for m in state["members"]}


async def _wait_for_state(
    deployment: Any, observer: str, name: str, state: str
) -> None:
    async def check() -> bool:
        member = (await _members(deployment, observer)).get(name)
        return member is not None and member["state"] == state

    await _wait_for(check, f"{observer} does not list {name} as {state}")


async def _wait_all_alive(deployment: Any, observer: str) -> None:
    for name in deployment.settings:
        await _wait_for_state(deployment, observer, name, "alive")


async def _incarnation(deployment: Any, observer: str, name: str) -> int:
    member = (await _members(deployment, observer)).get(name)
    return member["incarnation"] if member is not None else 0


def _log_lines(context: Any, name: str) -> list[dict[str, Any]]:
    path = context.directory / f"{name}.log"
    lines = path.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


@given("a deployment of {count:d} instances with {seeds:d} seed peers each")
def start_with_seeds(context: Any, count: int, seeds: int) -> None:
    """Starts a deployment whose instances are configured with few peers."""
    deployment = harness.Deployment(
        context.directory, serving_steps.SHAPES, count
    )
    for settings in deployment.settings.values():
        settings["peers"] = settings["peers"][:seeds]
    context.deployment = deployment
    _run(context, deployment.start())


@given("a deployment of {count:d} instances with a grace limit of {limit:d} s")
def start_with_grace(context: Any, count: int, limit: int) -> None:
    """Starts a deployment with the given grace limit for shutdowns."""
    deployment = harness.Deployment(
        context.directory, serving_steps.SHAPES, count
    )
    for settings in deployment.settings.values():
        settings["grace_limit_s"] = float(limit)
    context.deployment = deployment
    _run(context, deployment.start())


@when('"{name}" is killed')
def kill(context: Any, name: str) -> None:
    """Kills an instance once all instances list each other as alive."""
    deployment = context.deployment
    for observer in deployment.settings:
        _run(context, _wait_all_alive(deployment, observer))
    context.incarnation = _run(context, _incarnation(deployment, name, name))
    deployment.kill(name)


@when('"{name}" is started again')
def restart(context: Any, name: str) -> None:
    """Restarts an instance and waits for its operator interface."""
    deployment = context.deployment
    deployment.start_instance(name)

    async def check() -> bool:
        try:
            await deployment.ops(name, "/ops/state")
        except aiohttp.ClientError:
            return False
        return True

    _run(context, _wait_for(check, f"{name} does not answer"))


@when('"{name}" is frozen while it suspects "{other}", which then resumes')
def freeze_while_suspecting(context: Any, name: str, other: str) -> None:
    """Suspends an instance while it suspects another.

    The suspect state lasts only seconds, so a missed one is provoked again.
    """
    deployment = context.deployment
    is_suspect = False
    while not is_suspect:
        _run(context, _wait_all_alive(deployment, name))
        deployment.signal(other, signal.SIGSTOP)
        is_suspect = _run(context, _wait_suspect(deployment, name, other))
        if is_suspect:
            deployment.signal(name, signal.SIGSTOP)
        deployment.signal(other, signal.SIGCONT)
    context.log_line_count = len(_log_lines(context, name))


async def _wait_suspect(deployment: Any, observer: str, name: str) -> bool:
    while True:
        member = (await _members(deployment, observer))[name]
        if member["state"] != "alive":
            return bool(member["state"] == "suspect")
        await asyncio.sleep(0.02)


@when('all other instances list "{name}" as dead')
def wait_dead(context: Any, name: str) -> None:
    """Waits until all other instances list an instance as dead."""
    for observer in context.deployment.settings:
        if observer != name:
            _run(
                context,
                _wait_for_state(context.deployment, observer, name, "dead"),
            )


@when('"{name}" resumes')
def resume(context: Any, name: str) -> None:
    """Resumes an instance with SIGCONT."""
    context.deployment.signal(name, signal.SIGCONT)


@when("the platform goes down")
def start_platform_outage(context: Any) -> None:
    """Makes every call to the platform fail."""
    _run(context, context.deployment.set_platform_faults(down=True))


@then('"{observer}" lists "{name}" as "{state}"')
def check_state(context: Any, observer: str, name: str, state: str) -> None:
    """Waits until an instance lists another in the given state."""
    _run(context, _wait_for_state(context.deployment, observer, name, state))


@then('"{observer}" lists "{name}" with a higher incarnation')
def check_incarnation(context: Any, observer: str, name: str) -> None:
    """Waits until an instance lists the new incarnation."""

    async def check() -> bool:
        found = await _incarnation(context.deployment, observer, name)
        return found > context.incarnation

    _run(
        context,
        _wait_for(
            check, f"{observer} still lists the old incarnation of {name}"
        ),
    )


@then('"{observer}" lists all instances as "{state}"')
def check_all_states(context: Any, observer: str, state: str) -> None:
    """Waits until an instance lists all instances in the given state."""
    for name in context.deployment.settings:
        _run(
            context, _wait_for_state(context.deployment, observer, name, state)
        )


@then('the log of "{name}" reports no dead member since it was frozen')
def check_no_death(context: Any, name: str) -> None:
    """Checks that an instance has declared no member dead since the freeze."""
    deaths = [
        line
        for line in _log_lines(context, name)[context.log_line_count :]
        if line["event"] == "member_changed" and line["state"] == "dead"
    ]
    assert not deaths, deaths


@given("targets with a service time of {time_ms:d} ms")
def slow_targets(context: Any, time_ms: int) -> None:
    """Gives all targets the same constant service time."""
    for target in context.deployment.targets():
        _run(
            context,
            context.deployment.set_target_behaviour(
                target["target_id"],
                service_time_ms=float(time_ms),
                service_time_sigma=0.0,
            ),
        )


@when('a search through "{name}" is in flight')
def start_search(context: Any, name: str) -> None:
    """Starts a search and waits until the instance lists it as in flight."""
    deployment = context.deployment
    context.search = context.loop.create_task(
        deployment.search(name, "guest-portal", deadline_ms=20_000)
    )

    async def check() -> bool:
        state = await deployment.ops(name, "/ops/state")
        kinds = [r["kind"] for r in state["in_flight"]]
        return "caller" in kinds and not context.search.done()

    _run(context, _wait_for(check, "the search is not in flight"))
    state = _run(context, deployment.ops(name, "/ops/state"))
    context.request_ids = [
        r["request_id"] for r in state["in_flight"] if r["kind"] == "caller"
    ]


@when('"{name}" is sent SIGTERM')
def terminate(context: Any, name: str) -> None:
    """Sends SIGTERM and waits until the instance leaves the serving phase."""
    context.deployment.signal(name, signal.SIGTERM)

    async def check() -> bool:
        state = await context.deployment.ops(name, "/ops/state")
        return state["phase"] != "serving"

    _run(context, _wait_for(check, f"{name} has not begun to shut down"))


@when('"{name}" is sent SIGTERM again')
def terminate_again(context: Any, name: str) -> None:
    """Sends a second SIGTERM, which forces the exit."""
    context.deployment.signal(name, signal.SIGTERM)


@then('"{name}" exits with code {code:d}')
def check_exit(context: Any, name: str, code: int) -> None:
    """Checks the exit code; the event loop keeps running during the wait."""
    found = _run(context, asyncio.to_thread(context.deployment.wait_exit, name))
    assert found == code, found


@then("the in-flight search covers {count:d} shards")
def check_search(context: Any, count: int) -> None:
    """Checks how many shards the answer of the in-flight search covers."""
    answer = _run(context, context.search)
    assert len(answer["covered"]) == count, answer


@then('the log of "{name}" lists exactly the caller\'s search as aborted')
def check_aborted(context: Any, name: str) -> None:
    """Checks the logged caller requests and that the search got no answer."""
    lines = _log_lines(context, name)
    events = [line for line in lines if line["event"] == "stop_cut_short"]
    assert len(events) == 1, events
    ids = [
        r["request_id"] for r in events[0]["requests"] if r["kind"] == "caller"
    ]
    assert ids == context.request_ids, (ids, context.request_ids)
    try:
        _run(context, context.search)
    except aiohttp.ClientError:
        return
    raise AssertionError("the search that was logged as aborted got an answer")


class CallerLoad:
    """Callers that send one request after another to each instance.

    A caller ends when its instance refuses the connection, which is no failure.
    """

    def __init__(self, deployment: Any):
        self.deployment = deployment
        self.answered = 0
        self.failures: list[str] = []
        self.is_stopped = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the callers."""
        for name in self.deployment.settings:
            for send in (self._search, self._book):
                for _ in range(4):
                    self.tasks.append(
                        asyncio.ensure_future(self._send_repeatedly(name, send))
                    )

    async def _send_repeatedly(
        self, name: str, send: Callable[[str], Any]
    ) -> None:
        while not self.is_stopped:
            try:
                answer = await send(name)
            except aiohttp.ClientConnectorError:
                return
            except aiohttp.ClientError as error:
                self.failures.append(f"{name} {error!r}")
                return
            self.answered += 1
            self._check(name, answer)
            await asyncio.sleep(0.005)

    def _check(self, name: str, answer: Any) -> None:
        kind = (answer.get("error") or {}).get("kind")
        reasons = {entry["reason"] for entry in answer["lacking"]}
        is_answered = answer["outcome"] == "done" and reasons <= {"refused"}
        is_refused = (
            answer["outcome"] == "not_run" and kind in ALLOWED_ERROR_KINDS
        )
        if not is_answered and not is_refused:
            self.failures.append(f"{name} {answer}")

    async def _search(self, name: str) -> Any:
        return await self.deployment.search(name, "guest-portal")

    async def _book(self, name: str) -> Any:
        url = self.deployment.caller_url(name, "/v1/keys")
        headers = {"Authorization": f"Bearer {harness.CALLER_TOKEN}"}
        async with self.deployment.session.post(url, headers=headers) as reply:
            answer = await reply.json()
        if "keys" not in answer:
            return answer
        key = answer["keys"][0]
        return await self.deployment.book(name, "ronda-app", key)


@given("continuous searches and bookings through all instances")
def start_load(context: Any) -> None:
    """Starts callers of each instance once all are alive."""
    for name in context.deployment.settings:
        _run(context, _wait_all_alive(context.deployment, name))
    context.load = CallerLoad(context.deployment)
    context.loop.call_soon(context.load.start)


@when('"{name}" is sent SIGTERM under load')
def terminate_under_load(context: Any, name: str) -> None:
    """Sends SIGTERM while the callers are running."""
    _run(context, asyncio.sleep(LOAD_BEFORE_S))
    context.deployment.signal(name, signal.SIGTERM)


@then("no request of the load was aborted")
def check_load(context: Any) -> None:
    """Ends the callers and checks that no request failed."""
    _run(context, asyncio.sleep(LOAD_AFTER_S))
    context.load.is_stopped = True
    _run(context, asyncio.gather(*context.load.tasks))
    assert context.load.answered, "no request was answered"
    assert not context.load.failures, context.load.failures[:5]
