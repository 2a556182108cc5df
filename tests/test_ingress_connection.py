"""Tests of limited connections of callers, over sockets in one process."""

import asyncio
import collections

import gateway_harness
import ingress_client as raw
import pytest

from lycheerock._internal.ingress import framing as framing_lib


class TestServedRequests:
    """Requests within the limits are served in order."""

    def test_pipelined_requests(self) -> None:
        # Guards against requests that are lost, or answered in another order,
        # because they arrived while another one was running.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            harness.targets["a"].delay_s = 0.01
            count = 50
            for number in range(count):
                if number % 2:
                    client.writer.write(
                        raw.chunked(f"r{number}") + b"2\r\nhi\r\n0\r\n\r\n"
                    )
                else:
                    client.writer.write(raw.request(f"r{number}"))
            for number in range(count):
                status, head, _ = await client.read_response()
                assert status == 200
                assert f"X-Server-Stamp: a.r{number}\r\n".lower().encode() in (
                    head.lower()
                )

        raw.run(test)

    @pytest.mark.parametrize("chunk_bytes", [1, 32, 1_000, raw.BODY_MAX_BYTES])
    def test_largest_body_in_chunks(self, chunk_bytes: int) -> None:
        # Guards against limits on framing that an ordinary client reaches.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"b" * chunk_bytes)
            client.writer.write(raw.chunked("r"))
            client.writer.write(chunk * (raw.BODY_MAX_BYTES // chunk_bytes))
            client.writer.write(
                b"0\r\nX-Trailer: t\r\n\r\n" + raw.request("next")
            )
            assert (await client.read_response())[0] == 200
            assert (await client.read_response())[0] == 200
            sizes = [len(run.body) for run in harness.targets["a"].runs]
            assert sizes == [raw.BODY_MAX_BYTES, 0]

        raw.run(test)

    def test_fields_of_the_largest_size(self) -> None:
        # Guards against a limit on the head that applies to single fields.
        async def test(
            _harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            field = "X-Field: " + "v" * 16_000 + "\r\n"
            client.writer.write(raw.request("r", field * 3))
            assert (await client.read_response())[0] == 200

        raw.run(test)

    def test_request_after_a_slow_but_whole_head(self) -> None:
        # Guards against a time limit that is not ended with the head.
        async def test(
            _harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            for number in range(2):
                data = raw.request(f"r{number}")
                client.writer.write(data[:20])
                await asyncio.sleep(raw.HEADER_TIMEOUT_MS / 2_000)
                client.writer.write(data[20:])
                assert (await client.read_response())[0] == 200
                await asyncio.sleep(2 * raw.HEADER_TIMEOUT_MS / 1_000)

        raw.run(test)

    def test_empty_line_after_a_body(self) -> None:
        # Guards against a time limit on a head that has not begun: some clients
        # send an empty line after a body and keep the connection.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            client.writer.write(
                raw.request("r1", "Content-Length: 2\r\n", "POST") + b"hi\r\n"
            )
            assert (await client.read_response())[0] == 200
            await asyncio.sleep(2 * raw.HEADER_TIMEOUT_MS / 1_000)
            client.writer.write(raw.request("r2"))
            assert (await client.read_response())[0] == 200
            assert not raw.refused(harness)

        raw.run(test)

    def test_upgrade_that_is_declined(self) -> None:
        # Guards against bytes that bypass the limits after an upgrade request,
        # and against a connection that stays upgraded.
        async def test(
            _harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            upgrade = "Connection: Upgrade\r\nUpgrade: websocket\r\n"
            client.writer.write(raw.request("r1", upgrade) + raw.request("r2"))
            assert (await client.read_response())[0] == 200
            assert (await client.read_response())[0] == 200
            client.writer.write(b"\r\n" * 1_000)
            await client.read_refusal(400, b"empty_lines")

        raw.run(test)

    def test_caller_of_an_earlier_version(self) -> None:
        # Guards against a connection that stays open after HTTP/1.0.
        async def test(
            _harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            data = raw.request("r1").replace(b"HTTP/1.1", b"HTTP/1.0")
            client.writer.write(data)
            assert (await client.read_response())[0] == 200
            assert await client.reader.read() == b""

        raw.run(test)


class TestTimeLeft:
    """The deadline of a target is within the time that the caller has left."""

    def test_time_before_the_handler_counts(self) -> None:
        # Guards against a deadline that is too long by the time in which the
        # head arrived, or in which the request waited behind another one.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            target = harness.targets["a"]
            target.delay_s = 0.3
            data = raw.request("r1", deadline_ms=1_500)
            data += raw.request("r2", deadline_ms=1_500)
            client.writer.write(data[:20])
            await asyncio.sleep(0.2)
            client.writer.write(data[20:])
            for _ in range(2):
                assert (await client.read_response())[0] == 200
            left_ms = [
                int(arrival.headers["x-deadline-ms"])
                for arrival in target.arrivals
            ]
            assert left_ms[0] <= 1_300
            assert left_ms[1] <= 1_200

        raw.run(test)


class TestRefusedHeads:
    """A head that exceeds a limit never runs."""

    def test_kept_connection(self) -> None:
        # Guards against a time limit for the first request only.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            client.writer.write(raw.request("r1"))
            assert (await client.read_response())[0] == 200
            client.writer.write(raw.request("r2")[:30])
            await client.read_refusal(408, b"head_timeout")
            assert raw.refused(harness) == {"head_timeout": 1}

        raw.run(test)

    def test_caller_that_is_still_sending_gets_the_response(self) -> None:
        # Guards against a reset that makes the caller lose the response.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            field = "X-Field: " + "v" * 8_000 + "\r\n"
            client.writer.write(raw.request("r", field * 40))
            await client.read_refusal(431, b"head_size")
            assert not harness.targets["a"].arrivals

        raw.run(test)

    def test_response_to_the_previous_request_is_delivered(self) -> None:
        # Guards against a refusal that ends a request which is running.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            harness.targets["a"].delay_s = 0.2
            client.writer.write(raw.request("r1") + b"\r\n" * 1_000)
            status, _, body = await client.read_response()
            assert (status, body) == (200, b"rows")
            await client.read_refusal(400, b"empty_lines")

        raw.run(test)


class TestRefusedBodies:
    """A request whose body exceeds a limit is refused and never runs."""

    @pytest.mark.parametrize(
        ("body", "status", "reason"),
        [
            (b"1\r\nx\r\n" * raw.BODY_MAX_BYTES, 413, b"body_size"),
            (b"1;" + b"e" * 100_000, 400, b"chunk_extension_size"),
            (b"0\r\n" + b"X: v\r\n" * 5_000, 431, b"trailers_size"),
            (b"fffff\r\n", 413, b"body_size"),
            (b"5\r\nhello", 408, b"body_timeout"),
        ],
    )
    def test_is_refused(self, body: bytes, status: int, reason: bytes) -> None:
        # Guards against a handler that waits for a body without end.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            client.writer.write(raw.chunked("r") + b"3\r\nabc\r\n" + body)
            await client.read_refusal(status, reason)
            assert not harness.targets["a"].arrivals

        raw.run(test)

    def test_declared_size(self) -> None:
        # Guards against reading a body only to refuse it.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            size = f"Content-Length: {raw.BODY_MAX_BYTES + 1}\r\n"
            client.writer.write(raw.request("r", size, "POST"))
            await client.read_refusal(413, b"body_size")
            assert not harness.targets["a"].arrivals

        raw.run(test)


ONE_BYTE_CHUNK = b"1\r\nx\r\n"


class TestChunksOfOneByte:
    """Bodies of many chunks are accepted and do not delay other callers."""

    def test_body_is_forwarded_whole(self) -> None:
        # Guards against a limit on chunks that a client inside the configured
        # limits reaches, and against a request that is lost behind such a body.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            for number in range(3):
                body = b"".join(
                    b"1\r\n%c\r\n" % (97 + position % 23)
                    for position in range(20_000)
                )
                client.writer.write(raw.chunked(f"r{number}") + body)
                client.writer.write(b"0\r\nX-Trailer: t\r\n\r\n")
                client.writer.write(raw.request(f"next{number}"))
            for _ in range(6):
                assert (await client.read_response())[0] == 200
            runs = harness.targets["a"].runs
            expected = bytes(97 + position % 23 for position in range(20_000))
            assert [run.body for run in runs] == 3 * [expected, b""]
            await harness.wait_for(
                lambda: harness.dump()["callers"]["held_bytes"] == 0
            )
            assert not raw.refused(harness)

        raw.run(test)

    def test_response_before_the_end_of_the_body(self) -> None:
        # Guards against a body that is no longer examined after an early
        # response, and against the loss of the request that follows it.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            head = raw.chunked("early").replace(b"/safe/x", b"/absent/x")
            client.writer.write(head + ONE_BYTE_CHUNK * 20_000)
            client.writer.write(b"0\r\n\r\n" + raw.request("next"))
            assert (await client.read_response())[0] == 404
            assert (await client.read_response())[0] == 200
            ids = [run.request_id for run in harness.targets["a"].runs]
            assert ids == ["next"]
            client.writer.write(raw.request("last"))
            assert (await client.read_response())[0] == 200
            assert harness.dump()["callers"]["held_bytes"] == 0

        raw.run(test)

    def test_other_callers_are_answered(self) -> None:
        # Guards against an event loop that is busy with the chunks of some
        # callers, and against a body in tiny chunks that has no end.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            async def send(one: raw.Client, number: int) -> None:
                one.writer.write(raw.chunked(f"h{number}"))
                for _ in range(raw.BODY_MAX_BYTES // 1_000 + 1):
                    one.writer.write(ONE_BYTE_CHUNK * 1_000)
                    await one.writer.drain()
                await one.read_refusal(413, b"body_size")

            hostile = [await raw.Client.connect(harness) for _ in range(3)]
            async with asyncio.TaskGroup() as group:
                sending = [
                    group.create_task(send(one, number))
                    for number, one in enumerate(hostile)
                ]
                await harness.wait_for(
                    lambda: harness.dump()["callers"]["incomplete_requests"] > 0
                )
                for number in range(10):
                    client.writer.write(raw.request(f"r{number}"))
                    assert (await client.read_response())[0] == 200
                assert not any(task.done() for task in sending)
            ids = [run.request_id for run in harness.targets["a"].runs]
            assert ids == [f"r{number}" for number in range(10)]
            assert raw.refused(harness) == {"body_size": 3}
            for one in hostile:
                one.close()

        raw.run(test)

    def test_work_of_one_iteration_is_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against an iteration of the event loop whose length depends on
        # the input of one caller, or of all callers together.
        iteration = 0
        chunk_counts: dict[int, list[int]] = collections.defaultdict(list)
        feed = framing_lib.RequestFraming.feed

        def counted_feed(
            framing: framing_lib.RequestFraming, data: bytes, tokens_max: int
        ) -> framing_lib.Step:
            step = feed(framing, data, tokens_max)
            chunk_counts[iteration].append(len(step.body))
            return step

        monkeypatch.setattr(framing_lib.RequestFraming, "feed", counted_feed)

        async def test(
            harness: gateway_harness.GatewayHarness,
            _client: raw.Client,
        ) -> None:
            def count_iteration() -> None:
                nonlocal iteration
                iteration += 1
                loop.call_soon(count_iteration)

            loop = asyncio.get_running_loop()
            loop.call_soon(count_iteration)
            senders = [await raw.Client.connect(harness) for _ in range(10)]
            for number, one in enumerate(senders):
                one.writer.write(raw.chunked(f"r{number}"))
                one.writer.write(ONE_BYTE_CHUNK * 10_000 + b"0\r\n\r\n")
            for one in senders:
                assert (await one.read_response())[0] == 200
                one.close()
            counts = chunk_counts.values()
            assert sum(map(sum, counts)) == 100_000
            for found in counts:
                assert max(found) <= 1_024
                assert sum(count > 128 for count in found) <= 1

        raw.run(test)

    def test_graceful_shutdown(self) -> None:
        # Guards against a stop that drops a request whose body was received and
        # waits for its examination.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            assert harness.daemon is not None
            assert harness.task is not None
            client.writer.write(raw.chunked("r"))
            client.writer.write(ONE_BYTE_CHUNK * 20_000 + b"0\r\n\r\n")
            transport = client.writer.transport
            # The examination takes 20 iterations at least, but only some
            # milliseconds.
            await harness.wait_for(
                lambda: (
                    transport.get_write_buffer_size() == 0
                    and harness.dump()["callers"]["incomplete_requests"] > 0
                ),
                interval_s=0.0,
            )
            harness.daemon.request_stop()
            assert (await client.read_response())[0] == 200
            assert await harness.task == 0
            (run,) = harness.targets["a"].runs
            assert run.body == b"x" * 20_000

        raw.run(test)


class TestNoTimeLimitOfHeads:
    """A time limit of 0 ends no head."""

    def test_slow_head(self) -> None:
        # Guards against a limit of 0 that refuses every head which does not
        # arrive in one read.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            data = raw.request("r")
            client.writer.write(data[:20])
            await asyncio.sleep(0.2)
            client.writer.write(data[20:])
            assert (await client.read_response())[0] == 200
            assert not raw.refused(harness)

        raw.run(test, header_timeout_ms=0.0)


class TestFullTable:
    """Ordinary callers are served while there are too many connections."""

    def test_incomplete_heads_yield(self) -> None:
        # Guards against hostile connections that keep ordinary callers out.
        async def test(
            harness: gateway_harness.GatewayHarness,
            _client: raw.Client,
        ) -> None:
            limit = harness.dump()["callers"]["connections_max"]
            hostile = [
                await raw.Client.connect(harness) for _ in range(limit + 10)
            ]
            for one in hostile:
                one.writer.write(b"GET /safe/")
            await asyncio.sleep(0.05)
            ordinary = await raw.Client.connect(harness)
            ordinary.writer.write(raw.request("r"))
            assert (await ordinary.read_response())[0] == 200
            assert harness.dump()["callers"]["connections"] <= limit
            for one in (*hostile, ordinary):
                one.close()
            await harness.wait_for(
                lambda: harness.dump()["callers"]["connections"] <= 1
            )
            assert harness.dump()["callers"]["held_bytes"] == 0

        raw.run(test, fds_max=200)


class TestHeldMemory:
    """Incomplete requests yield when all together hold too much."""

    def test_largest_requests_are_refused(self) -> None:
        # Guards against bodies that are each within the limit and together
        # exceed the memory of the machine.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            size = f"Content-Length: {raw.BODY_MAX_BYTES}\r\n"
            clients = [await raw.Client.connect(harness) for _ in range(20)]
            for number, one in enumerate(clients):
                one.writer.write(raw.request(f"r{number}", size, "POST"))
                one.writer.write(b"b" * (raw.BODY_MAX_BYTES - 1))
            await harness.wait_for(lambda: "memory" in raw.refused(harness))
            callers = harness.dump()["callers"]
            assert callers["held_bytes"] <= callers["held_max_bytes"]
            client.writer.write(raw.request("ordinary"))
            assert (await client.read_response())[0] == 200
            for one in clients:
                one.close()

        raw.run(test, memory_mb=10.0)


class TestCallerDisconnects:
    """A caller that leaves ends its request."""

    def test_with_another_request_in_the_queue(self) -> None:
        # Guards against a connection that is not read while a request runs.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            target = harness.targets["a"]
            target.delay_s = 2.0
            client.writer.write(raw.request("r1") + raw.request("r2"))
            await harness.wait_for(lambda: target.running == 1)
            client.writer.transport.abort()
            await harness.wait_for(
                lambda: "r1" in target.dropped_ids, limit_s=0.5
            )
            assert [arrival.request_id for arrival in target.runs] == ["r1"]

        raw.run(test)


class TestGracefulShutdown:
    """SIGTERM does not abort a request that waits behind another one."""

    def test_response_closes_the_connection(self) -> None:
        # Guards against a stop that drops the running request of a pipeline.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            assert harness.daemon is not None
            assert harness.task is not None
            harness.targets["a"].delay_s = 0.5
            client.writer.write(raw.request("r1") + raw.request("r2"))
            await harness.wait_for(lambda: harness.targets["a"].running == 1)
            harness.daemon.request_stop()
            status, head, body = await client.read_response()
            assert (status, body) == (200, b"rows")
            assert b"connection: close" in head.lower()
            assert await harness.task == 0
            ids = [run.request_id for run in harness.targets["a"].runs]
            assert ids == ["r1"]

        raw.run(test)


class TestUnreadResponse:
    """A response that its caller does not read is given up."""

    def test_connection_is_closed(self) -> None:
        # Guards against connections that cannot yield, since their requests
        # run as long as their callers like.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            # More than the buffers of the kernel hold.
            harness.targets["a"].body = b"b" * 4_000_000
            for number in range(6):
                client.writer.write(raw.request(f"r{number}"))
            await harness.wait_for(
                lambda: "unread_response" in raw.refused(harness)
            )
            await harness.wait_for(
                lambda: harness.dump()["callers"]["connections"] == 0
            )

        raw.run(test)


class TestDistance:
    """The distance of callers is learned from their connections."""

    def test_loopback(self) -> None:
        # Guards against an estimate that never leaves its default.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            client.writer.write(raw.request("first"))
            assert (await client.read_response())[0] == 200
            assert harness.dump()["callers"]["margin_new_ms"] == 12.0
            for number in range(10):
                one = await raw.Client.connect(harness)
                one.writer.write(raw.request(f"r{number}"))
                assert (await one.read_response())[0] == 200
                one.close()
            assert harness.dump()["callers"]["round_trip_ms"] is not None

        raw.run(test)


class TestTinyPieces:
    """A head that arrives byte by byte is served."""

    def test_single_bytes(self) -> None:
        # Guards against a parser that depends on how the network splits data.
        async def test(
            harness: gateway_harness.GatewayHarness,
            client: raw.Client,
        ) -> None:
            data = raw.chunked("r") + b"5;e=v\r\nhello\r\n0\r\nX: t\r\n\r\n"
            for position in range(len(data)):
                client.writer.write(data[position : position + 1])
                await asyncio.sleep(0)
            assert (await client.read_response())[0] == 200
            (run,) = harness.targets["a"].runs
            assert run.body == b"hello"

        raw.run(test)


def test_reasons_are_bounded() -> None:
    # Guards against metric labels that callers can choose.
    refusal = framing_lib.RequestFraming(framing_lib.FramingLimits()).feed(
        b"\x00caller chosen text\r\n\r\n"
    )
    assert refusal.refusal == framing_lib.Refusal(400, "malformed_head")
