"""Directory of the members known to this instance."""

from collections.abc import Callable
from collections.abc import Iterable

from lycheerock._internal.membership import members as members_lib
from lycheerock_model import settings as settings_lib

Listener = Callable[[members_lib.Member], None]


class Directory:
    """The local member and its peers by instance id.

    Only the gossip task modifies the directory; all other code reads it.
    """

    def __init__(
        self,
        local_member: members_lib.Member,
        configured_ids: Iterable[str] = (),
    ):
        self.local_member = local_member
        self._peers: dict[str, members_lib.Member] = {}
        self._listeners: list[Listener] = []
        self._configured_ids = frozenset(configured_ids)
        self._reached: set[str] = set()

    def peers(self) -> tuple[members_lib.Member, ...]:
        """Returns all members except the local one, in any state."""
        return tuple(self._peers.values())

    def find(self, instance_id: str) -> members_lib.Member | None:
        """Returns the member with the given id, or None."""
        if instance_id == self.local_member.instance_id:
            return self.local_member
        return self._peers.get(instance_id)

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each entry that changes, local one included.

        Removing a member calls no listener: its change to dead or left has
        already been reported.
        """
        self._listeners.append(listener)

    def reached_majority(self) -> bool:
        """Returns whether a majority of the configured peers was reached.

        A peer counts as reached once it has sent a message to this process. If
        no peers are configured, the result is true.
        """
        return not self._configured_ids or 2 * len(self._reached) > len(
            self._configured_ids
        )

    def put(self, member: members_lib.Member) -> None:
        """Replaces the entry of a member and notifies the listeners."""
        if member.instance_id == self.local_member.instance_id:
            self.local_member = member
        else:
            self._peers[member.instance_id] = member
        for listener in self._listeners:
            listener(member)

    def remove(self, instance_id: str) -> None:
        """Removes the entry of a member that is dead or has left."""
        self._peers.pop(instance_id, None)

    def mark_reached(self, instance_id: str) -> None:
        """Records that a message from an instance has arrived."""
        if instance_id in self._configured_ids:
            self._reached.add(instance_id)

    @property
    def unreached(self) -> frozenset[str]:
        """Configured peers that have not sent a message to this process yet."""
        return self._configured_ids - self._reached


def from_settings(
    settings: settings_lib.Settings, incarnation: int
) -> Directory:
    """Builds the initial directory of a process.

    Args:
      settings: The daemon's settings.
      incarnation: Incarnation of this process.

    Returns:
      A directory with the local member only; gossip adds the peers.
    """
    local_member = members_lib.Member(
        settings.instance_id,
        incarnation,
        members_lib.MemberState.ALIVE,
        settings.peer_address,
        settings.region,
        settings.zone,
    )
    return Directory(
        local_member, (peer.instance_id for peer in settings.peers)
    )
