"""Stand-in of a leaf, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import time

import http11
import record as record_lib


class Leaf:
    """Runs requests and records them.

    Attributes:
      target_id: The leaf's id.
      runs: Time of arrival and id of each request that it ran.
    """

    def __init__(
        self,
        record: record_lib.Record,
        target_id: str,
        service: str,
        port: int,
        work_s: float = 0.01,
    ) -> None:
        self._record = record
        self.target_id = target_id
        self.service = service
        self.port = port
        self._work_s = work_s
        self.runs: list[tuple[float, str]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns the leaf's entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "xela-a",
            "version": "v1",
            "slots": 6,
            "state": state,
            "warmup_left_ms": 0,
            "seq": 1,
            "born": 1_780_000_000_000,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http11.read(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, request: http11.Message) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id} if request_id else {}
        if request.start.split(" ")[1] == "/healthz":
            return http11.response(200, {"X-Instance-Id": self.target_id})
        expected = request.headers.get("x-expect-instance", self.target_id)
        if expected != self.target_id:
            return http11.response(
                421, echo | {"X-Instance-Id": self.target_id}
            )
        self.runs.append((time.monotonic(), request_id))
        self._record.add("run", leaf=self.target_id, id=request_id)
        await asyncio.sleep(self._work_s)
        body = f"{self.service} {self.target_id} {request_id}".encode()
        stamp = {"X-Server-Stamp": f"{self.target_id}.{request_id}"}
        return http11.response(200, echo | stamp, body)
