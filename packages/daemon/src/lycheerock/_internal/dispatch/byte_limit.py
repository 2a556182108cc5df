"""Limits the bytes of one response, whatever part of it they belong to."""

import asyncio
from typing import cast

# Bytes of heads, chunk sizes and trailers that a response may have, and bytes
# for each byte of its body, which may come in chunks of one byte.
OVERHEAD_MAX_BYTES = 65_536
BYTES_PER_BODY_BYTE = 8


class LimitedProtocol(asyncio.Protocol):
    """Passes all events on and aborts the connection at the limit.

    aiohttp limits the size of header fields and of lines, but reads a chunk
    extension without end until the request times out.
    """

    def __init__(
        self, protocol: asyncio.Protocol, transport: asyncio.Transport
    ) -> None:
        self._protocol = protocol
        self._transport = transport
        self._left_bytes = 0

    def start_response(self, body_size_max_bytes: int) -> None:
        """Starts to count the bytes of the next response.

        Args:
          body_size_max_bytes: Maximum size of its body.
        """
        self._left_bytes = (
            OVERHEAD_MAX_BYTES + BYTES_PER_BODY_BYTE * body_size_max_bytes
        )

    def data_received(self, data: bytes) -> None:
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            self._transport.abort()
            return
        self._protocol.data_received(data)

    def eof_received(self) -> bool | None:
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()


def limit_response(
    transport: asyncio.Transport, body_size_max_bytes: int
) -> None:
    """Limits the next response on a connection.

    Args:
      transport: Transport of the connection.
      body_size_max_bytes: Maximum size of the body.
    """
    protocol = transport.get_protocol()
    if not isinstance(protocol, LimitedProtocol):
        protocol = LimitedProtocol(cast(asyncio.Protocol, protocol), transport)
        transport.set_protocol(protocol)
    protocol.start_response(body_size_max_bytes)
