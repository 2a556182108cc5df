"""An HTTP request that is checked immediately before it is written."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import aiohttp
import aiohttp.abc
import aiohttp.payload

from lycheerock._internal.dispatch import work as work_lib


class NotSentError(aiohttp.ClientError):
    """The request was refused at the moment of sending."""


class CheckedBody(aiohttp.payload.BytesPayload):
    """Body of one request, together with its check.

    aiohttp buffers the headers until the body is written, so that the check in
    `write_with_length` is the last step before the first byte.
    """

    def __init__(
        self,
        body: bytes,
        obstacle: Callable[[], work_lib.Result | None],
        deadline_s: float,
    ):
        super().__init__(body, content_type="application/json")
        self._obstacle = obstacle
        self._deadline_s = deadline_s
        self.refusal: work_lib.Result | None = None
        self.was_written = False
        self.transport: asyncio.WriteTransport | None = None

    def check(self) -> None:
        """Raises NotSentError if the request must not be sent any more."""
        self.refusal = self._obstacle()
        if self.refusal is not None:
            raise NotSentError(self.refusal.status)

    def time_left_ms(self) -> int:
        """Returns the time left, at least one millisecond."""
        return max(1, int((self._deadline_s - time.monotonic()) * 1000))

    async def write_with_length(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Checks the request once more and writes it."""
        self.check()
        self.was_written = True
        await super().write_with_length(writer, content_length)


class CheckedRequest(aiohttp.ClientRequest):
    """Adds the time left when the connection is open."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Starts to send the request on an open connection."""
        body = self.body
        assert isinstance(body, CheckedBody)
        body.transport = conn.transport
        body.check()
        self.headers["X-Deadline-Ms"] = str(body.time_left_ms())
        return await super().send(conn)
