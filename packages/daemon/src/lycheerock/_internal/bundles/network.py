"""Whom this instance can ask about bundles."""

from collections.abc import Iterable
import dataclasses
import hashlib
import random

from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import members as members_lib

_GONE = frozenset({members_lib.MemberState.DEAD, members_lib.MemberState.LEFT})


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """An instance and the address of its gRPC interface."""

    instance_id: str
    address: str


class Network:
    """The configured peers and the members known now."""

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
        """The own member."""
        return self.directory.own

    def peers(self) -> tuple[PeerAddress, ...]:
        """Returns members that may be reachable; configured peers first."""
        found = {peer.instance_id: peer for peer in self.configured}
        for member in self.directory.peers():
            if member.state not in _GONE:
                found[member.instance_id] = PeerAddress(
                    member.instance_id, member.peer_address
                )
        return tuple(found.values())

    def sample(self, count: int) -> list[str]:
        """Returns the addresses of up to `count` random peers."""
        addresses = [peer.address for peer in self.peers()]
        return self._random.sample(addresses, min(count, len(addresses)))

    def rank(self, subject: str) -> int:
        """Returns this instance's rendezvous rank among live members.

        Args:
          subject: What is assigned; each subject has its own order.

        Returns:
          0 for the first choice.
        """
        own_weight = _weight(subject, self.own.instance_id)
        live = (
            member.instance_id
            for member in self.directory.peers()
            if member.state is members_lib.MemberState.ALIVE
        )
        return sum(_weight(subject, name) > own_weight for name in live)


def _weight(subject: str, instance_id: str) -> bytes:
    text = f"{subject}\0{instance_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
