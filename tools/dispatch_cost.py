"""Measures the CPU time of dispatch per request; run manually.

The target runs in a separate process, so its CPU time is not counted.
Usage: .venv/bin/python tools/dispatch_cost.py [REQUESTS]
"""

import asyncio
from collections.abc import Callable
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import uvloop

from lycheerock._internal.dispatch import dispatcher as dispatcher_lib
from lycheerock._internal.dispatch import ownership
from lycheerock._internal.dispatch import target_states
from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import links as links_lib
from lycheerock._internal.peers import server as peer_server
from lycheerock_bench import harness
from lycheerock_bench._internal import deployments
from lycheerock_model import bundle_check

# Above the ports used by the harness and below the kernel's ephemeral port
# range.
_TARGET_PORT = 32_400
_PEER_ADDRESS = "127.0.0.1:32450"
_START_ATTEMPTS_MAX = 400
_CONCURRENCY = 30
_SHARD_COUNT = 980
_SERVICE_SHAPE = harness.ServiceShape("cost", "latency", 1, 1, 1, 3, 30)

Submit = Callable[
    [work_lib.TargetRequest], asyncio.Future[work_lib.TargetResult]
]


def _make_work(number: int) -> work_lib.TargetRequest:
    body = {
        "service": "cost",
        "shard": "s0",
        "shard_map_version": 1,
        "index_version": 0,
        "attempt_id": f"a{number}",
        "query": "q",
    }
    return work_lib.TargetRequest(
        attempt_id=f"a{number}",
        caller="c",
        service="cost",
        target_id="cost-t0",
        path="/v1/shard",
        body=json.dumps(body).encode(),
        deadline_s=time.monotonic() + 30.0,
        idempotent=True,
    )


async def _measure(name: str, submit: Submit, count: int) -> None:
    """Prints the CPU time per request, with `_CONCURRENCY` in flight."""
    failed = 0
    numbers = iter(range(count))

    async def run_requests() -> None:
        nonlocal failed
        for number in numbers:
            result = await submit(_make_work(number))
            failed += result.status != work_lib.Status.REPLIED

    started_s = time.process_time()
    await asyncio.gather(*(run_requests() for _ in range(_CONCURRENCY)))
    used_us = (time.process_time() - started_s) / count * 1e6
    print(f"{name}: {used_us:.0f} us CPU per request, {failed} failed")


def _reply_immediately(
    _: work_lib.TargetRequest,
) -> asyncio.Future[work_lib.TargetResult]:
    future = asyncio.get_running_loop().create_future()
    future.set_result(work_lib.TargetResult(work_lib.Status.REPLIED, b"{}"))
    return future


async def _measure_peer_link(count: int) -> None:
    async def unused_handler(request: object) -> None:
        raise NotImplementedError

    servicer = peer_server.PeerServicer(
        _reply_immediately,
        unused_handler,  # type: ignore[arg-type]
        unused_handler,  # type: ignore[arg-type]
    )
    server = await peer_server.start(_PEER_ADDRESS, servicer)
    link = links_lib.PeerLink(_PEER_ADDRESS)
    task = asyncio.create_task(link.run())
    while not link.is_ready:
        await asyncio.sleep(0.01)
    await _measure("peer link, both ends", link.submit, count)
    task.cancel()
    await server.stop(None)


def _measure_owners(dispatcher: dispatcher_lib.Dispatcher) -> None:
    """Prints the CPU time of one lookup of the owners of a target."""
    started_s = time.process_time()
    for _ in range(_SHARD_COUNT):
        dispatcher.owners("cost-t0")
    used_us = (time.process_time() - started_s) / _SHARD_COUNT * 1e6
    print(f"owner of a target: {used_us:.2f} us CPU per shard")


async def _measure_all(text: bytes, count: int) -> None:
    candidates = tuple(
        ownership.Candidate(f"i{n}", "montreal", "montreal-a") for n in range(5)
    )
    dispatcher = dispatcher_lib.Dispatcher(
        "i0", lambda: candidates, {}, target_states.TargetStates()
    )
    dispatcher.apply(bundle_check.load(text))
    for _ in range(_START_ATTEMPTS_MAX):
        result = await dispatcher.submit_direct(_make_work(0))
        if result.status == work_lib.Status.REPLIED:
            break
        await asyncio.sleep(0.05)
    else:
        raise RuntimeError("the target does not answer; is its port in use?")
    _measure_owners(dispatcher)
    await _measure("own connections", dispatcher.submit_direct, count)
    await dispatcher.close()
    await _measure_peer_link(count)


def main(count: int) -> None:
    """Measures each dispatch path with `count` requests."""
    bundle = deployments.build_bundle(
        [_SERVICE_SHAPE], list(harness.LOCAL_ZONES), _TARGET_PORT, 5
    )
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "bundle.json"
        path.write_text(json.dumps(bundle), encoding="utf-8")
        command = [sys.executable, "-m", "lycheerock_bench", "targets"]
        target = subprocess.Popen([*command, "--bundle", str(path)])
        try:
            uvloop.run(_measure_all(path.read_bytes(), count))
        finally:
            target.kill()
            target.wait()


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 6_000)
