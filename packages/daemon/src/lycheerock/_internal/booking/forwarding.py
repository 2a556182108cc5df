"""Forwards a request to the instance that issued its key."""

from collections.abc import Awaitable
from collections.abc import Callable
import time

import grpc
import msgspec

from lycheerock._internal.booking import keys
from lycheerock._internal.booking import runner as runner_lib
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.peers import channels as channels_lib
from lycheerock_model import answers
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc


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
        owner = self._directory.find(key.instance_id)
        if owner is None:
            return runner_lib.unknown(
                request, "the instance that issued the key is gone"
            )
        time_left_s = request.deadline_s - time.monotonic()
        message = peer_pb2.RunRequest(
            request_id=request.request_id,
            request_key=request.request_key,
            caller=request.caller,
            service=request.service.name,
            shard_key=request.shard_key,
            time_left_ms=max(0, int(time_left_s * 1000)),
            payload=msgspec.json.encode(request.payload),
        )
        stub = peer_pb2_grpc.PeerStub(self._channels.get(owner.peer_address))
        try:
            reply = await stub.RunKeyed(message, timeout=max(0.0, time_left_s))
        except grpc.aio.AioRpcError as error:
            return runner_lib.unknown(
                request, f"forwarding failed ({error.code().name.lower()})"
            )
        return msgspec.json.decode(reply.answer, type=answers.Answer)


def serve(
    runner: runner_lib.Runner, store: store_lib.BundleStore
) -> Callable[[peer_pb2.RunRequest], Awaitable[peer_pb2.RunReply]]:
    """Returns the handler of forwarded requests."""

    async def run_keyed(message: peer_pb2.RunRequest) -> peer_pb2.RunReply:
        now_s = time.monotonic()
        bundle = store.admit()
        service = next(s for s in bundle.services if s.name == message.service)
        request = runner_lib.RunRequest(
            request_id=message.request_id,
            request_key=message.request_key,
            caller=message.caller,
            service=service,
            bundle_number=bundle.number,
            shard_key=message.shard_key,
            payload=msgspec.json.decode(message.payload),
            deadline_s=now_s + message.time_left_ms / 1000,
        )
        key = keys.parse(message.request_key)
        answer = await runner.run_here(key, request)
        return peer_pb2.RunReply(answer=msgspec.json.encode(answer))

    return run_keyed
