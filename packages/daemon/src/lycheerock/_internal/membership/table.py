"""Member table: entries of other instances and tombstones of removed ones."""

import collections

from lycheerock._internal.membership import members as members_lib

# Long enough for every member to learn of a death by gossip or by a pull.
ENDED_RETENTION_S = 60.0
TOMBSTONES_MAX = 1_024


class MemberTable:
    """The newest entry of each other instance."""

    def __init__(self) -> None:
        self._entries: dict[str, members_lib.Member] = {}
        self._ended_at_s: dict[str, float] = {}
        # Removed entries, kept so that stale gossip does not restore them. A
        # newer entry of the same instance replaces its tombstone.
        self._tombstones: collections.OrderedDict[str, members_lib.Member] = (
            collections.OrderedDict()
        )

    def get(self, instance_id: str) -> members_lib.Member | None:
        """Returns the entry of an instance, or None."""
        return self._entries.get(instance_id)

    def last_known(self, instance_id: str) -> members_lib.Member | None:
        """Returns the entry or tombstone of an instance, or None."""
        return self._entries.get(instance_id) or self._tombstones.get(
            instance_id
        )

    def all(self) -> tuple[members_lib.Member, ...]:
        """Returns all entries, including dead and left members."""
        return tuple(self._entries.values())

    def running(self) -> list[members_lib.Member]:
        """Returns the members that are expected to answer."""
        return [m for m in self._entries.values() if m.is_running]

    def dead(self) -> list[members_lib.Member]:
        """Returns the members that were declared dead."""
        return [
            m
            for m in self._entries.values()
            if m.state == members_lib.MemberState.DEAD
        ]

    def put(self, member: members_lib.Member, now_s: float) -> bool:
        """Stores an entry if it is newer than the entry or tombstone held.

        Args:
          member: The entry to store.
          now_s: Current monotonic time.

        Returns:
          Whether the table has changed.
        """
        known = self.last_known(member.instance_id)
        if known is not None and member.precedence <= known.precedence:
            return False
        self._tombstones.pop(member.instance_id, None)
        self._entries[member.instance_id] = member
        if member.is_running:
            self._ended_at_s.pop(member.instance_id, None)
        else:
            self._ended_at_s[member.instance_id] = now_s
        return True

    def prune_ended(self, now_s: float) -> list[str]:
        """Replaces entries of members that ended long ago by tombstones.

        The oldest tombstones are evicted above TOMBSTONES_MAX.

        Args:
          now_s: Current monotonic time.

        Returns:
          Ids of the removed instances.
        """
        expired = [
            instance_id
            for instance_id, ended_at_s in self._ended_at_s.items()
            if now_s - ended_at_s >= ENDED_RETENTION_S
        ]
        for instance_id in expired:
            del self._ended_at_s[instance_id]
            self._tombstones[instance_id] = self._entries.pop(instance_id)
        while len(self._tombstones) > TOMBSTONES_MAX:
            self._tombstones.popitem(last=False)
        return expired
