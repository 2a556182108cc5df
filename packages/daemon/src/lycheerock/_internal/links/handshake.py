"""Opens links and exchanges their first messages."""

import asyncio
import time

import aiohttp
import aiohttp.web
import msgspec

from lycheerock._internal.links import link as link_lib
from lycheerock._internal.upstream import connection as connection_lib
from lycheerock_protocol import links

# Time limit for opening a connection and for the exchange of hello messages,
# which take four round trips, 24 ms each between the farthest regions.
CONNECT_TIMEOUT_S = 0.4
HELLO_TIMEOUT_S = 0.4

ERRORS = (
    TimeoutError,
    OSError,
    ValueError,
    aiohttp.ClientError,
    msgspec.DecodeError,
    link_lib.LinkError,
)


def new_session() -> aiohttp.ClientSession:
    """Returns a session for `connect`."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
    )


async def connect(
    session: aiohttp.ClientSession, address: str
) -> aiohttp.ClientWebSocketResponse:
    """Opens a connection to another instance.

    Raises:
      One of ERRORS: The instance can't be reached or rejects the link.
    """
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        socket = await session.ws_connect(
            f"http://{address}{links.PATH}",
            autoping=False,
            max_msg_size=link_lib.MESSAGE_SIZE_MAX_BYTES,
            timeout=aiohttp.ClientWSTimeout(ws_close=link_lib.CLOSE_TIMEOUT_S),
        )
    connection_lib.set_socket_options(socket.get_extra_info("socket"))
    return socket


async def accept(
    request: aiohttp.web.Request,
) -> aiohttp.web.WebSocketResponse:
    """Accepts a connection of another instance."""
    socket = aiohttp.web.WebSocketResponse(
        compress=False,
        autoping=False,
        max_msg_size=link_lib.MESSAGE_SIZE_MAX_BYTES,
        timeout=link_lib.CLOSE_TIMEOUT_S,
    )
    await socket.prepare(request)
    if request.transport is not None:
        connection_lib.set_socket_options(
            request.transport.get_extra_info("socket")
        )
    return socket


async def exchange_hello(
    socket: link_lib.Socket, own_address: str, incarnation: int
) -> tuple[links.Hello, float]:
    """Sends and receives the first message.

    Returns:
      The peer's message and the monotonic time of its arrival.

    Raises:
      One of ERRORS: The peer does not reply, or not as it should.
    """
    hello = links.Hello(
        links.VERSION, own_address, incarnation, time.monotonic() * 1000
    )
    async with asyncio.timeout(HELLO_TIMEOUT_S):
        await socket.send_bytes(links.encode(links.HELLO, hello))
        peer = _read_hello(await socket.receive())
    return peer, time.monotonic()


def _read_hello(received: aiohttp.WSMessage) -> links.Hello:
    if received.type != aiohttp.WSMsgType.BINARY:
        raise link_lib.LinkError(f"no hello message ({received.type.name})")
    frame = links.decode(received.data)
    if frame.kind != links.HELLO:
        raise link_lib.LinkError("the first message is no hello message")
    hello = msgspec.msgpack.decode(frame.body, type=links.Hello)
    if hello.version != links.VERSION:
        raise link_lib.LinkError(f"protocol version {hello.version}")
    return hello
