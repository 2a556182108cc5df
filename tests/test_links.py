"""Tests of peer links over gRPC streams between real servers."""

import asyncio
import socket
import time

from lycheerock._internal.dispatch import work as work_lib
from lycheerock._internal.peers import link_table
from lycheerock._internal.peers import server as server_lib


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_work(*, idempotent: bool = True) -> work_lib.TargetRequest:
    return work_lib.TargetRequest(
        "a",
        "c",
        "s",
        "t",
        "/v1/shard",
        b"{}",
        time.monotonic() + 60.0,
        idempotent,
    )


async def run_keyed(request: object) -> None:
    raise NotImplementedError


class FakePeer:
    """A peer server whose requests end when the test sets their results."""

    def __init__(self) -> None:
        self.address = free_address()
        self.futures: list[asyncio.Future[work_lib.TargetResult]] = []

    def submit(
        self, work: work_lib.TargetRequest
    ) -> asyncio.Future[work_lib.TargetResult]:
        future = asyncio.get_running_loop().create_future()
        self.futures.append(future)
        return future

    async def start(self) -> None:
        servicer = server_lib.PeerServicer(self.submit, run_keyed, run_keyed)
        self.server = await server_lib.start(self.address, servicer)


async def wait_for(condition: object) -> None:
    while not condition():
        await asyncio.sleep(0.01)


class TestLinkTable:
    """Peers can be added, removed and restarted at run time."""

    def test_requests_to_a_removed_peer_fail(self) -> None:
        # Guards against requests that never end because their peer was removed,
        # and against a peer that cancels a booking when the stream ends.
        async def run() -> None:
            peer, table = FakePeer(), link_table.LinkTable()
            await peer.start()
            table.add("i1", peer.address)
            link = table["i1"]
            await wait_for(lambda: link.is_ready)
            table.add("i1", peer.address)
            assert table["i1"] is link
            first = link.submit(make_work())
            await wait_for(lambda: peer.futures)
            expected = work_lib.TargetResult(work_lib.Status.REPLIED, b"x")
            peer.futures[0].set_result(expected)
            assert (await first) == expected
            lost = link.submit(make_work())
            booking = link.submit(make_work(idempotent=False))
            await wait_for(lambda: len(peer.futures) == 3)
            table.remove("i1")
            assert table.get("i1") is None
            for future in (lost, booking):
                result = await future
                assert result.status == work_lib.Status.LOST
                assert result.is_stream_lost
            await wait_for(peer.futures[1].cancelled)
            assert not peer.futures[2].done()
            await table.close()
            await peer.server.stop(None)

        asyncio.run(run())

    def test_link_reconnects_without_repeating_requests(self) -> None:
        # Guards against a link that does not reconnect to a restarted peer, and
        # against requests of the old stream that are repeated on the new one.
        async def run() -> None:
            peer, table = FakePeer(), link_table.LinkTable()
            await peer.start()
            table.add("i1", peer.address)
            await wait_for(lambda: table["i1"].is_ready)
            lost = table["i1"].submit(make_work())
            await wait_for(lambda: peer.futures)
            await peer.server.stop(None)
            assert (await lost).status == work_lib.Status.LOST
            unsent = await table["i1"].submit(make_work())
            assert unsent.status == work_lib.Status.NOT_SENT
            await peer.start()
            await wait_for(lambda: table["i1"].is_ready)
            table["i1"].submit(make_work())
            await wait_for(lambda: len(peer.futures) > 1)
            assert len(peer.futures) == 2
            await table.close()
            await peer.server.stop(None)

        asyncio.run(run())
