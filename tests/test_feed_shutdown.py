"""Tests of a publisher that stops, or loses the store, while feeds open."""

import asyncio
import time

import aiohttp
import aiohttp.web
import feed_harness
import gateway_harness
import pytest

from lycheerock._internal.feed import publisher as publisher_lib
from lycheerock_bench import ports
from lycheerock_bench._internal import fake_platform
from lycheerock_protocol import feed

GRACE_LIMIT_S = 4.0


class TestStopWithSubscribers:
    """A gateway with subscribers ends within its grace time."""

    @pytest.mark.parametrize("reads", [True, False])
    def test_process_ends_in_time(self, reads: bool) -> None:
        # Guards against an exit that waits a minute for open feeds, also for
        # one whose subscriber is frozen and does not close.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await harness.add_target("a", "desk", b"rows")
            await harness.configure(
                [gateway_harness.forward_route("desk", "safe")]
            )
            address = f"127.0.0.1:{ports.free_port()}"
            await harness.start_gateway(
                feed_address=address, grace_limit_s=GRACE_LIMIT_S
            )
            # A publisher rejects subscribers until it is connected.
            await harness.wait_for(
                lambda: all(
                    kind["is_connected"]
                    for kind in harness.dump()["store"].values()
                )
            )
            assert harness.session is not None
            assert harness.daemon is not None
            assert harness.task is not None
            await _wait_until_listening(address)
            socket = await harness.session.ws_connect(
                f"http://{address}{feed.PATH}", autoclose=False
            )
            received = await socket.receive()
            assert received.type == aiohttp.WSMsgType.BINARY
            reader = asyncio.create_task(_read_all(socket, reads=reads))
            start_s = time.monotonic()
            harness.daemon.request_stop()
            try:
                async with asyncio.timeout(2 * GRACE_LIMIT_S):
                    await asyncio.shield(harness.task)
                assert time.monotonic() - start_s < GRACE_LIMIT_S
            finally:
                reader.cancel()

        gateway_harness.run(test)

    def test_stopping_publisher_rejects_subscribers(self) -> None:
        # Guards against subscribers that come back to a publisher which is
        # about to end.
        async def test(harness: feed_harness.FeedHarness) -> None:
            first, second = await harness.add_pair()
            first.publisher.close()
            await feed_harness.wait_for(lambda: not second.is_subscribed())
            assert first.publisher.subscriber_count == 0
            async with aiohttp.ClientSession() as session:
                with pytest.raises(aiohttp.WSServerHandshakeError):
                    await session.ws_connect(
                        f"http://{first.address}{feed.PATH}"
                    )

        feed_harness.run(test)


async def _wait_until_listening(address: str) -> None:
    """Waits for the feed server, which may start after the store is known."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(10.0):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
            else:
                writer.close()
                return


async def _read_all(
    socket: aiohttp.ClientWebSocketResponse, *, reads: bool
) -> None:
    while reads:
        message = await socket.receive()
        if message.type != aiohttp.WSMsgType.BINARY:
            await socket.close()
            return


class TestFirstEvent:
    """The order of a feed's first state and its first event."""

    def test_store_lost_while_a_feed_opens(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a feed that opens just after the publisher has lost the
        # store and closed the others: the subscriber would take the outdated
        # state for confirmed and stop its own watches until the silence of the
        # feed ends it, so that the first change comes seconds late.
        accept = publisher_lib._accept
        may_accept = asyncio.Event()

        async def accept_later(
            request: aiohttp.web.Request,
        ) -> aiohttp.web.WebSocketResponse:
            await may_accept.wait()
            return await accept(request)

        async def test(harness: feed_harness.FeedHarness) -> None:
            first = await harness.add("publisher")
            second = await harness.add("second")
            await feed_harness.wait_for(lambda: first.knows("servers", "a"))
            await feed_harness.wait_for(lambda: second.knows("servers", "a"))
            monkeypatch.setattr(publisher_lib, "_accept", accept_later)
            second.subscribe((first.address,))
            # Time for the request to arrive at the publisher.
            await asyncio.sleep(0.5)
            harness.platform.set_faults(
                fake_platform.Faults(down=True, client="publisher")
            )
            await harness.platform.store("servers", "b", {"state": "ready"})
            await feed_harness.wait_for(
                lambda: (
                    not any(f.is_connected for f in first.followers.values())
                )
            )
            may_accept.set()
            await asyncio.sleep(0.5)
            assert not second.is_subscribed()
            assert not second.followers["servers"].is_paused
            assert first.publisher.subscriber_count == 0
            await feed_harness.wait_for(lambda: second.knows("servers", "b"))

        feed_harness.run(test)

    def test_first_event_does_not_wait_for_the_pause_of_the_publisher(
        self,
    ) -> None:
        # Guards against a first event that is late by the pause between two
        # watches which the publisher began before it had a subscriber.
        async def test(harness: feed_harness.FeedHarness) -> None:
            first, second = await harness.add("first"), await harness.add("b")
            await feed_harness.wait_for(lambda: second.knows("servers", "a"))
            await _begin_long_pause(harness, first)
            second.subscribe((first.address,))
            await feed_harness.wait_for(second.is_subscribed)
            await harness.platform.store("servers", "b", {"state": "ready"})
            await feed_harness.wait_for(lambda: first.knows("servers", "b"))
            assert second.is_subscribed()
            await feed_harness.wait_for(lambda: second.knows("servers", "b"))

        feed_harness.run(test)

    def test_first_change_after_a_feed_does_not_wait_for_a_pause(self) -> None:
        # Guards against a change that is late by the pause between two watches
        # which the subscriber began before its feed was in use.
        async def test(harness: feed_harness.FeedHarness) -> None:
            first, second = await harness.add("first"), await harness.add("b")
            await feed_harness.wait_for(lambda: second.knows("servers", "a"))
            await _begin_long_pause(harness, second)
            second.subscribe((first.address,))
            await feed_harness.wait_for(second.is_subscribed)
            await first.stop()
            harness.instances.remove(first)
            await harness.platform.store("servers", "b", {"state": "ready"})
            took_s = await feed_harness.wait_for(
                lambda: second.knows("servers", "b")
            )
            assert took_s < 1.0

        feed_harness.run(test)


async def _begin_long_pause(
    harness: feed_harness.FeedHarness, instance: feed_harness.Instance
) -> None:
    """Lets the follower of the targets begin a pause of a minute."""
    follower = instance.followers["servers"]
    # The watch after the list, before which there is no pause.
    await asyncio.sleep(0.2)
    follower.watch_pause_s = 60.0
    await harness.platform.store("servers", "c", {"state": "ready"})
    await feed_harness.wait_for(lambda: instance.knows("servers", "c"))


class TestSilentHandshake:
    """A publisher that accepts connections but does not respond."""

    def test_subscriber_gives_up_and_tries_another(self) -> None:
        # Guards against an instance that waits for a frozen publisher for good
        # and calls the store itself meanwhile.
        async def test(harness: feed_harness.FeedHarness) -> None:
            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                # Reads until the subscriber closes, and never responds.
                await reader.read()
                writer.close()

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            first, second = await harness.add("first"), await harness.add("b")
            await feed_harness.wait_for(lambda: first.knows("servers", "a"))
            second.subscribe((f"127.0.0.1:{port}", first.address))
            await feed_harness.wait_for(second.is_subscribed)
            server.close()

        feed_harness.run(test)
