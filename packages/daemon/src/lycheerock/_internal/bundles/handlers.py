"""gRPC handlers of the calls that concern bundles."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import grpc
import msgspec

from lycheerock._internal.bundles import instance_state
from lycheerock._internal.bundles import updater as updater_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock_protocol import peer_pb2

MICROSECONDS_PER_S = 1_000_000

Forward = Callable[[peer_pb2.ActivateRequest], Awaitable[None]]


class BundleHandlers:
    """Handles Stage, Activate, FetchBundle and BundleStatus calls."""

    def __init__(
        self,
        get_own_member: Callable[[], members_lib.Member],
        updater: updater_lib.BundleUpdater,
        forward: Forward,
    ):
        # A callable, since membership may raise the incarnation at run time.
        self._get_own_member = get_own_member
        self._updater = updater
        self._store = updater.store
        self._forward = forward
        self._problem = ""

    async def stage(
        self, request: peer_pb2.StageRequest
    ) -> peer_pb2.StageReply:
        """Fetches, checks and acknowledges a bundle, or renews the lease."""
        now_s = self._store.now_s()
        state = self._store.state
        token_s = request.contact_token / MICROSECONDS_PER_S
        outcome = state.on_stage(request.number, request.epoch, token_s, now_s)
        problem = ""
        if outcome is instance_state.StageOutcome.ALREADY_ACKNOWLEDGED:
            self._confirm_gate(request, token_s, now_s)
        elif outcome is instance_state.StageOutcome.SUPERSEDED:
            problem = (
                f"epoch {request.epoch} is superseded by epoch {state.epoch}"
            )
        elif outcome is instance_state.StageOutcome.FETCH_REQUIRED:
            problem = await self._updater.acknowledge(
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
            incarnation=self._get_own_member().incarnation,
            epoch=state.epoch,
        )

    def _confirm_gate(
        self, request: peer_pb2.StageRequest, token_s: float, now_s: float
    ) -> None:
        # The coordinator stores tokens only until it begins to write the
        # acceptance. So when this token was issued, the accepted number was
        # still the one that the coordinator had read when it opened the
        # rollout.
        gate = self._store.gate
        is_current = request.in_force == self._store.number
        if gate is not None and is_current and token_s <= now_s:
            gate.confirm(token_s, now_s)

    async def activate(
        self, request: peer_pb2.ActivateRequest
    ) -> peer_pb2.ActivateReply:
        """Activates an accepted bundle and forwards the call if it was new."""
        addresses = [request.peer_address] if request.peer_address else []
        if await self._updater.activate(request.number, addresses):
            await self._forward(request)
        return peer_pb2.ActivateReply(in_force=self._store.number)

    def fetch(
        self, request: peer_pb2.FetchBundleRequest
    ) -> peer_pb2.FetchBundleReply:
        """Returns a cached bundle and its sign-off, or an empty reply."""
        signed = self._updater.get_cached(request.number)
        if signed is None:
            return peer_pb2.FetchBundleReply()
        return peer_pb2.FetchBundleReply(
            bundle=msgspec.json.encode(signed.bundle),
            signoff=msgspec.json.encode(signed.signoff),
        )

    def status(self) -> peer_pb2.BundleStatusReply:
        """Returns the bundle numbers and whether requests are admitted."""
        problem = self._store.problem()
        state = self._store.state
        reply = peer_pb2.BundleStatusReply(
            instance_id=self._get_own_member().instance_id,
            incarnation=self._get_own_member().incarnation,
            in_force=self._store.number,
            admitting=not problem,
            problem=problem or self._problem,
        )
        if state.pending_rollout is not None:
            reply.rollout_number = state.pending_rollout.number
            reply.rollout_epoch = state.pending_rollout.epoch
            reply.acknowledged = state.pending_rollout.acknowledged
        return reply


class BundleServicer:
    """Mixin with the bundle methods of the Peer servicer.

    Attributes:
      bundle_handlers: Handlers of the calls; calls fail with UNAVAILABLE until
        they are set.
    """

    bundle_handlers: BundleHandlers | None = None

    async def Stage(
        self,
        request: peer_pb2.StageRequest,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.StageReply:
        """Stages a bundle: phase 1 of a rollout."""
        return await (await self._handlers(context)).stage(request)

    async def Activate(
        self,
        request: peer_pb2.ActivateRequest,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> peer_pb2.ActivateReply:
        """Activates a bundle: phase 2 of a rollout."""
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
                grpc.StatusCode.UNAVAILABLE,
                "this instance does not serve bundle calls yet",
            )
        assert self.bundle_handlers is not None
        return self.bundle_handlers
