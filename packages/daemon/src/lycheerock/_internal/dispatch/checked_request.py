"""HTTP request that is checked immediately before it is written."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import aiohttp
import aiohttp.abc
import aiohttp.payload

from lycheerock._internal.dispatch import byte_limit
from lycheerock._internal.dispatch import work as work_lib


class SendRefusedError(aiohttp.ClientError):
    """The request was refused immediately before it was written."""


class CheckedBody(aiohttp.payload.BytesPayload):
    """Request body that checks whether the request may still be sent.

    aiohttp buffers the headers until the body is written, so the check in
    `write_with_length` runs right before the first byte is sent.
    """

    def __init__(
        self,
        body: bytes,
        find_refusal: Callable[[], work_lib.TargetResult | None],
        deadline_s: float,
        response_size_max_bytes: int,
    ):
        super().__init__(body, content_type="application/json")
        self._find_refusal = find_refusal
        self._deadline_s = deadline_s
        self.response_size_max_bytes = response_size_max_bytes
        self.refusal: work_lib.TargetResult | None = None
        self.was_written = False
        self.transport: asyncio.WriteTransport | None = None

    def check(self) -> None:
        """Raises SendRefusedError if the request must no longer be sent."""
        self.refusal = self._find_refusal()
        if self.refusal is not None:
            raise SendRefusedError(self.refusal.status)

    def time_left_ms(self) -> int:
        """Returns the time until the deadline, at least one millisecond."""
        return max(1, int((self._deadline_s - time.monotonic()) * 1000))

    async def write_with_length(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Checks the request again and writes it."""
        self.check()
        self.was_written = True
        await super().write_with_length(writer, content_length)


class CheckedRequest(aiohttp.ClientRequest):
    """Request that sends the remaining time to the target in a header."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Checks the request, adds the header and starts to send."""
        body = self.body
        assert isinstance(body, CheckedBody)
        body.transport = conn.transport
        body.check()
        byte_limit.limit_response(conn.transport, body.response_size_max_bytes)
        self.headers["X-Deadline-Ms"] = str(body.time_left_ms())
        return await super().send(conn)
