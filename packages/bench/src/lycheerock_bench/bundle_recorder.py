"""Sends searches to all instances and records the bundle numbers of answers."""

import asyncio
import contextlib
import time
from typing import Any

import aiohttp

from lycheerock_bench import harness
from lycheerock_bench._internal import bundle_history

REQUEST_PERIOD_S = 0.02
REQUEST_TIMEOUT_S = 1.0


class Recorder:
    """Sends searches to all instances until `stop` is called.

    Attributes:
      answers: Answers with the outcome "done".
    """

    def __init__(self, deployment: harness.Deployment, service: str):
        self._deployment = deployment
        self._service = service
        self.answers: list[bundle_history.ObservedAnswer] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts sending searches."""
        self._tasks = [
            asyncio.create_task(self._run(instance_id))
            for instance_id in self._deployment.settings
        ]

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _run(self, instance_id: str) -> None:
        while True:
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, ValueError
            ):
                await self._send(instance_id)
            await asyncio.sleep(REQUEST_PERIOD_S)

    async def _send(self, instance_id: str) -> None:
        sent_s = time.monotonic()
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            answer = await self._deployment.search(instance_id, self._service)
        if answer.get("outcome") == "done":
            self.answers.append(
                bundle_history.ObservedAnswer(
                    instance_id,
                    sent_s,
                    time.monotonic(),
                    answer["bundle_number"],
                )
            )

    async def violations(self) -> list[str]:
        """Returns the violations in the answers and the platform's writes."""
        writes: list[dict[str, Any]] = await self._deployment.platform_records(
            "writes"
        )
        signed_numbers = [
            int(w["name"]) for w in writes if w["kind"] == "signoffs"
        ]
        return bundle_history.check(
            self.answers,
            bundle_history.read_acceptances(writes),
            signed_numbers,
        )
