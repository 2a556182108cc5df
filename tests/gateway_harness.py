"""Test harness: a gateway, a fake store and fake targets in one process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import os
import pathlib
import time
from typing import Any

import aiohttp
import aiohttp.test_utils
import harnesses
import yarl

from lycheerock._internal.gateway import daemon as daemon_lib
from lycheerock._internal.lifecycle import log_stream
from lycheerock_bench import ports
from lycheerock_bench._internal import fake_http_target
from lycheerock_bench._internal import fake_platform
from lycheerock_model import gateway_settings

HOST = "search.example"


def record(value: int) -> bytes:
    """Returns a 16-byte record that sorts by `value`."""
    return value.to_bytes(16, "big")


def search_route(shards: list[str], **changes: Any) -> dict[str, Any]:
    return {
        "name": "search",
        "host": HOST,
        "path_prefix": "/s/",
        "kind": "safe",
        "timeout_ms": 1000,
        "slo_ms": 200,
        "gather": shards,
        "max_attempts": 2,
        "top_k": 3,
        "min_shard_share": 0.5,
    } | changes


def forward_route(service: str, kind: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": f"forward-{kind}",
        "host": HOST,
        "path_prefix": f"/{kind}/",
        "kind": kind,
        "timeout_ms": 1000,
        "slo_ms": 300,
        "service": service,
        "max_attempts": 2,
    } | changes


class GatewayHarness:
    """Owns the gateway, the fake store and the fake targets of one test."""

    def __init__(self) -> None:
        self.platform = fake_platform.FakePlatform(seed=1)
        self.targets: dict[str, fake_http_target.FakeHttpTarget] = {}
        self.version = 0
        self.daemon: daemon_lib.GatewayDaemon | None = None
        self.task: asyncio.Task[int] | None = None
        self.caller_port = ports.free_port()
        self._stack = contextlib.AsyncExitStack()
        self.session: aiohttp.ClientSession | None = None
        self._store_port = 0

    async def open(self) -> None:
        server = aiohttp.test_utils.TestServer(self.platform.build())
        await server.start_server()
        self._stack.push_async_callback(server.close)
        self._store_port = server.port or 0
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._stack.push_async_callback(self.session.close)

    async def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        for target in self.targets.values():
            await target.stop()
        # Ends pending watches, which would delay the shutdown of the store.
        await self.platform.compact_history()
        await self._stack.aclose()

    async def add_target(
        self, target_id: str, service: str, body: bytes = b"", **spec: Any
    ) -> fake_http_target.FakeHttpTarget:
        target = fake_http_target.FakeHttpTarget(target_id, body)
        await target.start()
        self.targets[target_id] = target
        await self.list_target(target, service, **spec)
        return target

    async def list_target(
        self,
        target: fake_http_target.FakeHttpTarget,
        service: str,
        **changes: Any,
    ) -> None:
        spec = {
            "service": service,
            "address": f"127.0.0.1:{target.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": 1,
            "born": 1,
        }
        await self.platform.store("servers", target.target_id, spec | changes)

    async def configure(
        self,
        routes: list[dict[str, Any]],
        max_conns: int = 64,
        tenants: list[dict[str, Any]] | None = None,
        **limits: float,
    ) -> None:
        self.version += 3
        names = {route.get("service") for route in routes}
        for route in routes:
            names.update(route.get("gather", ()))
            names.update(p["service"] for p in route.get("split", ()))
        services = [
            {"name": name, "health_path": "/h", "max_conns": max_conns}
            for name in sorted(names - {None})
        ]
        await self.platform.store(
            "config",
            "main",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 15000}
                | limits,
            }
            | ({} if tenants is None else {"tenants": tenants}),
        )

    def settings(self, **changes: Any) -> gateway_settings.GatewaySettings:
        return gateway_settings.check(
            {
                "interface": "gateway",
                "instance_id": "g0",
                "zone": "z1",
                "region_by_zone": {"z1": "r1", "z2": "r2"},
                "caller_address": f"127.0.0.1:{self.caller_port}",
                "readiness_address": f"127.0.0.1:{ports.free_port()}",
                "operator_address": f"127.0.0.1:{ports.free_port()}",
                "feed_address": f"127.0.0.1:{ports.free_port()}",
                "platform_address": f"127.0.0.1:{self._store_port}",
                "grace_limit_s": 6.0,
                "retry_allowance_count": 80.0,
            }
            | changes
        )

    async def start_gateway(self, *, wait: bool = True, **changes: Any) -> None:
        reader, writer = os.pipe()
        stream = log_stream.NonBlockingStream(writer)
        self._stack.callback(os.close, reader)
        self._stack.callback(os.close, writer)
        self.daemon = daemon_lib.GatewayDaemon(
            self.settings(**changes), pathlib.Path("absent.json"), stream
        )
        self.task = asyncio.create_task(self.daemon.run())
        if wait:
            await self.wait_for(lambda: bool(self.dump()["is_ready"]))

    def dump(self) -> dict[str, Any]:
        assert self.daemon is not None
        return self.daemon.dump()

    async def wait_for(
        self,
        condition: Callable[[], bool],
        limit_s: float = 10.0,
        interval_s: float = 0.01,
    ) -> None:
        """Waits for a condition.

        Args:
          condition: Returns whether the wait ends.
          limit_s: Maximum time to wait.
          interval_s: Time between two checks; 0 checks in each iteration of the
            event loop, which misses no state that lasts for two of them.
        """
        end_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end_s:
                raise TimeoutError("the condition was not met in time")
            await asyncio.sleep(interval_s)

    async def call(
        self,
        path: str,
        request_id: str,
        *,
        method: str = "GET",
        deadline_ms: int | None = 1000,
        headers: dict[str, str] | None = None,
        data: bytes | None = None,
    ) -> tuple[int, Mapping[str, str], bytes]:
        assert self.session is not None
        sent = {"Host": HOST, "X-Request-Id": request_id}
        if deadline_ms is not None:
            sent["X-Deadline-Ms"] = str(deadline_ms)
        async with self.session.request(
            method,
            yarl.URL(
                f"http://127.0.0.1:{self.caller_port}{path}", encoded=True
            ),
            headers=sent | (headers or {}),
            data=data,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            return response.status, response.headers, body


def run(test: Callable[[GatewayHarness], Awaitable[None]]) -> None:
    """Runs a test with a new harness."""
    harnesses.run_with(GatewayHarness(), test)
