"""Callers that keep their connections and send one request after the other."""

import asyncio
from collections.abc import Callable
import random
import time

import aiohttp

from lycheerock_bench._internal.soak import deployment as deployment_lib
from lycheerock_bench._internal.soak import records

# Time that a caller waits for an answer.
PATIENCE_MS = 1_000
# Beyond it for answers that were sent in time.
MARGIN_S = 0.5
PAUSE_MAX_S = 0.06

# The balancer asks each instance this often.
READINESS_PERIOD_S = 0.3

_ROUTES = ("search", "search", "safe", "unsafe")
# aiohttp repeats other methods by itself when a kept connection ends, which
# would hide requests that were cut.
_METHOD = "POST"


class Callers:
    """Sends requests through open connections until they end.

    Attributes:
      is_stopping: Set to end all callers after their present request.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        seed: int,
        on_end: Callable[[records.Sent], None],
    ) -> None:
        self._deployment = deployment
        self._seed = seed
        self._on_end = on_end
        self._ready = list(deployment.gateways)
        self._count = 0
        self.is_stopping = False

    async def run(self, caller_count: int) -> None:
        """Runs all callers until `is_stopping` is set."""
        watching = asyncio.create_task(self._watch_readiness())
        await asyncio.gather(
            *(self._call_repeatedly(n) for n in range(caller_count))
        )
        watching.cancel()

    async def _watch_readiness(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                gateways = self._deployment.gateways
                ready = await asyncio.gather(
                    *(g.is_ready(session) for g in gateways)
                )
                found = [
                    g
                    for g, is_ready in zip(gateways, ready, strict=True)
                    if is_ready
                ]
                self._ready = found or list(gateways)
                await asyncio.sleep(READINESS_PERIOD_S)

    async def _call_repeatedly(self, number: int) -> None:
        """Stays with one instance as long as its connections last."""
        chance = random.Random(f"{self._seed} {number}")
        while not self.is_stopping:
            gateway = chance.choice(self._ready)
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                is_kept = True
                while is_kept and not self.is_stopping:
                    is_kept = await self._call(session, gateway, chance)
                    await asyncio.sleep(chance.uniform(0.0, PAUSE_MAX_S))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        gateway: deployment_lib.Gateway,
        chance: random.Random,
    ) -> bool:
        self._count += 1
        request_id = f"q{self._count}"
        route = chance.choice(_ROUTES)
        sent_s = time.monotonic()
        status, missing, body, is_kept = 0, 0, b"", False
        signatures: tuple[str, ...] = ()
        try:
            async with session.request(
                _METHOD,
                f"http://{gateway.caller}/{route}/x",
                headers={
                    "Host": deployment_lib.HOST,
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": str(PATIENCE_MS),
                },
                timeout=aiohttp.ClientTimeout(
                    total=PATIENCE_MS / 1000 + MARGIN_S
                ),
            ) as response:
                body = await response.read()
                status = response.status
                signatures = _signatures(response)
                missing = int(response.headers.get("X-Missing-Parts", "0"))
                is_kept = response.headers.get("Connection") != "close"
        except TimeoutError:
            # The caller has left; whatever happens then breaks no promise.
            status = -1
        except aiohttp.ClientError:
            # Recorded as a request without an answer, which is judged.
            status = 0
        self._on_end(
            records.Sent(
                request_id,
                route,
                gateway.number,
                sent_s,
                time.monotonic(),
                status,
                signatures,
                missing,
                body,
            )
        )
        return is_kept


def _signatures(response: aiohttp.ClientResponse) -> tuple[str, ...]:
    values = response.headers.getall(
        "X-Part-Stamps", response.headers.getall("X-Server-Stamp", [])
    )
    return tuple(
        part.strip() for value in values for part in value.split(",") if part
    )
