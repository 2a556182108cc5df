"""A small deployment: gateway processes, a store, leafs and clients.

The gateways are separate processes, started with the command of the deploy
file. The store and the leafs are the project's own stand-ins and run in the
process of the script, as do the clients.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import tomllib
from typing import Any

import aiohttp
import aiohttp.web

from lycheerock_bench import ports
from lycheerock_bench._internal import fake_http_target
from lycheerock_bench._internal import fake_platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "search.example"
# Time limit of a client, and of the route, in milliseconds.
DEADLINE_MS = 2500

# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Returns whether the script causes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def write(self, event: str, **values: Any) -> None:
        """Writes one line with the time since the start."""
        elapsed_s = time.monotonic() - self._start_s
        text = " ".join(f"{key}={value}" for key, value in values.items())
        self._file.write(f"{elapsed_s:8.3f} {event} {text}\n")
        self._file.flush()


class Gateway:
    """One gateway process."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.caller, self.ready, self.operator, self.feed = (
            f"127.0.0.1:{ports.free_port()}" for _ in range(4)
        )
        self.process: asyncio.subprocess.Process | None = None

    def settings(self, store: str, seeds: list[str]) -> dict[str, Any]:
        """Returns settings as the template of the deploy file gives them."""
        return {
            "interface": "gateway",
            "instance_id": self.name,
            "zone": self.zone,
            "region_by_zone": {"z1": "r1", "z2": "r2", "z3": "r3"},
            "caller_address": self.caller,
            "readiness_address": self.ready,
            "operator_address": self.operator,
            "feed_address": self.feed,
            "seed_addresses": seeds,
            "grace_limit_s": 6,
            "stable_window_ms": 4000,
            "retry_ratio": 0.2,
            "retry_allowance_count": 58,
            "drain_ms": 3000,
            "memory_mb": 430,
            "fds_max": 6150,
            "cpu_share": 0.817,
            "cores": 2,
            "platform_address": store,
        }


class Fleet:
    """Owns all processes and stand-ins of one script."""

    def __init__(self, record: Record, directory: pathlib.Path) -> None:
        self.record = record
        self.store = fake_platform.FakePlatform(seed=1)
        self.gateways: list[Gateway] = []
        self.leafs: dict[str, fake_http_target.FakeHttpTarget] = {}
        self._directory = directory
        self._store_address = ""
        self._version = 0

    async def open(self) -> None:
        """Starts the store."""
        port = ports.free_port()
        runner = aiohttp.web.AppRunner(self.store.build(), access_log=None)
        await runner.setup()
        await aiohttp.web.TCPSite(runner, "127.0.0.1", port).start()
        self._store_address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Ends all processes that were started."""
        for gateway in self.gateways:
            await self.kill(gateway)
        for leaf in self.leafs.values():
            await leaf.stop()

    async def add_leaf(
        self, name: str, service: str, zone: str, delay_s: float
    ) -> fake_http_target.FakeHttpTarget:
        """Starts a leaf and registers it."""
        leaf = fake_http_target.FakeHttpTarget(name, name.encode() * 4)
        leaf.delay_s = delay_s
        await leaf.start()
        self.leafs[name] = leaf
        await self.store.store(
            "servers", name, leaf_entry(leaf.port, service, zone)
        )
        return leaf

    async def register(self, name: str, port: int, service: str) -> None:
        """Registers a leaf that a script has started itself."""
        await self.store.store("servers", name, leaf_entry(port, service, "z1"))

    async def configure_visits(self, kind: str) -> None:
        """Writes a desired state with one route to the service `agenda`."""
        route = {
            "name": "visit",
            "host": HOST,
            "path_prefix": "/visit/",
            "kind": kind,
            "timeout_ms": DEADLINE_MS,
            "slo_ms": 458,
            "priority": 2,
            "service": "agenda",
            "max_attempts": 2,
        }
        service = {"name": "agenda", "health_path": "/healthz", "max_conns": 52}
        await self.configure([route], [service])

    async def configure(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Writes the next desired state."""
        self._version += 3
        spec = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        await self.store.store("config", "main", spec)
        self.record.write("config", version=self._version)

    def add_gateways(self, zones: list[str]) -> None:
        """Plans one gateway in each of the zones."""
        for zone in zones:
            name = f"front-{len(self.gateways) + 1}"
            self.gateways.append(Gateway(name, zone))

    async def start(self, gateway: Gateway) -> None:
        """Starts a gateway with the command of the deploy file."""
        seeds = [g.feed for g in self.gateways[:3]]
        path = self._directory / f"{gateway.name}.json"
        settings = gateway.settings(self._store_address, seeds)
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with (self._directory / f"{gateway.name}.log").open("ab") as log:
            gateway.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=kept
                | role["env"]
                | {
                    "PYTHONPATH": "target/deps",
                    "LYCHEEROCK_CONFIG": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.write("started", gateway=gateway.name)

    async def kill(self, gateway: Gateway) -> None:
        """Kills a gateway process, if it runs."""
        process = gateway.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
            self.record.write("killed", gateway=gateway.name)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Asks a gateway as the platform does."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{gateway.ready}/readyz") as response,
            ):
                return response.status == 200
        return False

    async def wait_ready(self, limit_s: float) -> bool:
        """Waits until all gateways are ready; returns whether they are."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            ready = [await self.is_ready(g) for g in self.gateways]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def call(
        self,
        gateway: Gateway,
        path: str,
        request_id: str,
        method: str = "GET",
    ) -> int:
        """Sends one request on a new connection; returns its status or 0."""
        status = 0
        reason = ""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000)
            headers = {
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": str(DEADLINE_MS),
            }
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    f"http://{gateway.caller}{path}",
                    headers=headers,
                    data=b"visit" if method == "POST" else None,
                ) as response,
            ):
                body = await response.read()
                status = response.status
                reason = "" if status < 300 else body.decode().strip()
        self.record.write(
            "answer",
            id=request_id,
            gateway=gateway.name,
            status=status,
            reason=reason,
        )
        return status


def leaf_entry(port: int, service: str, zone: str) -> dict[str, Any]:
    """Returns the entry by which a leaf registers itself."""
    return {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": zone,
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "warmup_left_ms": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }


def record_task_errors(record: Record, directory: pathlib.Path) -> None:
    """Copies the first task errors of each process to the record."""
    for log in sorted(directory.glob("*.log")):
        errors = [
            line
            for line in log.read_text(errors="replace").splitlines()
            if '"task_restarted"' in line
        ]
        record.write("log", file=log.name, task_errors=len(errors))
        for line in errors[:3]:
            record.write("log", line=line)


def run(
    folder: pathlib.Path, script: Callable[[Fleet], Awaitable[int]]
) -> None:
    """Runs a script and exits with its result."""

    async def main() -> int:
        record = Record(folder / "record.txt")
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(record, pathlib.Path(directory))
            result = NOT_RUN
            try:
                async with asyncio.timeout(110.0):
                    await fleet.open()
                    result = await script(fleet)
            except (TimeoutError, OSError, RuntimeError) as error:
                record.write("not_run", error=repr(error))
            finally:
                await fleet.close()
                record_task_errors(record, pathlib.Path(directory))
            record.write("result", code=result)
            return result

    sys.exit(asyncio.run(main()))
