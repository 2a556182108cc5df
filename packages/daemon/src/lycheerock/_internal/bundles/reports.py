"""Collects the bundle status of every known instance."""

import asyncio

from returns import result

from lycheerock._internal.bundles import actions
from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import handlers as handlers_lib
from lycheerock._internal.bundles import peer_client as peer_client_lib
from lycheerock._internal.bundles import peer_set as peer_set_lib
from lycheerock._internal.bundles import records
from lycheerock._internal.platform import client as client_lib
from lycheerock_protocol import peer_pb2


class Reporter:
    """Queries instances and builds one report for each."""

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        peer_set: peer_set_lib.PeerSet,
        peer_client: peer_client_lib.PeerClient,
        handlers: handlers_lib.BundleHandlers,
    ):
        self._platform = platform
        self._peer_set = peer_set
        self._peer_client = peer_client
        self._handlers = handlers

    async def collect(
        self, rollout: records.Rollout
    ) -> tuple[actions.InstanceReport, ...]:
        """Returns reports of all known instances, ordered by id.

        Args:
          rollout: Rollout for which acknowledgements are reported.
        """
        found = await self._platform.list_instances()
        listed = found.value_or(client_lib.InstanceListing()).instances
        addresses = {p.instance_id: p.address for p in self._peer_set.peers()}
        for entry in listed:
            addresses.setdefault(entry.instance_id, entry.peer_address)
        own = self._peer_set.own
        addresses[own.instance_id] = own.peer_address
        required = coordinator_state.choose_required(
            (own, *self._peer_set.directory.peers()),
            frozenset(entry.instance_id for entry in listed),
            frozenset(),
        )
        reports = await asyncio.gather(
            *(
                self._report(
                    instance_id, address, instance_id in required, rollout
                )
                for instance_id, address in sorted(addresses.items())
            )
        )
        return tuple(reports)

    async def _report(
        self,
        instance_id: str,
        address: str,
        required: bool,
        rollout: records.Rollout,
    ) -> actions.InstanceReport:
        replied: peer_client_lib.Reply[peer_pb2.BundleStatusReply]
        if instance_id == self._peer_set.own.instance_id:
            replied = result.Success(self._handlers.status())
        else:
            replied = await self._peer_client.status(address)
        if isinstance(replied, result.Failure):
            return actions.InstanceReport(
                instance_id=instance_id,
                reachable=False,
                in_force=0,
                acknowledged=False,
                admitting=False,
                required=required,
                problem=f"{replied.failure()}; restart it, or remove it from "
                "the platform's list",
            )
        reply = replied.unwrap()
        acknowledged = reply.acknowledged and (
            reply.rollout_number,
            reply.rollout_epoch,
        ) == (rollout.staging, rollout.epoch)
        return actions.InstanceReport(
            instance_id=instance_id,
            reachable=True,
            in_force=reply.in_force,
            acknowledged=acknowledged,
            admitting=reply.admitting,
            required=required,
            problem=reply.problem,
        )
