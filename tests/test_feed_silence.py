"""Tests of feeds whose publisher falls silent or sends outdated messages."""

import aiohttp.test_utils
import aiohttp.web
import feed_harness

from lycheerock._internal.feed import subscription as subscription_lib
from lycheerock_protocol import feed


class TestScriptedPublisher:
    """A subscriber ignores old messages and leaves a silent publisher."""

    def test_subscriber_leaves_a_silent_publisher(self) -> None:
        # Guards against a subscriber that keeps the outdated state of a frozen
        # publisher, because the connection to it stays open.
        async def test(harness: feed_harness.FeedHarness) -> None:
            second = await harness.add("second")
            await feed_harness.wait_for(lambda: second.knows("servers", "a"))
            server = await _serve_scripted(
                [
                    feed.Message("config", 50, {"main": {"version": 1}}),
                    feed.Message("servers", 50, {"a": {"state": "ready"}}),
                ]
            )
            second.subscribe((f"127.0.0.1:{server.port}",))
            await feed_harness.wait_for(second.is_subscribed)
            took_s = await feed_harness.wait_for(
                lambda: not second.is_subscribed()
            )
            assert took_s < subscription_lib.SILENCE_TIMEOUT_S + 0.3
            assert not second.followers["servers"].is_paused
            await server.close()

        feed_harness.run(test)

    def test_overlapping_and_old_messages_leave_the_newest_state(self) -> None:
        # Guards against an older change in a feed that reverts a newer one. An
        # instance may know the newer one because it still reads the store while
        # a feed opens.
        async def test(harness: feed_harness.FeedHarness) -> None:
            second = await harness.add("second")
            await feed_harness.wait_for(lambda: second.knows("servers", "a"))
            put_b = feed.Change("b", {"state": "ready"}, False)
            remove_b = feed.Change("b", None, True)
            server = await _serve_scripted(
                [
                    feed.Message("servers", 60, {"a": {}}),
                    feed.Message("servers", 62, None, (put_b, remove_b)),
                    feed.Message("servers", 61, None, (put_b,)),
                    feed.Message("config", 62, {"main": {"version": 1}}),
                ]
            )
            second.subscribe((f"127.0.0.1:{server.port}",))
            await feed_harness.wait_for(second.is_subscribed)
            assert not second.knows("servers", "b")
            assert second.followers["servers"].revision == 62
            await server.close()

        feed_harness.run(test)

    def test_snapshot_older_than_known_is_ignored(self) -> None:
        # Guards against a subscriber that reverts to older routes and targets
        # when its publisher knows less than it has read from the store.
        async def test(harness: feed_harness.FeedHarness) -> None:
            second = await harness.add("second")
            await feed_harness.wait_for(lambda: second.knows("servers", "a"))
            known = second.followers["servers"].revision
            server = await _serve_scripted(
                [
                    feed.Message("servers", 1, {}),
                    feed.Message("config", 1, {"main": {"version": 0}}),
                ]
            )
            second.subscribe((f"127.0.0.1:{server.port}",))
            await feed_harness.wait_for(second.is_subscribed)
            assert second.knows("servers", "a")
            assert second.followers["servers"].revision == known
            assert second.followers["config"].values["main"]["version"] == 1
            await server.close()

        feed_harness.run(test)


async def _serve_scripted(
    messages: list[feed.Message],
) -> aiohttp.test_utils.TestServer:
    """Starts a publisher that sends `messages` and is silent afterwards."""

    async def serve(
        request: aiohttp.web.Request,
    ) -> aiohttp.web.WebSocketResponse:
        socket = aiohttp.web.WebSocketResponse()
        await socket.prepare(request)
        for message in messages:
            await socket.send_bytes(feed.encode(message))
        await socket.receive()
        return socket

    app = aiohttp.web.Application()
    app.router.add_get(feed.PATH, serve)
    server = aiohttp.test_utils.TestServer(app)
    await server.start_server()
    return server
