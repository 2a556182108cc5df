"""Confirms the bundle of an instance that has started or stood still."""

import asyncio

from returns import result

from lycheerock._internal.bundles import learner as learner_lib
from lycheerock._internal.bundles import network as network_lib
from lycheerock._internal.bundles import peer_calls
from lycheerock_protocol import peer_pb2

PEERS_ASKED_MAX = 8
FETCH_PEERS_MAX = 3


class PeerConfirmation:
    """Asks peers which bundle they admit requests under.

    A peer that admits requests and has acknowledged no open rollout knows that
    its number is the accepted one; during a rollout the coordinator or the
    platform confirms instead. After the start, most of the configured peers
    must have answered, so that a small group that the others have left behind
    cannot confirm itself.
    """

    def __init__(
        self,
        learner: learner_lib.Learner,
        network: network_lib.Network,
        calls: peer_calls.PeerCalls,
    ):
        self._learner = learner
        self._network = network
        self._calls = calls
        self._reached: set[str] = set()

    def _has_majority(self) -> bool:
        configured = {peer.instance_id for peer in self._network.configured}
        return 2 * len(self._reached & configured) > len(configured)

    async def ask(self) -> bool:
        """Asks some peers once; returns whether the gate is open now."""
        store = self._learner.store
        asked_s = store.now_s()
        replies = await self._collect()
        highest = max((reply.in_force for _, reply in replies), default=0)
        if highest > store.number:
            holders = [a for a, reply in replies if reply.in_force == highest]
            await self._learner.activate(highest, holders[:FETCH_PEERS_MAX])
        if store.number == 0 or not self._has_majority():
            return False
        for _, reply in replies:
            knows = reply.admitting and not reply.rollout_number
            if knows and reply.in_force == store.number and store.gate:
                return store.gate.confirm(asked_s, store.now_s())
        return False

    async def _collect(self) -> list[tuple[str, peer_pb2.BundleStatusReply]]:
        if self._has_majority():
            addresses = self._network.sample(PEERS_ASKED_MAX)
        else:
            addresses = [peer.address for peer in self._network.configured]
        outcomes = await asyncio.gather(
            *(self._calls.status(address) for address in addresses)
        )
        replies = []
        for address, outcome in zip(addresses, outcomes, strict=True):
            if isinstance(outcome, result.Success):
                reply = outcome.unwrap()
                self._reached.add(reply.instance_id)
                replies.append((address, reply))
        return replies
