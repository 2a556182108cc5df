"""Callers that send sequential requests over persistent connections."""

import asyncio
from collections.abc import Callable
import random
import time

import aiohttp

from lycheerock_bench._internal.soak import deployment as deployment_lib
from lycheerock_bench._internal.soak import records

# Deadline that a caller sets for each request.
DEADLINE_MS = 1_000
# Added to the deadline, for responses that were sent in time but arrive late.
TIMEOUT_MARGIN_S = 0.5
PAUSE_MAX_S = 0.06

# Interval at which the simulated load balancer polls each instance.
READINESS_PERIOD_S = 0.3

_ROUTES = ("search", "search", "safe", "unsafe")
# aiohttp retries idempotent methods when a persistent connection is closed,
# which would hide dropped requests.
_METHOD = "POST"


class Callers:
    """Concurrent callers, each with one connection at a time.

    Attributes:
      is_stopping: Set to stop all callers after their current request.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        seed: int,
        on_end: Callable[[records.RequestRecord], None],
    ) -> None:
        self._deployment = deployment
        self._seed = seed
        self._on_end = on_end
        self._ready = list(deployment.gateways)
        self._count = 0
        self.is_stopping = False

    async def run(self, caller_count: int) -> None:
        """Runs all callers until `is_stopping` is set."""
        readiness_task = asyncio.create_task(self._watch_readiness())
        await asyncio.gather(
            *(self._call_repeatedly(n) for n in range(caller_count))
        )
        readiness_task.cancel()

    async def _watch_readiness(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                gateways = self._deployment.gateways
                ready = await asyncio.gather(
                    *(g.is_ready(session) for g in gateways)
                )
                ready_gateways = [
                    g
                    for g, is_ready in zip(gateways, ready, strict=True)
                    if is_ready
                ]
                self._ready = ready_gateways or list(gateways)
                await asyncio.sleep(READINESS_PERIOD_S)

    async def _call_repeatedly(self, number: int) -> None:
        """Sends requests until `is_stopping` is set.

        When the connection is closed, the next one is opened to a random ready
        instance.
        """
        rng = random.Random(f"{self._seed} {number}")
        while not self.is_stopping:
            gateway = rng.choice(self._ready)
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                is_kept_alive = True
                while is_kept_alive and not self.is_stopping:
                    is_kept_alive = await self._call(session, gateway, rng)
                    await asyncio.sleep(rng.uniform(0.0, PAUSE_MAX_S))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        gateway: deployment_lib.Gateway,
        rng: random.Random,
    ) -> bool:
        self._count += 1
        request_id = f"q{self._count}"
        route = rng.choice(_ROUTES)
        sent_s = time.monotonic()
        status, missing_count, body, is_kept_alive = 0, 0, b"", False
        signatures: tuple[str, ...] = ()
        try:
            async with session.request(
                _METHOD,
                f"http://{gateway.caller_address}/{route}/x",
                headers={
                    "Host": deployment_lib.HOST,
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": str(DEADLINE_MS),
                },
                timeout=aiohttp.ClientTimeout(
                    total=DEADLINE_MS / 1000 + TIMEOUT_MARGIN_S
                ),
            ) as response:
                body = await response.read()
                status = response.status
                signatures = _signatures(response)
                missing_count = int(
                    response.headers.get("X-Missing-Parts", "0")
                )
                is_kept_alive = response.headers.get("Connection") != "close"
        except TimeoutError:
            # The caller gave up, so a missing response is no breach.
            status = -1
        except aiohttp.ClientError:
            # Recorded as a request without a response, which is checked.
            status = 0
        self._on_end(
            records.RequestRecord(
                request_id,
                route,
                gateway.number,
                sent_s,
                time.monotonic(),
                status,
                signatures,
                missing_count,
                body,
            )
        )
        return is_kept_alive


def _signatures(response: aiohttp.ClientResponse) -> tuple[str, ...]:
    values = response.headers.getall(
        "X-Part-Stamps", response.headers.getall("X-Server-Stamp", [])
    )
    return tuple(
        part.strip() for value in values for part in value.split(",") if part
    )
