"""Tests of a feed whose publisher is silent or sends outdated messages."""

import aiohttp.test_utils
import aiohttp.web
import feed_harness

from lycheerock._internal.feed import subscription as subscription_lib
from lycheerock_protocol import feed


class TestSilentPublisher:
    """A subscriber of a scripted publisher."""

    def test_silence_ends_the_feed(self) -> None:
        # Guards against relying on a frozen publisher whose connections stay
        # open.
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
        # Guards against an older change that reverts a newer one, which the
        # instance has read from the store while the feed was opening.
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
        # Guards against reverting to an older configuration.
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
