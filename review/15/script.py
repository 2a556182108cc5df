"""A cap is lifted after its owner was killed, and set again; see claim.txt."""

import asyncio
import collections
from collections.abc import Callable
import json
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
GATEWAYS = 5
TENANT = "t-big"
KEY = {"Authorization": "Bearer key-of-t-big"}
RATE_PER_S = 240
BURST = 20
WINDOW_S = 5.0
COUNT_MAX = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20
USUAL_PER_S = 215.0
CLIENTS_PER_GATEWAY = 40
CONFIG_APPLY_S = 5.0
STABLE_S = 6.0
FLOOD_PER_S = 450.0
FLOOD_S = 8.0


def desired_state(version: int, rate_per_s: int) -> dict[str, Any]:
    """Returns a desired state; a rate of 0 sets no limit."""
    cap = {"rate_per_s": rate_per_s, "burst": BURST if rate_per_s else 0}
    return {
        "version": version,
        "routes": [
            {
                "name": "r-export",
                "host": stand_ins.HOST,
                "path_prefix": "/export/",
                "kind": "safe",
                "timeout_ms": 6000,
                "slo_ms": 946,
                "priority": 2,
                "service": "agency-feed",
                "max_attempts": 2,
            }
        ],
        "services": [
            stand_ins.service("agency-feed") | {"max_conns": 440},
        ],
        "tenants": [
            {"name": TENANT, "api_keys": ["key-of-t-big"], **cap},
            {"name": "t-small", "api_keys": ["key-of-t-small"]},
        ],
        "limits": stand_ins.LIMITS,
    }


class Traffic:
    """Clients of the tenant at one gateway, at a rate that can be changed."""

    def __init__(
        self, gateway: stand_ins.Gateway, answers: list[stand_ins.Answer]
    ) -> None:
        self._gateway = gateway
        self._answers = answers
        self.per_s = 0.0
        self.is_stopping = False

    async def run(self) -> None:
        """Sends requests until `is_stopping` is set."""
        await asyncio.gather(
            *(self._calls() for _ in range(CLIENTS_PER_GATEWAY))
        )

    async def _calls(self) -> None:
        client = stand_ins.Client(self._gateway.caller_address)
        while not self.is_stopping:
            if self.per_s <= 0.0:
                await asyncio.sleep(0.05)
                continue
            due_s = time.monotonic() + CLIENTS_PER_GATEWAY / self.per_s
            self._answers.append(
                await client.call("export", "GET", "/export/q", 6000, KEY)
            )
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        client.close()


async def owner_of(gateway: stand_ins.Gateway) -> str:
    """Returns the address of the holder of the tenant's cap, or ''."""
    client = stand_ins.Client(gateway.addresses["operator_address"])
    answer = await client.call("state", "GET", "/state", 2000)
    client.close()
    for known in json.loads(answer.body)["workspaces"]["workspaces"]:
        if known["workspace"] == TENANT:
            return str(known["owner"])
    return ""


async def main() -> int:
    """Returns the exit code."""
    record = (HERE / "record.txt").open("w", encoding="utf-8")
    with stand_ins.temporary_directory() as name:
        gateways: list[stand_ins.Gateway] = []
        try:
            store = stand_ins.Store()
            await store.start()
            leafs = [
                stand_ins.Leaf(f"i-feed-{n}", "agency-feed") for n in range(6)
            ]
            for leaf in leafs:
                await leaf.start(store, "xela-a")
            store.put("config", "main", desired_state(7, RATE_PER_S))
            for number in range(GATEWAYS):
                gateway = stand_ins.Gateway(
                    number, pathlib.Path(name), store.port
                )
                gateway.settings |= {
                    "quota_window_s": WINDOW_S,
                    "quota_overshoot_ratio": 0.1,
                    "quota_slack_count": 20,
                    "stable_window_ms": 6000,
                    "drain_ms": 5000,
                }
                gateways.append(gateway)
            seeds = [g.addresses["feed_address"] for g in gateways[:3]]
            for gateway in gateways:
                gateway.settings["seed_addresses"] = seeds
                gateway.start()
            for gateway in gateways:
                if not await gateway.wait_ready():
                    return 2
            return await play(gateways, store, leafs, record)
        finally:
            for gateway in gateways:
                gateway.kill()
            record.close()


