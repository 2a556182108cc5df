"""Forwarding of requests to the instance that issued their key."""

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

READY_CHECK_INTERVAL_S = 0.1


class Forwarder:
    """Forwards requests to the instances that issued their keys."""

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
        """Forwards a request to the instance that issued its key.

        Args:
          key: The parsed key.
          request: The request.

        Returns:
          The answer of that instance. If it cannot be reached, the outcome is
          unknown, since an earlier request with the same key may have run.
        """
        time_left_s = request.deadline_s - time.monotonic()
        end_s = request.deadline_s - coverage.margin_s(time_left_s, 0)
        issuer = await self._wait_for_issuer(key, end_s)
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

    async def _wait_for_issuer(
        self, key: keys.RequestKey, end_s: float
    ) -> members_lib.Member | None:
        """Waits for the channel to a key's issuer, at most until `end_s`.

        After a failed connection attempt, for example because the issuer was
        starting, a channel rejects calls until its next attempt. The wait
        precedes the creation of the message, whose `time_left_ms` would
        otherwise be too high.

        Returns:
          The issuer, even if its channel is not ready at `end_s`; or None if
          the instance that issued the key is unknown, dead or restarted.
        """
        while True:
            issuer = self._directory.find(key.instance_id)
            if issuer is None or not _may_be_alive(issuer, key):
                return None
            channel = self._channels.get(issuer.peer_address)
            wait_s = min(READY_CHECK_INTERVAL_S, end_s - time.monotonic())
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


def create_run_handler(
    runner: runner_lib.BookingRunner, store: store_lib.BundleStore
) -> Callable[[peer_pb2.RunRequest], Awaitable[peer_pb2.RunReply]]:
    """Returns a handler for requests that other instances forward."""

    async def run_keyed(message: peer_pb2.RunRequest) -> peer_pb2.RunReply:
        try:
            request = _to_request(message, store)
        except exceptions.LycheerockError as error:
            answer = _build_refusal(message, runner, store.number, error)
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


def _build_refusal(
    message: peer_pb2.RunRequest,
    runner: runner_lib.BookingRunner,
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
