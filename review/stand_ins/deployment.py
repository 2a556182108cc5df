"""Starts gateways as on the platform, and calls them as clients do."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
import uuid

import http11
import leafs as leafs_lib
import record as record_lib
import store as store_lib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "hufi27.example"

# Bounds of the site file xela-herraje.toml.
STABLE_WINDOW_S = 4.0
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
RECOVER_S = 12.0
GRACE_S = 6.0

# Ports below the range from which the kernel takes those of outgoing
# connections.
PORT_MIN = 18_000
PORT_MAX = 30_000


class CannotRunError(Exception):
    """The case could not run, so it shows nothing."""


_given_ports: set[int] = set()


def free_port() -> int:
    """Returns a port on which nothing listens, a new one each time."""
    while True:
        port = random.randint(PORT_MIN, PORT_MAX)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


@dataclasses.dataclass
class Answer:
    """What a client has seen of one attempt.

    Attributes:
      sent_s: Monotonic time at which it was sent.
      request_id: Its id.
      status: Status, or 0 if the connection ended or nothing came in time.
      headers: Headers by lower-case name.
      body: Body.
    """

    sent_s: float
    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes


class Gateway:
    """One process of the role `entry` of deploy/system.toml."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self._folder = folder
        self.caller_port = free_port()
        self.ready_port = free_port()
        self._operator_port = free_port()
        self.feed_port = free_port()
        self._process: subprocess.Popen[bytes] | None = None
        self.started_s = 0.0

    def write_settings(self, store_port: int, seeds: list[str]) -> None:
        """Writes the settings that the template gives on this site."""
        document = {
            "interface": "gateway",
            "instance_id": self.name,
            "zone": "xela-a",
            "region_by_zone": {
                "xela-a": "altiplano",
                "escuintla-a": "costa-sur",
                "zacapa-a": "oriente",
            },
            "caller_address": f"127.0.0.1:{self.caller_port}",
            "readiness_address": f"127.0.0.1:{self.ready_port}",
            "operator_address": f"127.0.0.1:{self._operator_port}",
            "feed_address": f"127.0.0.1:{self.feed_port}",
            "seed_addresses": seeds,
            "grace_limit_s": int(GRACE_S),
            "stable_window_ms": int(1000 * STABLE_WINDOW_S),
            "retry_ratio": 0.2,
            "retry_allowance_count": 58,
            "platform_address": f"127.0.0.1:{store_port}",
        }
        self._settings_path.write_text(json.dumps(document), encoding="utf-8")

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._folder / f"{self.name}.json"

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        words = shlex.split(role["run"])
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "LYCHEEROCK_CONFIG": str(self._settings_path),
        } | role.get("env", {})
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_s = time.monotonic()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def wait_ended(self) -> int:
        """Waits for the end of the process, GRACE_S at most."""
        assert self._process is not None
        end_s = time.monotonic() + GRACE_S
        while self._process.poll() is None:
            if time.monotonic() > end_s:
                self._process.kill()
            await asyncio.sleep(0.05)
        return self._process.wait()

    def kill(self) -> None:
        """Ends the process now."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    async def is_ready(self) -> bool:
        """Asks for readiness, as the platform does each second."""
        found = await _exchange(
            self.ready_port, b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1.0
        )
        return found is not None and found.status == 200

    async def call(self, path: str, *, limit_s: float = 2.5) -> Answer:
        """Sends a request on a new connection."""
        request_id = uuid.uuid4().hex[:16]
        request = (
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {int(1000 * limit_s)}\r\n"
            "\r\n"
        )
        sent_s = time.monotonic()
        found = await _exchange(self.caller_port, request.encode(), limit_s)
        if found is None:
            return Answer(sent_s, request_id, 0, {}, b"")
        return Answer(
            sent_s, request_id, found.status, found.headers, found.body
        )


async def _exchange(
    port: int, request: bytes, limit_s: float
) -> http11.Message | None:
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request)
            return await http11.read(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Deployment:
    """Owns the store, the leafs and the gateways of one case."""

    def __init__(
        self, record: record_lib.Record, folder: pathlib.Path, count: int
    ) -> None:
        self.record = record
        self.store = store_lib.Store(record)
        self._store_port = free_port()
        self._folder = folder
        self.gateways = [Gateway(f"front-{n}", folder) for n in range(count)]
        self.leafs: dict[str, leafs_lib.Leaf] = {}
        self.has_disruption = os.environ.get("TROUBLE", "1") != "0"

    async def start_store(self) -> None:
        """Starts the store."""
        await self.store.start(self._store_port)

    async def add_leaf(self, target_id: str, service: str) -> leafs_lib.Leaf:
        """Starts a leaf and lists it in the store."""
        leaf = leafs_lib.Leaf(self.record, target_id, service, free_port())
        await leaf.start()
        self.leafs[target_id] = leaf
        self.store.put("servers", target_id, leaf.entry())
        return leaf

    def configure(self, version: int, routes: list[dict[str, Any]]) -> float:
        """Writes a desired state; returns the time of its confirmation."""
        names = sorted({leaf.service for leaf in self.leafs.values()})
        services = [
            {"name": name, "health_path": "/healthz", "max_conns": 52}
            for name in names
        ]
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 15_000,
        }
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        confirmed_s = self.store.put("config", "main", spec)
        self.record.add("desired state confirmed", version=version)
        return confirmed_s

    async def start_gateways(self) -> None:
        """Starts all gateways at the same time and waits until all are ready.

        Raises:
          CannotRunError: One of them is not ready in time.
        """
        seeds = [f"127.0.0.1:{g.feed_port}" for g in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(self._store_port, seeds)
            gateway.start()
            self.record.add("gateway started", gateway=gateway.name)
        for gateway in self.gateways:
            await wait_ready(gateway, 20.0)

    async def call(
        self, gateway: Gateway, path: str, *, limit_s: float = 2.5
    ) -> Answer:
        """Sends a request and records it."""
        answer = await gateway.call(path, limit_s=limit_s)
        self.record.add(
            "answer",
            gateway=gateway.name,
            id=answer.request_id,
            path=path,
            sent_s=self.record.since_start(answer.sent_s),
            status=answer.status,
            body=answer.body.decode("latin-1").strip(),
        )
        return answer

    def stop(self) -> None:
        """Ends all processes."""
        for gateway in self.gateways:
            gateway.kill()


async def wait_ready(gateway: Gateway, limit_s: float) -> None:
    """Waits until a gateway is ready.

    Raises:
      CannotRunError: It is not ready in time.
    """
    end_s = time.monotonic() + limit_s
    while not await gateway.is_ready():
        if time.monotonic() > end_s:
            raise CannotRunError(f"{gateway.name} is not ready")
        await asyncio.sleep(0.05)


def route(path_prefix: str, service: str, kind: str = "safe") -> dict[str, Any]:
    """Returns a route to one service, as on the site xela-herraje."""
    return {
        "name": "r" + path_prefix.strip("/"),
        "host": HOST,
        "path_prefix": path_prefix,
        "kind": kind,
        "timeout_ms": 2_500,
        "slo_ms": 457,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }


def run(
    folder: pathlib.Path,
    gateway_count: int,
    case: Callable[[Deployment], Awaitable[list[str]]],
) -> int:
    """Runs a case.

    Args:
      folder: Folder of the case, in which the record is written.
      gateway_count: Number of gateways.
      case: Runs the case and returns the descriptions of what broke the rule.

    Returns:
      Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
      not run.
    """
    record = record_lib.Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as scratch:
        path = pathlib.Path(scratch)

        async def play() -> list[str]:
            deployment = Deployment(record, path, gateway_count)
            try:
                await deployment.start_store()
                return await case(deployment)
            finally:
                deployment.stop()

        try:
            broken = asyncio.run(play())
        except (CannotRunError, OSError) as error:
            record.add("could not run", error=str(error))
            record.close()
            sys.stdout.write(f"could not run: {error}\n")
            return 2
        if os.environ.get("KEEP_LOGS"):
            for log in sorted(path.glob("*.log")):
                sys.stdout.write(f"== {log.name}\n{log.read_text()}\n")
    for line in broken:
        record.add("broken", what=line)
        sys.stdout.write(f"broken: {line}\n")
    record.add("end", broken=len(broken))
    record.close()
    sys.stdout.write(f"{len(broken)} breaches of the rule\n")
    return 1 if broken else 0
