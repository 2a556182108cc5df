"""A lane: one connection to a target."""

import dataclasses
import time

import aiohttp

from lycheerock._internal.dispatch import work as work_lib

_READ_CHUNK_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class LaneSettings:
    """What a lane needs to know of its target.

    Attributes:
      base_url: Scheme, IP address and port.
      reply_size_max_bytes: Largest reply that is read.
    """

    base_url: str
    reply_size_max_bytes: int


class Lane:
    """Sends one request at a time over one connection.

    The connection is opened by the first request and reopened after it was
    lost. Only POST is used, which aiohttp never sends twice by itself.
    """

    def __init__(self, settings: LaneSettings):
        self._settings = settings
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=600.0)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )
        self.last_answer_s = float("-inf")

    async def close(self) -> None:
        """Closes the connection."""
        await self._session.close()

    async def send(self, work: work_lib.Work) -> work_lib.Result:
        """Sends one request and reads the reply.

        Args:
          work: The request.

        Returns:
          How it ended; never raises for a failure of the target.
        """
        time_left_s = work.deadline_s - time.monotonic()
        if time_left_s <= 0:
            return work_lib.Result(work_lib.Status.EXPIRED)
        try:
            return await self._post(work, time_left_s)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return work_lib.Result(
                work_lib.Status.NOT_SENT, detail="connection refused"
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return work_lib.Result(
                work_lib.Status.LOST, detail=type(error).__name__
            )

    async def _post(
        self, work: work_lib.Work, time_left_s: float
    ) -> work_lib.Result:
        headers = {
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(int(time_left_s * 1000)),
        }
        async with self._session.post(
            self._settings.base_url + work.path,
            data=work.body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=time_left_s),
            allow_redirects=False,
        ) as response:
            body = await self._read(response)
        if body is None:
            return work_lib.Result(work_lib.Status.TOO_LARGE)
        self.last_answer_s = time.monotonic()
        if response.status != 200:
            detail = f"HTTP status {response.status}"
            return work_lib.Result(work_lib.Status.MALFORMED, detail=detail)
        return work_lib.Result(work_lib.Status.REPLIED, body)

    async def _read(self, response: aiohttp.ClientResponse) -> bytes | None:
        body = bytearray()
        async for chunk in response.content.iter_chunked(_READ_CHUNK_BYTES):
            body += chunk
            if len(body) > self._settings.reply_size_max_bytes:
                response.close()
                return None
        return bytes(body)
