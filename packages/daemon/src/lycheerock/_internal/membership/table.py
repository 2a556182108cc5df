"""The member table: entries on other instances, dead and forgotten ones."""

import collections

from lycheerock._internal.membership import members as members_lib

# Long enough for every member to hear of a death by gossip or by a pull.
FORGET_AFTER_S = 60.0
FORGOTTEN_MAX = 1_024


class MemberTable:
    """The newest entry on each other instance."""

    def __init__(self) -> None:
        self._entries: dict[str, members_lib.Member] = {}
        self._ended_s: dict[str, float] = {}
        # Entries that were dropped, so that stale gossip does not bring them
        # back; only a newer entry does.
        self._forgotten: collections.OrderedDict[str, members_lib.Member] = (
            collections.OrderedDict()
        )

    def get(self, instance_id: str) -> members_lib.Member | None:
        """Returns the entry on an instance, or None."""
        return self._entries.get(instance_id)

    def last_known(self, instance_id: str) -> members_lib.Member | None:
        """Returns the entry on an instance even if it was forgotten."""
        return self._entries.get(instance_id) or self._forgotten.get(
            instance_id
        )

    def all(self) -> tuple[members_lib.Member, ...]:
        """Returns all entries, those of ended processes included."""
        return tuple(self._entries.values())

    def running(self) -> list[members_lib.Member]:
        """Returns the members that are expected to answer."""
        return [m for m in self._entries.values() if m.is_running]

    def dead(self) -> list[members_lib.Member]:
        """Returns the members that were found dead."""
        return [
            m
            for m in self._entries.values()
            if m.state == members_lib.MemberState.DEAD
        ]

    def put(self, member: members_lib.Member, now_s: float) -> bool:
        """Takes an entry if it is newer than what was ever known.

        Args:
          member: The entry.
          now_s: Monotonic time.

        Returns:
          Whether the table has changed.
        """
        known = self.last_known(member.instance_id)
        if known is not None and member.order <= known.order:
            return False
        self._forgotten.pop(member.instance_id, None)
        self._entries[member.instance_id] = member
        if member.is_running:
            self._ended_s.pop(member.instance_id, None)
        else:
            self._ended_s[member.instance_id] = now_s
        return True

    def forget(self, now_s: float) -> list[str]:
        """Drops entries of processes that ended long ago.

        Args:
          now_s: Monotonic time.

        Returns:
          The instances that were dropped.
        """
        due = [
            instance_id
            for instance_id, ended_s in self._ended_s.items()
            if now_s - ended_s >= FORGET_AFTER_S
        ]
        for instance_id in due:
            del self._ended_s[instance_id]
            self._forgotten[instance_id] = self._entries.pop(instance_id)
        while len(self._forgotten) > FORGOTTEN_MAX:
            self._forgotten.popitem(last=False)
        return due
