"""Stand-ins of the platform's store, of leafs and of clients.

They use the standard library only and run in the process of the script. They
follow the users' pages: the store's object API, leafs that sign and echo ids,
and clients that keep their connections.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "leno12.example"
RECORD_BYTES = 16

_REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict"}


# Below the ports of the project's own deployments and those that the kernel
# gives to outgoing connections.
_PORT_MIN = 10_000
_PORT_MAX = 17_999
_given_ports: set[int] = set()


def free_port() -> int:
    """Returns a loopback port that nobody uses, never the same one twice."""
    while True:
        port = random.randint(_PORT_MIN, _PORT_MAX)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class _HttpServer(asyncio.Protocol):
    """Splits the input of one connection into requests with a length."""

    def __init__(self, on_request: Callable[["_HttpServer"], None]) -> None:
        self._on_request = on_request
        self._input = b""
        self.method = ""
        self.path = ""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.transport: Any = None
        self.is_open = False
        self.on_lost: Callable[[_HttpServer], None] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        if self.on_lost is not None:
            self.on_lost(self)

    def data_received(self, data: bytes) -> None:
        self._input += data
        while True:
            end = self._input.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self._input[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self._input) < end + 4 + length:
                return
            self.body = self._input[end + 4 : end + 4 + length]
            self._input = self._input[end + 4 + length :]
            self.method, self.path, _ = lines[0].split(" ", 2)
            self.headers = headers
            self._on_request(self)

    def answer(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Writes a complete response if the connection is still open."""
        if not self.is_open:
            return
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
        lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
        lines.append(f"Content-Length: {len(body)}")
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Store:
    """The platform's store: objects, lists, watches and conditional writes."""

    def __init__(self) -> None:
        self.revision = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._watches: set[asyncio.Task[None]] = set()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free loopback port."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _HttpServer(self._on_request), "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object and returns the revision, as a confirmation."""
        self.revision += 1
        stored = {
            "meta": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = stored
        self._record(kind, {"object": stored, "removed": False})
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""
        stored = self._objects.pop((kind, name), None)
        if stored is None:
            return
        self.revision += 1
        stored = stored | {"meta": {"name": name, "revision": self.revision}}
        self._record(kind, {"object": stored, "removed": True})

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _on_request(self, call: _HttpServer) -> None:
        path, _, query_text = call.path.partition("?")
        query = dict(
            part.partition("=")[::2] for part in query_text.split("&") if part
        )
        _, _, kind, *rest = path.split("/")
        name = rest[0] if rest else ""
        if call.method == "GET" and "watch" in query:
            watch = asyncio.create_task(self._watch(call, kind, query))
            self._watches.add(watch)
            watch.add_done_callback(self._watches.discard)
            return
        status, document = self._handle(call, kind, name)
        self._answer(call, status, document)

    def _handle(
        self, call: _HttpServer, kind: str, name: str
    ) -> tuple[int, Any]:
        if call.method == "GET":
            return self._read(kind, name)
        document = json.loads(call.body or b"{}")
        if call.method == "POST":
            name = document["meta"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            self.put(kind, name, document.get("spec"))
            return 201, self._objects[kind, name]
        known = self._objects.get((kind, name))
        if known is None:
            return 404, {}
        revision = document.get("meta", {}).get("revision")
        if revision is not None and revision != known["meta"]["revision"]:
            return 409, known
        if document.get("spec") != known["spec"]:
            self.put(kind, name, document.get("spec"))
        return 200, self._objects[kind, name]

    def _read(self, kind: str, name: str) -> tuple[int, Any]:
        if name:
            found = self._objects.get((kind, name))
            return (404, {}) if found is None else (200, found)
        items = [v for (k, _), v in sorted(self._objects.items()) if k == kind]
        return 200, {"items": items, "more": False, "at_rev": self.revision}

    async def _watch(
        self, call: _HttpServer, kind: str, query: dict[str, str]
    ) -> None:
        since = int(query["watch"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self._changed
            events = [e for r, k, e in self._events if k == kind and r > since]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                # The answer then has no events.
                continue
        self._answer(call, 200, {"events": events, "at_rev": self.revision})

    def _answer(self, call: _HttpServer, status: int, document: Any) -> None:
        call.answer(
            status,
            json.dumps(document).encode(),
            {"Content-Type": "application/json"},
        )


@dataclasses.dataclass
class Leaf:
    """A leaf that runs each request for a few milliseconds.

    Attributes:
      leaf_id: Its id in the store.
      service: Its service.
      work_s: Time that a request takes.
      runs: Ids of the requests that it has begun to run, with their times.
    """

    leaf_id: str
    service: str
    work_s: float = 0.005
    port: int = 0
    runs: list[tuple[float, str, dict[str, str]]] = dataclasses.field(
        default_factory=list
    )

    async def start(self, store: Store, zone: str) -> None:
        """Listens on a free loopback port and registers in the store."""
        self._connections: set[_HttpServer] = set()
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        store.put(
            "servers",
            self.leaf_id,
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": zone,
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "warmup_left_ms": 0,
                "seq": 1,
                "born": time.time_ns() // 1_000_000,
            },
        )

    def _accept(self) -> _HttpServer:
        connection = _HttpServer(self._on_request)
        connection.on_lost = self._connections.discard
        self._connections.add(connection)
        return connection

    def cut_off(self) -> None:
        """Refuses connections; the entry in the store stays."""
        self._server.close()
        for connection in list(self._connections):
            if connection.transport is not None:
                connection.transport.abort()

    def _on_request(self, call: _HttpServer) -> None:
        request_id = call.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if call.headers.get("x-expect-instance", self.leaf_id) != self.leaf_id:
            call.answer(421, b"", echo | {"X-Request-Not-Executed": "1"})
            return
        self.runs.append((time.monotonic(), request_id, call.headers))
        signed = echo | {"X-Server-Stamp": f"{self.leaf_id}.{request_id}"}
        record = self.leaf_id.encode().ljust(RECORD_BYTES, b".")
        asyncio.get_running_loop().call_later(
            self.work_s, call.answer, 200, record, signed
        )


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a client has received; status 0 if the connection ended."""

    request_id: str
    kind: str
    sent_s: float
    ended_s: float
    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """One client with one connection that it keeps."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self,
        kind: str,
        method: str,
        path: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends one request and reads its answer, up to the time limit."""
        request_id = secrets.token_hex(8)
        sent_s = time.monotonic()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            *(f"{k}: {v}" for k, v in (headers or {}).items()),
        ]
        if method == "POST":
            lines.append("Content-Length: 0")
        status, found, body = 0, {}, b""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        self._host, self._port
                    )
                self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                status, found, body = await self._read()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            self.close()
        if found.get("connection", "").lower() == "close":
            self.close()
        return Answer(
            request_id, kind, sent_s, time.monotonic(), status, found, body
        )

    async def _read(self) -> tuple[int, dict[str, str], bytes]:
        assert self._reader is not None
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        found = {}
        for line in lines:
            name, _, value = line.partition(":")
            found[name.strip().lower()] = value.strip()
        length = int(found.get("content-length", "0"))
        return (
            int(first.split(" ")[1]),
            found,
            await self._reader.readexactly(length),
        )

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Gateway:
    """One process of the project, started as the deploy file says."""

    def __init__(
        self, number: int, directory: pathlib.Path, store_port: int
    ) -> None:
        ports = [free_port() for _ in range(4)]
        names = ("caller", "readiness", "operator", "feed")
        self.addresses = {
            f"{name}_address": f"127.0.0.1:{port}"
            for name, port in zip(names, ports, strict=True)
        }
        self.settings: dict[str, Any] = {
            "interface": "gateway",
            "instance_id": f"front-{number}",
            "zone": "xela-a",
            "region_by_zone": {"xela-a": "altiplano"},
            "seed_addresses": [],
            "grace_limit_s": 6,
            "stable_window_ms": 4000,
            "retry_ratio": 0.2,
            "retry_allowance_count": 58,
            "drain_ms": 3000,
            "memory_mb": 430,
            "fds_max": 6150,
            "cpu_share": 0.817,
            "cores": 2,
            "platform_address": f"127.0.0.1:{store_port}",
        } | self.addresses
        self._directory = directory
        self.number = number
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def caller_address(self) -> str:
        """Address to which clients connect."""
        return str(self.addresses["caller_address"])

    def start(self) -> None:
        """Starts the process."""
        path = self._directory / f"front-{self.number}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        with (self._directory / f"front-{self.number}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "lycheerock"],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "LYCHEEROCK_CONFIG": str(path),
                    "SSL_CERT_FILE": "/dev/null",
                    "SSL_CERT_DIR": "/dev/null",
                },
                stdout=log,
                stderr=log,
            )

    def log_lines(self, event: str) -> list[str]:
        """Returns the lines of the process's log that name an event."""
        text = (self._directory / f"front-{self.number}.log").read_text()
        return [line for line in text.splitlines() if f'"{event}"' in line]

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Waits until the process reports that it is ready."""
        end_s = time.monotonic() + limit_s
        probe = Client(self.addresses["readiness_address"])
        while time.monotonic() < end_s:
            answer = await probe.call("ready", "GET", "/readyz", 500)
            if answer.status == 200:
                probe.close()
                return True
            await asyncio.sleep(0.1)
        return False

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def temporary_directory() -> tempfile.TemporaryDirectory[str]:
    """Returns a folder for settings and logs of the processes."""
    return tempfile.TemporaryDirectory(prefix="lycheerock-review-")


def service(name: str) -> dict[str, Any]:
    """Returns a service of the desired state."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 52,
        "protocol": "h1",
        "tls": False,
    }


def run_case(case: Coroutine[Any, Any, int]) -> int:
    """Runs a case; an error or SIGTERM means that it couldn't run.

    Args:
      case: The case, which ends the processes that it has started.

    Returns:
      The exit code: that of the case, or 2.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return asyncio.run(case)
    except Exception:
        # Python's own exit code, 1, would mean that the rule was broken.
        traceback.print_exc()
        return 2


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
