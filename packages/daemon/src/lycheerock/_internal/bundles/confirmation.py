"""Confirms with peers that the bundle in force is still the accepted one.

This is needed after a start of the process and after a freeze, that is, a
period in which the process did not run, for example because of SIGSTOP.
"""

import asyncio

from returns import result

from lycheerock._internal.bundles import peer_client as peer_client_lib
from lycheerock._internal.bundles import peer_set as peer_set_lib
from lycheerock._internal.bundles import updater as updater_lib
from lycheerock_protocol import peer_pb2

PEERS_QUERIED_MAX = 8
FETCH_PEERS_MAX = 3


class PeerConfirmation:
    """Asks peers for their bundle numbers to confirm the local bundle.

    A peer that admits requests and has no pending rollout knows that the number
    it has in force is the accepted one. During a rollout, confirmation comes
    from the coordinator or the platform instead. A majority of the configured
    peers must have replied since the process started; otherwise, a partitioned
    minority with an outdated bundle could confirm it.
    """

    def __init__(
        self,
        updater: updater_lib.BundleUpdater,
        peer_set: peer_set_lib.PeerSet,
        peer_client: peer_client_lib.PeerClient,
    ):
        self._updater = updater
        self._peer_set = peer_set
        self._peer_client = peer_client
        self._replied_ids: set[str] = set()

    def _has_majority(self) -> bool:
        configured = {peer.instance_id for peer in self._peer_set.configured}
        return 2 * len(self._replied_ids & configured) > len(configured)

    async def try_confirm(self) -> bool:
        """Queries peers once.

        If a peer has a higher number in force, that bundle is fetched and
        activated first.

        Returns:
          Whether the admission gate was opened.
        """
        store = self._updater.store
        queried_s = store.now_s()
        replies = await self._query_peers()
        highest = max((reply.in_force for _, reply in replies), default=0)
        if highest > store.number:
            addresses = [a for a, reply in replies if reply.in_force == highest]
            await self._updater.activate(highest, addresses[:FETCH_PEERS_MAX])
        if store.number == 0 or not self._has_majority():
            return False
        for _, reply in replies:
            is_up_to_date = reply.admitting and not reply.rollout_number
            if is_up_to_date and reply.in_force == store.number and store.gate:
                return store.gate.confirm(queried_s, store.now_s())
        return False

    async def _query_peers(
        self,
    ) -> list[tuple[str, peer_pb2.BundleStatusReply]]:
        if self._has_majority():
            addresses = self._peer_set.sample(PEERS_QUERIED_MAX)
        else:
            addresses = [peer.address for peer in self._peer_set.configured]
        outcomes = await asyncio.gather(
            *(self._peer_client.status(address) for address in addresses)
        )
        replies = []
        for address, outcome in zip(addresses, outcomes, strict=True):
            if isinstance(outcome, result.Success):
                reply = outcome.unwrap()
                self._replied_ids.add(reply.instance_id)
                replies.append((address, reply))
        return replies
