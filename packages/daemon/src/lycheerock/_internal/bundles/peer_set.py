"""Peers of this instance that take part in the bundle life cycle."""

from collections.abc import Iterable
import dataclasses
import hashlib
import random

from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import members as members_lib

_UNREACHABLE_STATES = frozenset(
    {members_lib.MemberState.DEAD, members_lib.MemberState.LEFT}
)


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """Id of an instance and the address of its gRPC interface."""

    instance_id: str
    address: str


class PeerSet:
    """Combines the configured peers with the current members."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        configured: Iterable[PeerAddress],
    ):
        self.directory = directory
        self.configured = tuple(configured)
        self._random = random.SystemRandom()

    @property
    def own(self) -> members_lib.Member:
        """Member entry of this instance."""
        return self.directory.local_member

    def peers(self) -> tuple[PeerAddress, ...]:
        """Returns the peers that may be reachable, configured ones first."""
        peers = {peer.instance_id: peer for peer in self.configured}
        for member in self.directory.peers():
            if member.state not in _UNREACHABLE_STATES:
                peers[member.instance_id] = PeerAddress(
                    member.instance_id, member.peer_address
                )
        return tuple(peers.values())

    def sample(self, count: int) -> list[str]:
        """Returns the addresses of up to `count` random peers."""
        addresses = [peer.address for peer in self.peers()]
        return self._random.sample(addresses, min(count, len(addresses)))

    def rank(self, key: str) -> int:
        """Returns the rank of this instance among live members.

        Ranks are assigned by rendezvous hashing.

        Args:
          key: Name of the role to assign; each key has its own order.

        Returns:
          The rank; 0 is the preferred instance.
        """
        own_weight = _weight(key, self.own.instance_id)
        live = (
            member.instance_id
            for member in self.directory.peers()
            if member.state is members_lib.MemberState.ALIVE
        )
        return sum(
            _weight(key, instance_id) > own_weight for instance_id in live
        )


def _weight(key: str, instance_id: str) -> bytes:
    text = f"{key}\0{instance_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
