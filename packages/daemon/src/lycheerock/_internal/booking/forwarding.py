"""Forwards a request to the instance that issued its key."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import grpc
import msgspec

from lycheerock._internal.booking import keys
from lycheerock._internal.booking import outcomes
from lycheerock._internal.booking import runner as runner_lib
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.entry import access
from lycheerock._internal.entry import bodies
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.peers import channels as channels_lib
from lycheerock._internal.query import coverage
from lycheerock_model import answers
from lycheerock_model import exceptions
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

READY_CHECK_PERIOD_S = 0.1


class Forwarder:
    """Forwards requests to the members of a directory."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        channels: channels_lib.Channels,
    ):
        self._directory = directory
        self._channels = channels

    async def forward(
        self, key: keys.RequestKey, request: runner_lib.RunRequest
    ) -> answers.Answer:
        """Sends a request to the instance that issued its key.

        Args:
          key: The parsed key.
          request: The request.

        Returns:
          The answer of that instance; unknown if it cannot be reached, since an
          earlier attempt with the same key may have run.
        """
        time_left_s = request.deadline_s - time.monotonic()
        end_s = request.deadline_s - coverage.margin_s(time_left_s, 0)
        issuer = await self._connect(key, end_s)
        if issuer is None:
            return outcomes.unknown(
                request,
                "the instance that issued the key is gone",
                exceptions.ErrorKind.KEY,
            )
        time_left_s = end_s - time.monotonic()
        if time_left_s <= 0.0:
            return outcomes.unknown(request, "the deadline has passed")
        stub = peer_pb2_grpc.PeerStub(self._channels.get(issuer.peer_address))
        message = _to_message(request, time_left_s)
        try:
            reply = await stub.RunKeyed(message, timeout=time_left_s)
            answer = msgspec.json.decode(reply.answer, type=answers.Answer)
        except grpc.aio.AioRpcError as error:
            code = error.code().name.lower()
            return outcomes.unknown(request, f"forwarding failed ({code})")
        except msgspec.DecodeError:
            return outcomes.unknown(request, "the issuer's reply is malformed")
        return dataclasses.replace(answer, request_id=request.request_id)

    async def _connect(
        self, key: keys.RequestKey, end_s: float
    ) -> members_lib.Member | None:
        """Waits until the channel to a key's issuer is ready or time is over.

        A channel that failed before, such as while the issuer started, refuses
        calls until its next attempt to connect. Waiting before the call keeps
        the time left in the message correct.
        """
        while True:
            issuer = self._directory.find(key.instance_id)
            if issuer is None or not _may_be_alive(issuer, key):
                return None
            channel = self._channels.get(issuer.peer_address)
            wait_s = min(READY_CHECK_PERIOD_S, end_s - time.monotonic())
            try:
                async with asyncio.timeout(wait_s):
                    await channel.channel_ready()
                return issuer
            except TimeoutError:
                if time.monotonic() >= end_s:
                    return issuer


def _may_be_alive(issuer: members_lib.Member, key: keys.RequestKey) -> bool:
    if issuer.incarnation not in (0, key.incarnation):
        return False
    return issuer.state != members_lib.MemberState.DEAD


def _to_message(
    request: runner_lib.RunRequest, time_left_s: float
) -> peer_pb2.RunRequest:
    return peer_pb2.RunRequest(
        request_id=request.request_id,
        request_key=request.request_key,
        caller=request.caller,
        service=request.service.name,
        shard_key=request.shard_key,
        time_left_ms=int(time_left_s * 1000),
        payload=msgspec.json.encode(request.payload),
    )


def serve(
    runner: runner_lib.Runner, store: store_lib.BundleStore
) -> Callable[[peer_pb2.RunRequest], Awaitable[peer_pb2.RunReply]]:
    """Returns the handler of forwarded requests."""

    async def run_keyed(message: peer_pb2.RunRequest) -> peer_pb2.RunReply:
        try:
            request = _to_request(message, store)
        except exceptions.LycheerockError as error:
            answer = _refuse(message, runner, store.number, error)
        else:
            key = keys.parse(message.request_key)
            answer = (await runner.run_here(key, request)).answer
        return peer_pb2.RunReply(answer=msgspec.json.encode(answer))

    return run_keyed


def _to_request(
    message: peer_pb2.RunRequest, store: store_lib.BundleStore
) -> runner_lib.RunRequest:
    now_s = time.monotonic()
    bundle = store.admit()
    caller = access.find_caller(bundle, message.caller)
    keys.parse(message.request_key)
    return runner_lib.RunRequest(
        request_id=message.request_id,
        request_key=message.request_key,
        caller=caller.name,
        caller_count=len(bundle.callers),
        service=access.find_service(bundle, caller, message.service),
        bundle_number=bundle.number,
        shard_key=message.shard_key,
        payload=bodies.decode(message.payload, object),
        deadline_s=now_s + message.time_left_ms / 1000,
    )


def _refuse(
    message: peer_pb2.RunRequest,
    runner: runner_lib.Runner,
    bundle_number: int,
    error: exceptions.LycheerockError,
) -> answers.Answer:
    return answers.Answer(
        outcome=runner.refusal_outcome(message.request_key),
        request_id=message.request_id,
        bundle_number=bundle_number,
        error=answers.ErrorBody(
            error.kind, error.problem, error.remedy, error.retry_after_ms
        ),
    )
