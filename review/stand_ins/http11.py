"""Reads and writes HTTP/1.1 messages; enough for the stand-ins."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
      start: Request line or status line.
      headers: Values by lower-case name.
      body: Complete body.
    """

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body


def response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Encodes a response with a length."""
    fields = (headers or {}) | {"Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} -", *(f"{k}: {v}" for k, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
