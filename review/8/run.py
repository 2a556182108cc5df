"""All instances restart while the store lists one entry of another writer."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness_2 import fleet as fleet_lib

RECOVER_S = 12.0
REQUEST_COUNT = 60
# A number that no fixed-size integer or floating-point type holds.
SLOTS = b"1" + b"0" * 400


async def script(fleet: fleet_lib.Fleet) -> int:
    """Serves, kills all processes, and serves again after `recover_s`."""
    for number, zone in enumerate(("z1", "z2", "z3")):
        await fleet.add_leaf(f"i-{number}c", "agenda", zone, 0.02)
    await fleet.configure_visits("safe")
    fleet.add_gateways(["z1", "z2", "z3"])
    for gateway in fleet.gateways:
        await fleet.start(gateway)
    if not await fleet.wait_ready(15.0):
        return fleet_lib.NOT_RUN
    before = await send(fleet, "before")
    if fleet_lib.has_trouble():
        spec = (
            b'{"service":"agenda","address":"127.0.0.1:9","zone":"z1",'
            b'"version":"v1","slots":' + SLOTS + b',"state":"ready",'
            b'"warmup_left_ms":0,"seq":1,"born":1}'
        )
        await fleet.store.store_raw("servers", "i-0a", spec)
        fleet.record.write("entry", name="i-0a", slots="a number of 401 digits")
    for gateway in fleet.gateways:
        await fleet.kill(gateway)
    await asyncio.sleep(0.8)
    for gateway in fleet.gateways:
        await fleet.start(gateway)
    await asyncio.sleep(RECOVER_S)
    ready = [await fleet.is_ready(gateway) for gateway in fleet.gateways]
    after = await send(fleet, "after")
    fleet.record.write("served", before=before, after=after, ready=ready)
    if 4 * before < REQUEST_COUNT:
        return fleet_lib.NOT_RUN
    return fleet_lib.BROKEN if 4 * after < REQUEST_COUNT else fleet_lib.HELD


async def send(fleet: fleet_lib.Fleet, label: str) -> int:
    """Sends requests to all instances; returns how many were served."""
    served = 0
    for number in range(REQUEST_COUNT):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        status = await fleet.call(
            gateway, f"/visit/{number}", f"{label}-{number}"
        )
        served += status == 200
        await asyncio.sleep(0.03)
    return served


if __name__ == "__main__":
    fleet_lib.run(pathlib.Path(__file__).resolve().parent, script)
