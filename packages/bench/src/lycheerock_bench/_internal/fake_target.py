"""Fake target that simulates slots, connections, index versions and faults."""

import asyncio
import collections
import dataclasses
import random
import time
from typing import Any

import aiohttp.web
import msgspec

# Extra service time at the start of a cold start, as a multiple of the normal
# service time.
COLD_EXTRA_FACTOR = 9.0


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """Configurable behaviour of a fake target.

    The control interface always replaces the whole behaviour.

    Attributes:
      service_time_ms: Median time to serve one request.
      service_time_sigma: Sigma of the lognormal service time.
      slow_ratio: Share of requests that are slow.
      slow_factor: Multiplier of the service time of slow requests.
      connect_ms: Delay of the first request on a new connection.
      cold_s: Duration of a cold start, which begins when this behaviour is
        set. Service times fall linearly from ten times the normal time.
      shed_ratio: Share of requests that are shed although slots are free.
      state: "serving" or "draining".
      state_sequence: Sequence number of the state.
      held: Index versions that the target holds, by shard map version.
      silent_connections: Whether the connections that are open when this
        behaviour is set stop replying.
      malformed: Whether replies are HTML instead of JSON.
      endless: Whether replies never end.
      late_replies: Whether each request gets the reply to the previous one.
      duplicate_replies: Whether each reply is sent twice.
    """

    service_time_ms: float = 2.0
    service_time_sigma: float = 0.3
    slow_ratio: float = 0.0
    slow_factor: float = 20.0
    connect_ms: float = 1.0
    cold_s: float = 0.0
    shed_ratio: float = 0.0
    state: str = "serving"
    state_sequence: int = 0
    held: dict[int, tuple[int, ...]] = dataclasses.field(
        default_factory=lambda: {1: (1,)}
    )
    silent_connections: bool = False
    malformed: bool = False
    endless: bool = False
    late_replies: bool = False
    duplicate_replies: bool = False


