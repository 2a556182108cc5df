"""Tests of forwarding a booking to the instance that issued its key."""

import asyncio
import socket
import time

import grpc
import msgspec

from lycheerock._internal.booking import forwarding
from lycheerock._internal.booking import keys
from lycheerock._internal.booking import runner
from lycheerock._internal.membership import directory
from lycheerock._internal.membership import members
from lycheerock._internal.peers import channels
from lycheerock_model import answers
from lycheerock_model import bundle
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

START_DELAY_S = 0.3


class _Issuer(peer_pb2_grpc.PeerServicer):
    async def RunKeyed(  # noqa: N802
        self, request: peer_pb2.RunRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.RunReply:
        answer = answers.Answer(answers.Outcome.DONE, request.request_id, 1)
        return peer_pb2.RunReply(answer=msgspec.json.encode(answer))


def _member(instance_id: str, address: str) -> members.Member:
    alive = members.MemberState.ALIVE
    return members.Member(instance_id, 1, alive, address, "r", "z")


def _request(key: keys.RequestKey) -> runner.RunRequest:
    target = bundle.Target("t", "127.0.0.1:1", "r", "z", 1, 1)
    shard_map = bundle.ShardMap(1, (bundle.Shard("s0", ("t",)),))
    service = bundle.Service(
        "s", bundle.Priority.LATENCY, (target,), (shard_map,)
    )
    return runner.RunRequest(
        request_id="i1.1.1",
        request_key=str(key),
        caller="c",
        caller_count=1,
        service=service,
        bundle_number=1,
        shard_key="k",
        payload=None,
        deadline_s=time.monotonic() + 30.0,
    )


async def _forward_while_issuer_starts(address: str) -> answers.Answer:
    known = directory.Directory(_member("i1", ""))
    known.put(_member("i0", address))
    pool = channels.Channels()
    forwarder = forwarding.Forwarder(known, pool)
    key = keys.RequestKey("i0", 1, 1, 0, "")
    running = asyncio.create_task(forwarder.forward(key, _request(key)))
    await asyncio.sleep(START_DELAY_S)
    server = grpc.aio.server()
    peer_pb2_grpc.add_PeerServicer_to_server(_Issuer(), server)
    server.add_insecure_port(address)
    await server.start()
    answer = await running
    await pool.close()
    await server.stop(None)
    return answer


class TestForwarder:
    """A booking reaches its issuer despite earlier connection failures."""

    def test_waits_for_an_issuer_that_is_starting(self) -> None:
        # Guards against an unknown outcome because the first connection to an
        # issuer that was still starting failed, although the issuer runs long
        # before the deadline.
        with socket.socket() as reserved:
            reserved.bind(("127.0.0.1", 0))
            port = reserved.getsockname()[1]
        answer = asyncio.run(_forward_while_issuer_starts(f"127.0.0.1:{port}"))
        assert answer.outcome == answers.Outcome.DONE
