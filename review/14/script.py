"""The limit on headers is raised while connections are kept; see claim.txt."""

import asyncio
import collections
import os
import pathlib
import sys
import time
from typing import Any
from typing import TextIO

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness_3"))

import stand_ins  # noqa: E402 (the folder is not a package)

# TROUBLE=0 plays the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 40
PAUSE_S = 0.5
STABLE_S = 4.0
CONFIG_APPLY_S = 3.0
AFTER_S = 10.0
FIRST_LIMIT_BYTES = 16_384
SECOND_LIMIT_BYTES = 65_536
LONG_HEADER = {"Cookie": "basket=" + "x" * 30_000}


def desired_state(version: int, header_bytes: int) -> dict[str, Any]:
    """Returns a desired state with one booking route."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-book",
                "host": stand_ins.HOST,
                "path_prefix": "/book/",
                "kind": "unsafe",
                "timeout_ms": 2500,
                "slo_ms": 457,
                "priority": 2,
                "service": "agenda",
                "max_attempts": 2,
            }
        ],
        "services": [stand_ins.service("agenda")],
        "limits": stand_ins.LIMITS | {"max_header_bytes": header_bytes},
    }


async def main() -> int:
    """Returns the exit code."""
    record = (HERE / "record.txt").open("w", encoding="utf-8")
    with stand_ins.temporary_directory() as name:
        gateway = None
        try:
            store = stand_ins.Store()
            await store.start()
            leafs = [
                stand_ins.Leaf(f"i-agenda-{n}", "agenda") for n in range(3)
            ]
            for leaf in leafs:
                await leaf.start(store, "xela-a")
            first = FIRST_LIMIT_BYTES if HAS_TROUBLE else SECOND_LIMIT_BYTES
            store.put("config", "main", desired_state(7, first))
            gateway = stand_ins.Gateway(1, pathlib.Path(name), store.port)
            gateway.start()
            if not await gateway.wait_ready():
                return 2
            return await play(gateway, store, leafs, record)
        finally:
            if gateway is not None:
                gateway.kill()
            record.close()


async def play(
    gateway: stand_ins.Gateway,
    store: stand_ins.Store,
    leafs: list[stand_ins.Leaf],
    record: TextIO,
) -> int:
    """Sends requests, changes the desired state and returns the exit code."""
    answers: list[stand_ins.Answer] = []
    start_s = time.monotonic()
    # Until the new version is due everywhere, clients stay in the old limit.
    confirmed_s = start_s + STABLE_S + 1.0
    due_s = confirmed_s + CONFIG_APPLY_S + 1.0

    async def calls() -> None:
        client = stand_ins.Client(gateway.caller_address)
        while (now_s := time.monotonic()) < due_s + AFTER_S:
            headers = LONG_HEADER if now_s >= due_s else {}
            answers.append(
                await client.call("book", "POST", "/book/q", 2500, headers)
            )
            await asyncio.sleep(PAUSE_S)
        client.close()

    tasks = [asyncio.create_task(calls()) for _ in range(CLIENTS)]
    await asyncio.sleep(confirmed_s - time.monotonic())
    store.put("config", "main", desired_state(9, SECOND_LIMIT_BYTES))
    record.write(f"version 9 at {time.monotonic() - start_s:.2f} s\n")
    await asyncio.gather(*tasks)
    return judge(answers, leafs, start_s, record)


def judge(
    answers: list[stand_ins.Answer],
    leafs: list[stand_ins.Leaf],
    start_s: float,
    record: TextIO,
) -> int:
    """Checks the rule DENIED and returns the exit code."""
    seconds: dict[int, collections.Counter[int]] = collections.defaultdict(
        collections.Counter
    )
    for answer in answers:
        seconds[int(answer.sent_s - start_s)][answer.status] += 1
    for second, counts in sorted(seconds.items()):
        record.write(f"{second:3d} s  {dict(sorted(counts.items()))}\n")
    ran = {request_id for leaf in leafs for _, request_id, _ in leaf.runs}
    denied = [a for a in answers if 300 <= a.status < 500]
    denied = [a for a in denied if a.status not in (408, 421, 429)]
    for answer in denied:
        has_run = answer.request_id in ran
        record.write(
            f"{answer.sent_s - start_s:6.2f} s  {answer.request_id} got "
            f"{answer.status} {answer.body!r}, ran: {has_run}\n"
        )
    allowed = 5 + len(answers) / 500
    is_broken = len(denied) > allowed
    record.write(
        f"{len(denied)} of {len(answers)} denied, {allowed:.1f} allowed\n"
        f"DENIED is {'broken' if is_broken else 'kept'}\n"
    )
    print(f"{len(denied)} of {len(answers)} denied, {allowed:.1f} allowed")
    return int(is_broken)


sys.exit(stand_ins.run_case(main()))
