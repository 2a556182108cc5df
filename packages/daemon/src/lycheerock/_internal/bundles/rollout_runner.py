"""Runs one rollout under one epoch on the coordinating instance."""

import asyncio
from collections.abc import Iterable
import dataclasses

from returns import result
import structlog

from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import handlers as handlers_lib
from lycheerock._internal.bundles import idempotent_writes
from lycheerock._internal.bundles import peer_client as peer_client_lib
from lycheerock._internal.bundles import peer_set as peer_set_lib
from lycheerock._internal.bundles import records
from lycheerock._internal.bundles import updater as updater_lib
from lycheerock._internal.lifecycle import backoff as backoff_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions
from lycheerock_protocol import peer_pb2

_LOG = structlog.get_logger()

STAGE_PERIOD_S = 0.5
LIST_INSTANCES_PERIOD_S = 1.0
# The coordinator renews no leases while it writes the acceptance. If the write
# got no reply within the lease duration, all instances would stop admitting
# requests, so it is not sent if the platform was slow to reply just before.
PLATFORM_SLOW_THRESHOLD_S = 1.0
CONCURRENT_CALLS_MAX = 64
ACTIVATE_ATTEMPTS_MAX = 3


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Components that a rollout runner depends on."""

    platform: client_lib.PlatformClient
    catalog: catalog_lib.Catalog
    updater: updater_lib.BundleUpdater
    peer_set: peer_set_lib.PeerSet
    peer_client: peer_client_lib.PeerClient
    handlers: handlers_lib.BundleHandlers


class RolloutRunner:
    """Stages, accepts and activates one bundle.

    Attributes:
      state: Acknowledgements and progress of the rollout.
      problem: Why the platform blocks the rollout; empty if it does not.
      accepted_s: Monotonic time of the acceptance, 0 before.
    """

    def __init__(
        self, dependencies: Dependencies, opened: catalog_lib.VersionedRollout
    ):
        self._dependencies = dependencies
        self._opened = opened
        self.state = coordinator_state.CoordinatorState(
            opened.rollout.staging, opened.rollout.epoch
        )
        self.problem = ""
        self.accepted_s = 0.0
        self._listed_addresses: dict[str, str] = {}
        self._ever_listed: frozenset[str] = frozenset()
        self._stage_tasks: dict[str, asyncio.Task[None]] = {}
        self._call_limiter = asyncio.Semaphore(CONCURRENT_CALLS_MAX)
        self._stage_replied = asyncio.Event()
        self._backoff = backoff_lib.Backoff()

    async def run(self) -> None:
        """Runs until the bundle is accepted or the epoch is superseded.

        An accepted bundle is then activated on all instances.
        """
        try:
            while self.state.phase is coordinator_state.Phase.STAGING:
                await self._try_accept()
        except Exception:
            # The Stage calls end, so another instance takes over.
            _LOG.exception("rollout_failed", number=self.state.number)
            raise
        finally:
            for task in self._stage_tasks.values():
                task.cancel()
        if self.state.phase is coordinator_state.Phase.ACCEPTED:
            await self._activate_everywhere()

    async def _try_accept(self) -> None:
        clock = self._dependencies.updater.store.now_s
        started_s = clock()
        listed = await self._dependencies.platform.list_instances()
        if isinstance(listed, result.Failure):
            self.problem = str(listed.failure())
            await asyncio.sleep(self._backoff.next_delay_s())
            return
        self._backoff.reset()
        elapsed_s = clock() - started_s
        listing = listed.unwrap()
        self._update_required(listing.instances)
        if listing.unreadable_names:
            # An instance whose entry is unreadable may be running, and must
            # acknowledge like the others.
            names = ", ".join(sorted(listing.unreadable_names))
            self.problem = (
                f"the platform's entries of the instances {names} are "
                "unreadable; write them again or remove them"
            )
        elif elapsed_s > PLATFORM_SLOW_THRESHOLD_S:
            self.problem = (
                f"the platform took {elapsed_s:.1f} s to reply; the acceptance "
                "is delayed until it responds faster"
            )
        elif self.state.begin_accept():
            await self._accept()
            return
        else:
            self.problem = ""
        await self._wait_for_acknowledgements()

    def _update_required(
        self, entries: Iterable[client_lib.ListedInstance]
    ) -> None:
        self._listed_addresses = {
            e.instance_id: e.peer_address for e in entries
        }
        peer_set = self._dependencies.peer_set
        required = coordinator_state.choose_required(
            (peer_set.own, *peer_set.directory.peers()),
            frozenset(self._listed_addresses),
            self._ever_listed,
        )
        self._ever_listed |= frozenset(self._listed_addresses)
        self.state.set_required(required)
        for instance_id in required:
            if instance_id not in self._stage_tasks:
                self._stage_tasks[instance_id] = asyncio.create_task(
                    self._stage_repeatedly(instance_id)
                )

    def _address(self, instance_id: str) -> str | None:
        member = self._dependencies.peer_set.directory.find(instance_id)
        if member is not None:
            return member.peer_address
        return self._listed_addresses.get(instance_id)

    async def _wait_for_acknowledgements(self) -> None:
        try:
            async with asyncio.timeout(LIST_INSTANCES_PERIOD_S):
                while self._is_waiting():
                    self._stage_replied.clear()
                    await self._stage_replied.wait()
        except TimeoutError:
            pass

    def _is_waiting(self) -> bool:
        is_staging = self.state.phase is coordinator_state.Phase.STAGING
        return is_staging and bool(self.state.blockers())

    async def _stage_repeatedly(self, instance_id: str) -> None:
        while True:
            address = self._address(instance_id)
            if address is not None:
                async with self._call_limiter:
                    await self._stage(instance_id, address)
                self._stage_replied.set()
            await asyncio.sleep(STAGE_PERIOD_S)

    async def _stage(self, instance_id: str, address: str) -> None:
        own = self._dependencies.peer_set.own
        request = peer_pb2.StageRequest(
            number=self.state.number,
            epoch=self.state.epoch,
            coordinator=peer_pb2.Member(
                instance_id=own.instance_id, peer_address=own.peer_address
            ),
            contact_token=self.state.token(instance_id),
            in_force=self._opened.rollout.in_force,
        )
        replied: peer_client_lib.Reply[peer_pb2.StageReply]
        if instance_id == own.instance_id:
            replied = result.Success(
                await self._dependencies.handlers.stage(request)
            )
        else:
            replied = await self._dependencies.peer_client.stage(
                address, request
            )
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
        """Writes the acceptance to the platform.

        Once an attempt has an unknown outcome, the write is retried until the
        outcome is known. All attempts carry the same nonce and the same
        expected version, so at most one takes effect. If another instance takes
        over while this process is frozen, for example by SIGSTOP, the version
        changes and later attempts fail.
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
        maybe_applied = False
        while self.state.phase is coordinator_state.Phase.ACCEPTING:
            written = await self._dependencies.catalog.update_rollout(
                accepted, self._opened.version, nonce
            )
            if isinstance(written, result.Success):
                self.accepted_s = self._dependencies.updater.store.now_s()
                self.state.finish(accepted=True)
                return
            error = written.failure()
            self.problem = str(error)
            if isinstance(error, exceptions.ConflictError):
                await self._resolve_conflict()
                return
            maybe_applied |= isinstance(error, exceptions.OutcomeUnknownError)
            if not maybe_applied:
                self.state.on_accept_not_sent()
                return
            await asyncio.sleep(backoff.next_delay_s())
            self._check_for_acceptance()

    def _check_for_acceptance(self) -> None:
        """Finishes the rollout if the bundle is already in force here.

        A watch, a read or a peer may have reported the acceptance although no
        attempt to write it got a reply.
        """
        if self._dependencies.updater.store.number >= self.state.number:
            self.state.finish(accepted=True)

    async def _resolve_conflict(self) -> None:
        """Reads the rollout object to find out if the bundle was accepted."""
        backoff = backoff_lib.Backoff()
        while True:
            read = await self._dependencies.catalog.read_rollout()
            if isinstance(read, result.Success):
                in_force = read.unwrap().rollout.in_force
                self.state.finish(accepted=in_force >= self.state.number)
                return
            await asyncio.sleep(backoff.next_delay_s())

    async def _activate_everywhere(self) -> None:
        number = self.state.number
        _LOG.info("bundle_accepted", number=number, epoch=self.state.epoch)
        await self._dependencies.updater.activate(number, [])
        own_id = self._dependencies.peer_set.own.instance_id
        await asyncio.gather(
            *(
                self._activate(address)
                for instance_id in self._stage_tasks
                if instance_id != own_id
                and (address := self._address(instance_id)) is not None
            )
        )

    async def _activate(self, address: str) -> None:
        request = peer_pb2.ActivateRequest(
            number=self.state.number,
            epoch=self.state.epoch,
            peer_address=self._dependencies.peer_set.own.peer_address,
        )
        for _ in range(ACTIVATE_ATTEMPTS_MAX):
            async with self._call_limiter:
                replied = await self._dependencies.peer_client.activate(
                    address, request
                )
            if isinstance(replied, result.Success):
                return
            await asyncio.sleep(STAGE_PERIOD_S)
