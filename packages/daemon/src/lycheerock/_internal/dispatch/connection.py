"""HTTP connection to a target."""

from collections.abc import Callable
import dataclasses
import time

import aiohttp

from lycheerock._internal.dispatch import checked_request
from lycheerock._internal.dispatch import work as work_lib

_READ_CHUNK_BYTES = 65_536

# A target that does not accept a connection within this time is treated as
# unreachable. Opening a connection normally takes about 6 ms.
CONNECT_TIMEOUT_S = 1.0

_HEADERS = {"Content-Type": "application/json"}
_SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")

FindRefusal = Callable[
    [work_lib.TargetRequest, float], work_lib.TargetResult | None
]


@dataclasses.dataclass(frozen=True)
class ConnectionSettings:
    """Settings of a connection.

    Attributes:
      base_url: Scheme, IP address and port of the target.
      reply_size_max_bytes: Maximum size of a reply.
    """

    base_url: str
    reply_size_max_bytes: int


class Connection:
    """Sends one request at a time over one connection.

    The first request opens the connection. Only connecting has a timeout here,
    because the pool monitors deadlines and progress. The class only sends POST
    requests and does not follow redirects, so aiohttp never retries a request
    on its own.
    """

    def __init__(
        self, settings: ConnectionSettings, on_progress: Callable[[], None]
    ):
        self._settings = settings
        self._on_progress = on_progress
        self._body: checked_request.CheckedBody | None = None
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=None),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
            request_class=checked_request.CheckedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            headers=_HEADERS,
            skip_auto_headers=_SKIPPED_HEADERS,
            auto_decompress=False,
        )

    @property
    def was_written(self) -> bool:
        """Whether part of the latest request may have been sent."""
        return self._body is not None and self._body.was_written

    async def close(self) -> None:
        """Aborts the connection and waits until it is closed."""
        if self._body is not None and self._body.transport is not None:
            self._body.transport.abort()
        await self._session.close()

    async def send(
        self,
        work: work_lib.TargetRequest,
        reply_size_max_bytes: int,
        find_refusal: FindRefusal,
    ) -> work_lib.TargetResult:
        """Sends one request and reads the reply.

        Args:
          work: The request.
          reply_size_max_bytes: Maximum size of the reply.
          find_refusal: Called immediately before the write; returns the result
            if the request must no longer be sent, else None.

        Returns:
          The result. A failure of the target is a result, not an exception.
        """
        self._body = body = checked_request.CheckedBody(
            work.body,
            lambda: find_refusal(work, time.monotonic()),
            work.deadline_s,
            reply_size_max_bytes,
        )
        try:
            return await self._post(work, body, reply_size_max_bytes)
        except Exception as error:
            if body.refusal is not None:
                return body.refusal
            status = (
                work_lib.Status.LOST
                if body.was_written
                else work_lib.Status.NOT_SENT
            )
            return work_lib.TargetResult(status, detail=type(error).__name__)

    async def _post(
        self,
        work: work_lib.TargetRequest,
        checked: checked_request.CheckedBody,
        size_max_bytes: int,
    ) -> work_lib.TargetResult:
        async with self._session.post(
            self._settings.base_url + work.path,
            data=checked,
            allow_redirects=False,
        ) as response:
            self._on_progress()
            body = await self._read(response, size_max_bytes)
        if body is None:
            return work_lib.TargetResult(work_lib.Status.TOO_LARGE)
        if response.status != 200:
            detail = f"HTTP status {response.status}"
            return work_lib.TargetResult(
                work_lib.Status.MALFORMED, detail=detail
            )
        return work_lib.TargetResult(work_lib.Status.REPLIED, body)

    async def _read(
        self, response: aiohttp.ClientResponse, size_max_bytes: int
    ) -> bytes | None:
        parts: list[bytes] = []
        size_bytes = 0
        async for part in response.content.iter_chunked(_READ_CHUNK_BYTES):
            self._on_progress()
            parts.append(part)
            size_bytes += len(part)
            if size_bytes > size_max_bytes:
                response.close()
                return None
        return b"".join(parts)
