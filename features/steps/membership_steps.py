"""Steps for membership and the planned stop."""

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

# Only ends a scenario that would never end.
WAIT_MAX_S = 60.0
STREAM_BEFORE_S = 1.0
STREAM_AFTER_S = 1.0
# A target sheds work before running it while two instances hold themselves for
# its owner; this is an answer and no cut.
REFUSALS = ("not_admitting", "overloaded")


def _run(context: Any, work: Any) -> Any:
    return context.loop.run_until_complete(work)


async def _wait_for(check: Callable[[], Any], problem: str) -> None:
    deadline_s = time.monotonic() + WAIT_MAX_S
    while not await check():
        if time.monotonic() > deadline_s:
            raise AssertionError(problem)
        await asyncio.sleep(0.05)


async def _members(deployment: Any, observer: str) -> dict[str, Any]:
    state = await deployment.ops(observer, "/ops/state")
    return {m["instance_id"]: m for m in state["members"]}


async def _wait_state(
    deployment: Any, observer: str, name: str, state: str
) -> None:
    async def check() -> bool:
        member = (await _members(deployment, observer)).get(name)
        return member is not None and member["state"] == state

    await _wait_for(check, f"{observer} does not hold {name} as {state}")


async def _wait_all_alive(deployment: Any, observer: str) -> None:
    for name in deployment.settings:
        await _wait_state(deployment, observer, name, "alive")


async def _incarnation(deployment: Any, observer: str, name: str) -> int:
    member = (await _members(deployment, observer)).get(name)
    return member["incarnation"] if member is not None else 0


def _log_lines(context: Any, name: str) -> list[dict[str, Any]]:
    path = context.directory / f"{name}.log"
    lines = path.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


@given("a deployment of {count:d} instances with {seeds:d} seeds each")
def start_with_seeds(context: Any, count: int, seeds: int) -> None:
    """Starts a deployment whose settings list only a few peers."""
    deployment = harness.Deployment(
        context.directory, serving_steps.SHAPES, count
    )
    for settings in deployment.settings.values():
        settings["peers"] = settings["peers"][:seeds]
    context.deployment = deployment
    _run(context, deployment.start())


@given("a deployment of {count:d} instances with a grace limit of {limit:d} s")
def start_with_grace(context: Any, count: int, limit: int) -> None:
    """Starts a deployment whose planned stops are short."""
    deployment = harness.Deployment(
        context.directory, serving_steps.SHAPES, count
    )
    for settings in deployment.settings.values():
        settings["grace_limit_s"] = float(limit)
    context.deployment = deployment
    _run(context, deployment.start())


@when('"{name}" is killed')
def kill(context: Any, name: str) -> None:
    """Kills an instance that all others know."""
    deployment = context.deployment
    for observer in deployment.settings:
        _run(context, _wait_all_alive(deployment, observer))
    context.incarnation = _run(context, _incarnation(deployment, name, name))
    deployment.kill(name)


@when('"{name}" is started again')
def restart(context: Any, name: str) -> None:
    """Starts a new incarnation and waits until it answers operators."""
    deployment = context.deployment
    deployment.start_instance(name)

    async def check() -> bool:
        try:
            await deployment.ops(name, "/ops/state")
        except aiohttp.ClientError:
            return False
        return True

    _run(context, _wait_for(check, f"{name} does not answer"))