class FakeTarget:
    """Serves one target and counts the requests it receives."""

    def __init__(self, target_id: str, slot_count: int, seed: int):
        self._target_id = target_id
        self._slot_count = slot_count
        self._random = random.Random(f"{seed}/{target_id}")
        self._epoch = time.time_ns() // 1_000_000
        self._busy_slots = 0
        self._behaviour = Behaviour()
        self._behaviour_set_s = time.monotonic()
        self._open_connections: set[asyncio.BaseTransport] = set()
        self._silent_connections: set[asyncio.BaseTransport] = set()
        self._counts: collections.Counter[str] = collections.Counter()
        self._run_counts: collections.Counter[str] = collections.Counter()
        self._run_log: list[dict[str, Any]] = []
        self._last_reply = b"{}"
        self._query_counts: collections.Counter[str] = collections.Counter()

    def build(self) -> aiohttp.web.Application:
        """Returns the aiohttp application."""
        app = aiohttp.web.Application()
        app.router.add_post("/v1/shard", self._handle_shard)
        app.router.add_post("/v1/run", self._handle_run)
        app.router.add_post("/v1/state", self._handle_state)
        app.router.add_put("/control/behaviour", self._set_behaviour)
        app.router.add_get("/control/counts", self._get_counts)
        app.router.add_get("/control/journal", self._get_journal)
        return app

    async def _simulate_connection(self, request: aiohttp.web.Request) -> None:
        transport = request.transport
        assert transport is not None
        self._open_connections = {
            t for t in self._open_connections if not t.is_closing()
        }
        if transport not in self._open_connections:
            self._open_connections.add(transport)
            self._counts["connections"] += 1
            await asyncio.sleep(self._behaviour.connect_ms / 1000)
        connections_max = max(
            self._counts["connections_max"], len(self._open_connections)
        )
        self._counts["connections_max"] = connections_max
        if transport in self._silent_connections:
            await asyncio.Event().wait()

    def _refusal_status(self) -> str | None:
        """Returns the status to refuse a request with, or None to run it."""
        if self._behaviour.state == "draining":
            return "draining"
        if self._busy_slots >= self._slot_count:
            return "shed"
        if self._random.random() < self._behaviour.shed_ratio:
            return "shed"
        return None

    async def _simulate_service_time(self) -> None:
        behaviour = self._behaviour
        time_ms = behaviour.service_time_ms * self._random.lognormvariate(
            0.0, behaviour.service_time_sigma
        )
        time_ms *= self._cold_factor()
        if self._random.random() < behaviour.slow_ratio:
            time_ms *= behaviour.slow_factor
        self._busy_slots += 1
        self._counts["busy_max"] = max(
            self._counts["busy_max"], self._busy_slots
        )
        try:
            await asyncio.sleep(time_ms / 1000)
        finally:
            self._busy_slots -= 1

    def _cold_factor(self) -> float:
        """Returns the multiplier of service times due to a cold start."""
        cold_s = self._behaviour.cold_s
        remaining_s = self._behaviour_set_s + cold_s - time.monotonic()
        return (
            1.0 + COLD_EXTRA_FACTOR * max(0.0, remaining_s) / cold_s
            if cold_s
            else 1.0
        )

    async def _handle_shard(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        self._counts["shard_requests"] += 1
        await self._simulate_connection(request)
        body = msgspec.json.decode(await request.read())
        self._query_counts[str(body["query"])] += 1
        reply = self._base_reply(body)
        reply["shard"] = body["shard"]
        status = self._refusal_status() or self._pick_version(body, reply)
        if status == "ok":
            await self._simulate_service_time()
            self._counts["shard_served"] += 1
            reply["rows"] = [
                {
                    "shard": body["shard"],
                    "index_version": reply["index_version"],
                    "shard_map_version": reply["shard_map_version"],
                    "query": body["query"],
                }
            ]
        else:
            self._counts[status] += 1
        return await self._build_reply(request, reply | {"status": status})

    def _pick_version(self, body: Any, reply: dict[str, Any]) -> str:
        """Adds the versions to a reply and returns the status of the reply."""
        map_version = body["shard_map_version"]
        reply["shard_map_version"] = map_version
        held = self._behaviour.held.get(map_version, ())
        reply["held_versions"] = list(held)
        if not held:
            return "map_missing"
        index_version = body["index_version"] or max(held)
        reply["index_version"] = index_version
        return "ok" if index_version in held else "version_missing"

    async def _handle_run(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        self._counts["run_requests"] += 1
        await self._simulate_connection(request)
        body = msgspec.json.decode(await request.read())
        reply = self._base_reply(body)
        status = self._refusal_status()
        if status is None:
            status = "done"
            # Records the run before the delay, so that it counts even if the
            # reply is lost.
            self._run_counts[body["request_key"]] += 1
            self._run_log.append(
                {"key": body["request_key"], "time_s": time.monotonic()}
            )
            await asyncio.shield(self._simulate_service_time())
            reply["result"] = {
                "run_by": self._target_id,
                "request_key": body["request_key"],
            }
        else:
            self._counts[status] += 1
        return await self._build_reply(request, reply | {"status": status})

    async def _handle_state(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        self._counts["state_requests"] += 1
        await self._simulate_connection(request)
        body = msgspec.json.decode(await request.read())
        return await self._build_reply(
            request, self._base_reply(body) | {"status": "ok"}
        )

    def _base_reply(self, body: Any) -> dict[str, Any]:
        return {
            "attempt_id": body["attempt_id"],
            "target_state": self._behaviour.state,
            "target_epoch": self._epoch,
            "state_sequence": self._behaviour.state_sequence,
            "retry_after_ms": 20,
        }

    async def _build_reply(
        self, request: aiohttp.web.Request, reply: dict[str, Any]
    ) -> aiohttp.web.StreamResponse:
        if self._behaviour.malformed:
            return aiohttp.web.Response(text="<html>oops</html>")
        if self._behaviour.endless:
            return await _stream_forever(request)
        body = msgspec.json.encode(reply)
        if self._behaviour.late_replies:
            body, self._last_reply = self._last_reply, body
        if self._behaviour.duplicate_replies:
            return await _send_twice(request, body)
        return aiohttp.web.Response(body=body, content_type="application/json")

    async def _set_behaviour(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        self._behaviour = msgspec.json.decode(
            await request.read(), type=Behaviour
        )
        self._behaviour_set_s = time.monotonic()
        if self._behaviour.silent_connections:
            self._silent_connections |= self._open_connections
        return aiohttp.web.json_response({})

    async def _get_journal(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return aiohttp.web.json_response({"runs": self._run_log})

    async def _get_counts(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return aiohttp.web.json_response(
            {
                "counts": self._counts,
                "runs": self._run_counts,
                "queries": self._query_counts,
            }
        )


async def _send_twice(
    request: aiohttp.web.Request, body: bytes
) -> aiohttp.web.StreamResponse:
    response = aiohttp.web.Response(body=body, content_type="application/json")
    await response.prepare(request)
    await response.write_eof()
    assert request.transport is not None
    request.transport.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    )
    return response


async def _stream_forever(
    request: aiohttp.web.Request,
) -> aiohttp.web.StreamResponse:
    response = aiohttp.web.StreamResponse()
    await response.prepare(request)
    while True:
        await response.write(b" " * 65_536)
