"""Asks every known instance for its bundle numbers."""

import asyncio

from returns import result

from lycheerock._internal.bundles import actions
from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import handlers as handlers_lib
from lycheerock._internal.bundles import network as network_lib
from lycheerock._internal.bundles import peer_calls
from lycheerock._internal.bundles import records
from lycheerock._internal.platform import client as client_lib
from lycheerock_protocol import peer_pb2


class Reporter:
    """Builds one report per instance."""

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        network: network_lib.Network,
        calls: peer_calls.PeerCalls,
        handlers: handlers_lib.BundleHandlers,
    ):
        self._platform = platform
        self._network = network
        self._calls = calls
        self._handlers = handlers

    async def collect(
        self, rollout: records.Rollout
    ) -> tuple[actions.InstanceReport, ...]:
        """Returns the reports of all known instances, ordered by id."""
        listed = (await self._platform.list_instances()).value_or(())
        addresses = {p.instance_id: p.address for p in self._network.peers()}
        for entry in listed:
            addresses.setdefault(entry.instance_id, entry.peer_address)
        own = self._network.own
        addresses[own.instance_id] = own.peer_address
        required = coordinator_state.choose_required(
            (own, *self._network.directory.peers()),
            frozenset(entry.instance_id for entry in listed),
            frozenset(),
        )
        reports = await asyncio.gather(
            *(
                self._report(name, address, name in required, rollout)
                for name, address in sorted(addresses.items())
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
        replied: peer_calls.Reply[peer_pb2.BundleStatusReply]
        if instance_id == self._network.own.instance_id:
            replied = result.Success(self._handlers.status())
        else:
            replied = await self._calls.status(address)
        if isinstance(replied, result.Failure):
            return actions.InstanceReport(
                instance_id=instance_id,
                reachable=False,
                in_force=0,
                acknowledged=False,
                admitting=False,
                required=required,
                problem=f"{replied.failure()}; restart it, or take it off the "
                "platform's list",
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