async def cause_trouble(
    killed: stand_ins.Gateway,
    store: stand_ins.Store,
    note: Callable[[str], None],
) -> bool:
    """Returns whether the killed process is ready again."""
    note(f"front-{killed.number} is killed")
    killed.kill()
    await asyncio.sleep(1.2)
    note("the cap is lifted")
    store.put("config", "main", desired_state(9, 0))
    await asyncio.sleep(1.0)
    killed.start()
    if not await killed.wait_ready():
        return False
    note(f"front-{killed.number} is back")
    await asyncio.sleep(STABLE_S)
    note("the cap is set again")
    store.put("config", "main", desired_state(12, RATE_PER_S))
    return True


async def play(
    gateways: list[stand_ins.Gateway],
    store: stand_ins.Store,
    leafs: list[stand_ins.Leaf],
    record: TextIO,
) -> int:
    """Sends requests, causes the faults and returns the exit code."""
    # The instances find each other, and the caps have their holders.
    await asyncio.sleep(12.0)
    answers: list[stand_ins.Answer] = []
    traffic = [Traffic(gateway, answers) for gateway in gateways]
    tasks = [asyncio.create_task(t.run()) for t in traffic]
    start_s = time.monotonic()

    def note(text: str) -> None:
        record.write(f"{time.monotonic() - start_s:6.2f} s  {text}\n")

    for one in traffic:
        one.per_s = USUAL_PER_S / GATEWAYS
    await asyncio.sleep(6.0)
    owner = await owner_of(gateways[0])
    found = [g for g in gateways if g.addresses["feed_address"] == owner]
    if not found:
        return 2
    (killed,) = found
    if HAS_TROUBLE:
        if not await cause_trouble(killed, store, note):
            return 2
    else:
        await asyncio.sleep(STABLE_S)
    # The usual traffic goes on until the limit binds.
    await asyncio.sleep(CONFIG_APPLY_S + WINDOW_S)
    binds_s = time.monotonic()
    note("the limit binds")
    for one in traffic:
        one.per_s = 0.0
    await asyncio.sleep(1.0)
    flooded = traffic[gateways.index(killed)]
    flooded.per_s = FLOOD_PER_S
    note(f"{FLOOD_PER_S} requests a second at front-{killed.number}")
    await asyncio.sleep(FLOOD_S)
    for one in traffic:
        one.is_stopping = True
    await asyncio.gather(*tasks)
    return judge(answers, leafs, (start_s, binds_s), record)


def judge(
    answers: list[stand_ins.Answer],
    leafs: list[stand_ins.Leaf],
    times_s: tuple[float, float],
    record: TextIO,
) -> int:
    """Checks the rule QUOTA and returns the exit code."""
    start_s, binds_s = times_s
    seconds: dict[int, collections.Counter[int]] = collections.defaultdict(
        collections.Counter
    )
    for answer in answers:
        seconds[int(answer.sent_s - start_s)][answer.status] += 1
    for second in sorted(seconds):
        record.write(
            f"{second:3d} s  {dict(sorted(seconds[second].items()))}\n"
        )
    sent_s = {answer.request_id: answer.sent_s for answer in answers}
    runs = sorted(
        (ran_s, sent_s[request_id])
        for leaf in leafs
        for ran_s, request_id, headers in leaf.runs
        if headers.get("x-tenant") == TENANT and request_id in sent_s
    )
    most, most_s = 0, 0.0
    for window_s in sorted(sent for _, sent in runs if sent >= binds_s):
        count = sum(
            sent >= window_s and ran_s <= window_s + WINDOW_S
            for ran_s, sent in runs
        )
        if count > most:
            most, most_s = count, window_s
    record.write(
        f"fullest window after the limit binds: {most} at "
        f"{most_s - start_s:.2f} s; allowed {COUNT_MAX:.0f}\n"
    )
    is_broken = most > COUNT_MAX
    record.write(f"QUOTA is {'broken' if is_broken else 'kept'}\n")
    print(f"fullest window {most}, allowed {COUNT_MAX:.0f}")
    return int(is_broken)


sys.exit(stand_ins.run_case(main()))
