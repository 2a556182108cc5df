"""Handlers of the calls about bundles."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import grpc
import msgspec

from lycheerock._internal.bundles import instance_state
from lycheerock._internal.bundles import learner as learner_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock_protocol import peer_pb2

MICROSECONDS_PER_S = 1_000_000

Forward = Callable[[peer_pb2.ActivateRequest], Awaitable[None]]


class BundleHandlers:
    """Serves Stage, Activate, FetchBundle and BundleStatus."""

    def __init__(
        self,
        own: Callable[[], members_lib.Member],
        learner: learner_lib.Learner,
        forward: Forward,
    ):
        # Membership may raise the incarnation after the start.
        self._own = own
        self._learner = learner
        self._store = learner.store
        self._forward = forward
        self._problem = ""

    async def stage(
        self, request: peer_pb2.StageRequest
    ) -> peer_pb2.StageReply:
        """Fetches, checks and acknowledges a bundle; renews the contact."""
        now_s = self._store.now_s()
        state = self._store.state
        token_s = request.contact_token / MICROSECONDS_PER_S
        verdict = state.on_stage(request.number, request.epoch, token_s, now_s)
        problem = ""
        if verdict is instance_state.StageVerdict.HELD:
            self._confirm(request, token_s, now_s)
        elif verdict is instance_state.StageVerdict.SUPERSEDED:
            problem = f"epoch {state.epoch} has replaced {request.epoch}"
        elif verdict is instance_state.StageVerdict.WANTED:
            problem = await self._learner.acknowledge(
                request.number,
                request.epoch,
                request.in_force,
                request.coordinator.peer_address,
            )
        self._problem = problem
        return peer_pb2.StageReply(
            acknowledged=not problem,
            in_force=self._store.number,
            problem=problem,
            contact_token=int(self._store.now_s() * MICROSECONDS_PER_S),
            incarnation=self._own().incarnation,
            epoch=state.epoch,
        )

    def _confirm(
        self, request: peer_pb2.StageRequest, token_s: float, now_s: float
    ) -> None:
        # The coordinator held the token before it could accept, so the number
        # that it read when its epoch began was the accepted one.
        gate = self._store.gate
        is_same = request.in_force == self._store.number
        if gate is not None and is_same and token_s <= now_s:
            gate.confirm(token_s, now_s)

    async def activate(
        self, request: peer_pb2.ActivateRequest
    ) -> peer_pb2.ActivateReply:
        """Puts an accepted bundle in force and tells others once."""
        addresses = [request.peer_address] if request.peer_address else []
        if await self._learner.activate(request.number, addresses):
            await self._forward(request)
        return peer_pb2.ActivateReply(in_force=self._store.number)

    def fetch(
        self, request: peer_pb2.FetchBundleRequest
    ) -> peer_pb2.FetchBundleReply:
        """Returns a bundle with its sign-off, or an empty reply."""
        signed = self._learner.held(request.number)
        if signed is None:
            return peer_pb2.FetchBundleReply()
        return peer_pb2.FetchBundleReply(
            bundle=msgspec.json.encode(signed.bundle),
            signoff=msgspec.json.encode(signed.signoff),
        )

    def status(self) -> peer_pb2.BundleStatusReply:
        """Returns the numbers and whether requests are admitted."""
        problem = self._store.problem()
        state = self._store.state
        reply = peer_pb2.BundleStatusReply(
            instance_id=self._own().instance_id,
            incarnation=self._own().incarnation,
            in_force=self._store.number,
            admitting=not problem,
            problem=problem or self._problem,
        )
        if state.binding is not None:
            reply.rollout_number = state.binding.number
            reply.rollout_epoch = state.binding.epoch
            reply.acknowledged = state.binding.acknowledged
        return reply


class BundleServicer:
    """Methods of the gRPC servicer that concern bundles."""

    bundle_handlers: BundleHandlers | None = None

    async def Stage(
        self,
        request: peer_pb2.StageRequest,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.StageReply:
        """Phase 1 of a rollout."""
        return await (await self._handlers(context)).stage(request)

    async def Activate(
        self,
        request: peer_pb2.ActivateRequest,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.ActivateReply:
        """Phase 2 of a rollout."""
        return await (await self._handlers(context)).activate(request)

    async def FetchBundle(
        self,
        request: peer_pb2.FetchBundleRequest,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.FetchBundleReply:
        """Returns a bundle that this instance holds."""
        return (await self._handlers(context)).fetch(request)

    async def BundleStatus(
        self,
        request: peer_pb2.BundleStatusRequest,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.BundleStatusReply:
        """Returns the bundle numbers of this instance."""
        return (await self._handlers(context)).status()

    async def _handlers(
        self, context: grpc.aio.ServicerContext[Any, Any]
    ) -> BundleHandlers:
        if self.bundle_handlers is None:
            await context.abort(
                grpc.StatusCode.UNAVAILABLE, "bundles are not served yet"
            )
        assert self.bundle_handlers is not None
        return self.bundle_handlers
