"""Runs one rollout under one epoch on its coordinator."""

import asyncio
from collections.abc import Iterable
import dataclasses

from returns import result
import structlog

from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import handlers as handlers_lib
from lycheerock._internal.bundles import idempotent_writes
from lycheerock._internal.bundles import learner as learner_lib
from lycheerock._internal.bundles import network as network_lib
from lycheerock._internal.bundles import peer_calls
from lycheerock._internal.bundles import records
from lycheerock._internal.lifecycle import backoff as backoff_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions
from lycheerock_protocol import peer_pb2

_LOG = structlog.get_logger()

CONTACT_PERIOD_S = 0.5
LIST_PERIOD_S = 1.0
# A write whose reply does not come stops admission everywhere after the contact
# limit, so none is sent to a platform that has just been slow.
PLATFORM_SLOW_S = 1.0
CALLS_AT_ONCE_MAX = 64
ACTIVATE_ATTEMPTS_MAX = 3


@dataclasses.dataclass(frozen=True)
class Parts:
    """What a coordination works with."""

    platform: client_lib.PlatformClient
    catalog: catalog_lib.Catalog
    learner: learner_lib.Learner
    network: network_lib.Network
    calls: peer_calls.PeerCalls
    handlers: handlers_lib.BundleHandlers


class Coordination:
    """Stages, accepts and activates one bundle."""

    def __init__(self, parts: Parts, opened: catalog_lib.VersionedRollout):
        self._parts = parts
        self._opened = opened
        self.state = coordinator_state.CoordinatorState(
            opened.rollout.staging, opened.rollout.epoch
        )
        self.problem = ""
        self.accepted_s = 0.0
        self._listed: dict[str, str] = {}
        self._listed_ever: frozenset[str] = frozenset()
        self._contacts: dict[str, asyncio.Task[None]] = {}
        self._slots = asyncio.Semaphore(CALLS_AT_ONCE_MAX)
        self._changed = asyncio.Event()
        self._backoff = backoff_lib.Backoff()

    async def run(self) -> None:
        """Runs until the bundle is accepted or another epoch replaces it."""
        try:
            while self.state.phase is coordinator_state.Phase.STAGING:
                await self._try_to_accept()
        except Exception:
            # The contact ends, so another instance takes over.
            _LOG.exception("rollout_failed", number=self.state.number)
            raise
        finally:
            for task in self._contacts.values():
                task.cancel()
        if self.state.phase is coordinator_state.Phase.ACCEPTED:
            await self._activate_everywhere()

    async def _try_to_accept(self) -> None:
        clock = self._parts.learner.store.now_s
        started_s = clock()
        listed = await self._parts.platform.list_instances()
        if isinstance(listed, result.Failure):
            self.problem = str(listed.failure())
            await asyncio.sleep(self._backoff.next_s())
            return
        self._backoff.reset()
        took_s = clock() - started_s
        self._set_required(listed.unwrap())
        if took_s > PLATFORM_SLOW_S:
            self.problem = (
                f"the platform took {took_s:.1f} s, so the acceptance waits "
                "until it is faster"
            )
        elif self.state.begin_accept():
            await self._accept()
            return
        else:
            self.problem = ""
        await self._wait_for_acknowledgements()

    def _set_required(
        self, entries: Iterable[client_lib.ListedInstance]
    ) -> None:
        self._listed = {e.instance_id: e.peer_address for e in entries}
        network = self._parts.network
        required = coordinator_state.choose_required(
            (network.own, *network.directory.peers()),
            frozenset(self._listed),
            self._listed_ever,
        )
        self._listed_ever |= frozenset(self._listed)
        self.state.set_required(required)
        for instance_id in required:
            if instance_id not in self._contacts:
                self._contacts[instance_id] = asyncio.create_task(
                    self._keep_contact(instance_id)
                )

    def _address(self, instance_id: str) -> str | None:
        member = self._parts.network.directory.find(instance_id)
        if member is not None:
            return member.peer_address
        return self._listed.get(instance_id)

    async def _wait_for_acknowledgements(self) -> None:
        try:
            async with asyncio.timeout(LIST_PERIOD_S):
                while self._is_waiting():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            pass

    def _is_waiting(self) -> bool:
        is_staging = self.state.phase is coordinator_state.Phase.STAGING
        return is_staging and bool(self.state.blockers())

    async def _keep_contact(self, instance_id: str) -> None:
        while True:
            address = self._address(instance_id)
            if address is not None:
                async with self._slots:
                    await self._stage(instance_id, address)
                self._changed.set()
            await asyncio.sleep(CONTACT_PERIOD_S)

    async def _stage(self, instance_id: str, address: str) -> None:
        own = self._parts.network.own
        request = peer_pb2.StageRequest(
            number=self.state.number,
            epoch=self.state.epoch,
            coordinator=peer_pb2.Member(
                instance_id=own.instance_id, peer_address=own.peer_address
            ),
            contact_token=self.state.token(instance_id),
            in_force=self._opened.rollout.in_force,
        )
        replied: peer_calls.Reply[peer_pb2.StageReply]
        if instance_id == own.instance_id:
            replied = result.Success(await self._parts.handlers.stage(request))
        else:
            replied = await self._parts.calls.stage(address, request)
        if isinstance(replied, result.Failure):
            self.state.on_unreachable(instance_id, replied.failure())
            return
        reply = replied.unwrap()
        self.state.on_epoch(reply.epoch)
        self.state.on_stage_result(
            coordinator_state.StageResult(
                instance_id=instance_id,
                incarnation=reply.incarnation,
                number=request.number,
                epoch=request.epoch,
                acknowledged=reply.acknowledged,
                token=reply.contact_token,
                problem=reply.problem,
            )
        )

    async def _accept(self) -> None:
        """Writes the acceptance, again and again once it may be on its way.

        Every attempt has the same nonce and the same expected version, so at
        most one takes effect. A pause of this process does no harm: a takeover
        in the meantime has used up the version.
        """
        opened = self._opened.rollout
        accepted = records.Rollout(
            in_force=opened.staging,
            epoch=opened.epoch,
            coordinator=opened.coordinator,
            requested_by=opened.requested_by,
        )
        nonce = idempotent_writes.new_nonce()
        backoff = backoff_lib.Backoff()
        was_sent = False
        while self.state.phase is coordinator_state.Phase.ACCEPTING:
            written = await self._parts.catalog.update_rollout(
                accepted, self._opened.version, nonce
            )
            if isinstance(written, result.Success):
                self.accepted_s = self._parts.learner.store.now_s()
                self.state.finish(accepted=True)
                return
            error = written.failure()
            self.problem = str(error)
            if isinstance(error, exceptions.ConflictError):
                await self._resolve_conflict()
                return
            was_sent |= isinstance(error, exceptions.OutcomeUnknownError)
            if not was_sent:
                self.state.accept_was_not_sent()
                return
            await asyncio.sleep(backoff.next_s())
            self._notice_result()

    def _notice_result(self) -> None:
        """Ends the attempts if a watch or a peer has brought the result."""
        if self._parts.learner.store.number >= self.state.number:
            self.state.finish(accepted=True)

    async def _resolve_conflict(self) -> None:
        """Another write came after this epoch's; reads whether it accepted."""
        backoff = backoff_lib.Backoff()
        while True:
            read = await self._parts.catalog.read_rollout()
            if isinstance(read, result.Success):
                in_force = read.unwrap().rollout.in_force
                self.state.finish(accepted=in_force >= self.state.number)
                return
            await asyncio.sleep(backoff.next_s())

    async def _activate_everywhere(self) -> None:
        number = self.state.number
        _LOG.info("bundle_accepted", number=number, epoch=self.state.epoch)
        await self._parts.learner.activate(number, [])
        own_id = self._parts.network.own.instance_id
        await asyncio.gather(
            *(
                self._activate(address)
                for instance_id in self._contacts
                if instance_id != own_id
                and (address := self._address(instance_id)) is not None
            )
        )

    async def _activate(self, address: str) -> None:
        request = peer_pb2.ActivateRequest(
            number=self.state.number,
            epoch=self.state.epoch,
            peer_address=self._parts.network.own.peer_address,
        )
        for _ in range(ACTIVATE_ATTEMPTS_MAX):
            async with self._slots:
                replied = await self._parts.calls.activate(address, request)
            if isinstance(replied, result.Success):
                return
            await asyncio.sleep(CONTACT_PERIOD_S)
