"""The members that this instance knows."""

from collections.abc import Callable
from collections.abc import Iterable

from lycheerock._internal.membership import members as members_lib
from lycheerock_model import settings as settings_lib

Listener = Callable[[members_lib.Member], None]


class Directory:
    """The own member and its peers by instance id.

    The gossip task keeps it current; all others only read it.
    """

    def __init__(
        self,
        own: members_lib.Member,
        configured_ids: Iterable[str] = (),
    ):
        self.local_member = own
        self._peers: dict[str, members_lib.Member] = {}
        self._listeners: list[Listener] = []
        self._configured = frozenset(configured_ids)
        self._reached: set[str] = set()

    def peers(self) -> tuple[members_lib.Member, ...]:
        """Returns all members but the own one, in any state."""
        return tuple(self._peers.values())

    def find(self, instance_id: str) -> members_lib.Member | None:
        """Returns the member of that id, or None."""
        if instance_id == self.local_member.instance_id:
            return self.local_member
        return self._peers.get(instance_id)

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each entry that changes, the own one included.

        A member that is forgotten was reported dead or left before.
        """
        self._listeners.append(listener)

    def reached_majority(self) -> bool:
        """Tells whether most configured peers were heard since the start."""
        return not self._configured or 2 * len(self._reached) > len(
            self._configured
        )

    def put(self, member: members_lib.Member) -> None:
        """Replaces the entry on a member and tells the listeners."""
        if member.instance_id == self.local_member.instance_id:
            self.local_member = member
        else:
            self._peers[member.instance_id] = member
        for listener in self._listeners:
            listener(member)

    def forget(self, instance_id: str) -> None:
        """Drops the entry on a dead member."""
        self._peers.pop(instance_id, None)

    def note_reached(self, instance_id: str) -> None:
        """Records that an instance was heard directly."""
        if instance_id in self._configured:
            self._reached.add(instance_id)

    @property
    def unreached(self) -> frozenset[str]:
        """Configured peers that were not heard since the start."""
        return self._configured - self._reached


def from_settings(
    settings: settings_lib.Settings, incarnation: int
) -> Directory:
    """Builds the directory that a process starts with.

    Args:
      settings: The daemon's settings.
      incarnation: Incarnation of this process.

    Returns:
      The directory; peers enter it when they were heard of.
    """
    own = members_lib.Member(
        settings.instance_id,
        incarnation,
        members_lib.MemberState.ALIVE,
        settings.peer_address,
        settings.region,
        settings.zone,
    )
    return Directory(own, (peer.instance_id for peer in settings.peers))
