"""Stand-in of faulty leafs whose answers have bodies without end.

Runs as a process of its own, since it writes all the time: the ports of the
leafs are its arguments. The bodies come in chunks of one byte, until the caller
closes. The process sends BYTES_PER_S at most, over all connections.
"""

import asyncio
import sys
import time

import http11

# 800 Mbit/s. The smallest link of a machine of the site has 1,500 Mbit/s; three
# gateways read from three such processes.
BYTES_PER_S = 100_000_000
CHUNK = b"1\r\nx\r\n"
PIECE = 20_000 * CHUNK


class Pacer:
    """Spaces the pieces of all connections."""

    def __init__(self) -> None:
        self._next_s = time.monotonic()

    async def wait(self, size_bytes: int) -> None:
        """Waits until the next piece may be sent."""
        now_s = time.monotonic()
        start_s = max(self._next_s, now_s)
        self._next_s = start_s + size_bytes / BYTES_PER_S
        await asyncio.sleep(start_s - now_s)


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pacer: Pacer
) -> None:
    """Answers one request, until the caller closes."""
    try:
        request = await http11.read(reader)
        if request is None:
            return
        request_id = request.headers.get("x-request-id", "")
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Server-Stamp: endless.{request_id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        while not writer.is_closing():
            await pacer.wait(len(PIECE))
            writer.write(PIECE)
            await writer.drain()
    except ConnectionError:
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serves all ports until the process is ended."""
    pacer = Pacer()
    for port in sys.argv[1:]:
        await asyncio.start_server(
            lambda reader, writer: serve(reader, writer, pacer),
            "127.0.0.1",
            int(port),
        )
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
