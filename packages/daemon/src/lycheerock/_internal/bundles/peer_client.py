"""Client of the bundle calls to other instances."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import grpc
from returns import result

from lycheerock._internal.peers import channels as channels_lib
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

STATUS_TIMEOUT_S = 1.0
# Includes the time in which the callee fetches the bundle from the coordinator.
STAGE_TIMEOUT_S = 2.0
ACTIVATE_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 2.0

T = TypeVar("T")
# The failure is a message that says why there is no reply.
Reply = result.Result[T, str]


class PeerClient:
    """Sends calls to peers, without retries; callers retry as needed."""

    def __init__(self, channels: channels_lib.Channels):
        self._channels = channels

    def _stub(self, address: str) -> peer_pb2_grpc.PeerStub:
        return peer_pb2_grpc.PeerStub(self._channels.get(address))

    async def stage(
        self, address: str, request: peer_pb2.StageRequest
    ) -> Reply[peer_pb2.StageReply]:
        """Asks a peer to fetch and acknowledge a bundle."""
        stub = self._stub(address)
        return await _call(
            address, lambda: stub.Stage(request, timeout=STAGE_TIMEOUT_S)
        )

    async def activate(
        self, address: str, request: peer_pb2.ActivateRequest
    ) -> Reply[peer_pb2.ActivateReply]:
        """Tells a peer that a bundle is accepted."""
        stub = self._stub(address)
        return await _call(
            address, lambda: stub.Activate(request, timeout=ACTIVATE_TIMEOUT_S)
        )

    async def fetch(
        self, address: str, number: int
    ) -> Reply[peer_pb2.FetchBundleReply]:
        """Fetches a bundle that a peer holds."""
        stub = self._stub(address)
        request = peer_pb2.FetchBundleRequest(number=number)
        return await _call(
            address, lambda: stub.FetchBundle(request, timeout=FETCH_TIMEOUT_S)
        )

    async def status(self, address: str) -> Reply[peer_pb2.BundleStatusReply]:
        """Returns the bundle numbers of a peer."""
        stub = self._stub(address)
        request = peer_pb2.BundleStatusRequest()
        return await _call(
            address,
            lambda: stub.BundleStatus(request, timeout=STATUS_TIMEOUT_S),
        )


async def _call(address: str, send: Callable[[], Awaitable[T]]) -> Reply[T]:
    try:
        return result.Success(await send())
    except grpc.aio.AioRpcError as error:
        code = error.code().name.lower()
        return result.Failure(f"no reply from {address} ({code})")
