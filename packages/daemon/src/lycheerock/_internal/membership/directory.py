"""The members that this instance knows."""

from collections.abc import Iterable

from lycheerock._internal.membership import members as members_lib
from lycheerock_model import settings as settings_lib


class Directory:
    """The own member and its peers by instance id."""

    def __init__(
        self,
        own: members_lib.Member,
        peers: Iterable[members_lib.Member],
    ):
        self.own = own
        self._peers = {peer.instance_id: peer for peer in peers}

    def peers(self) -> tuple[members_lib.Member, ...]:
        """Returns all members but the own one, in any state."""
        return tuple(self._peers.values())

    def find(self, instance_id: str) -> members_lib.Member | None:
        """Returns the member of that id, or None."""
        if instance_id == self.own.instance_id:
            return self.own
        return self._peers.get(instance_id)


def from_settings(
    settings: settings_lib.Settings, incarnation: int
) -> Directory:
    """Builds the directory that a process starts with.

    Args:
      settings: The daemon's settings.
      incarnation: Incarnation of this process.

    Returns:
      The directory; peers are taken as alive until more is known.
    """
    own = members_lib.Member(
        settings.instance_id,
        incarnation,
        members_lib.MemberState.ALIVE,
        settings.peer_address,
        settings.region,
        settings.zone,
    )
    peers = (
        members_lib.Member(
            peer.instance_id,
            0,
            members_lib.MemberState.ALIVE,
            peer.peer_address,
            peer.region,
            peer.zone,
        )
        for peer in settings.peers
    )
    return Directory(own, peers)