@when('"{name}" is stopped while it suspects "{other}", which then resumes')
def freeze_while_suspecting(context: Any, name: str, other: str) -> None:
    """Stops an instance that has begun to suspect another.

    The suspicion lasts only for seconds; when it was missed, it is tried again.
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
    context.log_mark = len(_log_lines(context, name))


async def _wait_suspect(deployment: Any, observer: str, name: str) -> bool:
    while True:
        member = (await _members(deployment, observer))[name]
        if member["state"] != "alive":
            return bool(member["state"] == "suspect")
        await asyncio.sleep(0.02)


@when('the others find "{name}" dead')
def wait_dead(context: Any, name: str) -> None:
    """Waits until all others hold an instance as dead."""
    for observer in context.deployment.settings:
        if observer != name:
            _run(
                context,
                _wait_state(context.deployment, observer, name, "dead"),
            )


@when('"{name}" resumes')
def resume(context: Any, name: str) -> None:
    """Wakes an instance with SIGCONT."""
    context.deployment.signal(name, signal.SIGCONT)


@when("the platform goes down")
def platform_down(context: Any) -> None:
    """Lets every call to the platform fail."""
    _run(context, context.deployment.set_platform_faults(down=True))


@then('"{observer}" holds "{name}" as "{state}"')
def check_state(context: Any, observer: str, name: str, state: str) -> None:
    """Waits until an instance holds another in a state."""
    _run(context, _wait_state(context.deployment, observer, name, state))


@then('"{observer}" holds "{name}" under a higher incarnation')
def check_incarnation(context: Any, observer: str, name: str) -> None:
    """Waits until an instance knows the new incarnation."""

    async def check() -> bool:
        found = await _incarnation(context.deployment, observer, name)
        return found > context.incarnation

    _run(context, _wait_for(check, f"{observer} holds the old {name}"))


@then('"{observer}" holds all others as "{state}"')
def check_all(context: Any, observer: str, state: str) -> None:
    """Waits until an instance holds all instances in a state."""
    for name in context.deployment.settings:
        _run(context, _wait_state(context.deployment, observer, name, state))


@then('the log of "{name}" names no member that died after it was stopped')
def check_no_death(context: Any, name: str) -> None:
    """Checks that an instance held no other for dead since it was stopped."""
    deaths = [
        line
        for line in _log_lines(context, name)[context.log_mark :]
        if line["event"] == "member_changed" and line["state"] == "dead"
    ]
    assert not deaths, deaths


@given("targets that take {time_ms:d} ms")
def slow_targets(context: Any, time_ms: int) -> None:
    """Makes all targets slow and gives searches the time to wait."""
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
    """Sends a search and waits until the instance counts it."""
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
    """Begins a planned stop and waits until the instance has seen it."""
    context.deployment.signal(name, signal.SIGTERM)

    async def check() -> bool:
        state = await context.deployment.ops(name, "/ops/state")
        return state["phase"] != "serving"

    _run(context, _wait_for(check, f"{name} does not stop"))


@when('"{name}" is sent SIGTERM again')
def terminate_again(context: Any, name: str) -> None:
    """Forces the stop."""
    context.deployment.signal(name, signal.SIGTERM)


@then('"{name}" exits with code {code:d}')
def check_exit(context: Any, name: str, code: int) -> None:
    """Waits for the end while the event loop goes on."""
    found = _run(context, asyncio.to_thread(context.deployment.wait_exit, name))
    assert found == code, found


@then("the search in flight covers {count:d} shards")
def check_search(context: Any, count: int) -> None:
    """Checks the answer of the search that was in flight."""
    answer = _run(context, context.search)
    assert len(answer["covered"]) == count, answer


@then('the log of "{name}" names exactly the caller\'s search as cut')
def check_cut(context: Any, name: str) -> None:
    """Checks the list of cut requests against what was in flight."""
    lines = _log_lines(context, name)
    cut = [line for line in lines if line["event"] == "stop_cut_short"]
    assert len(cut) == 1, cut
    ids = [r["request_id"] for r in cut[0]["requests"] if r["kind"] == "caller"]
    assert ids == context.request_ids, (ids, context.request_ids)
    try:
        _run(context, context.search)
    except aiohttp.ClientError:
        return
    raise AssertionError("the search that was named as cut was answered")


class Streams:
    """Callers that send one request after another to each instance.

    A caller gives up an instance that refuses its connection, which is no cut.
    """

    def __init__(self, deployment: Any):
        self.deployment = deployment
        self.answered = 0
        self.failures: list[str] = []
        self.is_over = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the callers."""
        for name in self.deployment.settings:
            for send in (self._search, self._book):
                for _ in range(4):
                    self.tasks.append(
                        asyncio.ensure_future(self._stream(name, send))
                    )

    async def _stream(self, name: str, send: Callable[[str], Any]) -> None:
        while not self.is_over:
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
        is_refused = answer["outcome"] == "not_run" and kind in REFUSALS
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


@given("streams of searches and bookings through all instances")
def start_streams(context: Any) -> None:
    """Starts callers on each instance."""
    for name in context.deployment.settings:
        _run(context, _wait_all_alive(context.deployment, name))
    context.streams = Streams(context.deployment)
    context.loop.call_soon(context.streams.start)


@when('"{name}" is sent SIGTERM under the streams')
def terminate_under_streams(context: Any, name: str) -> None:
    """Begins a planned stop while the streams run."""
    _run(context, asyncio.sleep(STREAM_BEFORE_S))
    context.deployment.signal(name, signal.SIGTERM)


@then("no request of the streams was cut")
def check_streams(context: Any) -> None:
    """Ends the streams and checks every answer."""
    _run(context, asyncio.sleep(STREAM_AFTER_S))
    context.streams.is_over = True
    _run(context, asyncio.gather(*context.streams.tasks))
    assert context.streams.answered, "no request was answered"
    assert not context.streams.failures, context.streams.failures[:5]
