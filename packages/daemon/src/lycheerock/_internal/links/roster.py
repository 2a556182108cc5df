"""The instances that take part, from the store and from the links."""

from collections.abc import Mapping
import dataclasses
from typing import Any

from lycheerock._internal.links import members as members_lib

# Time for which an instance that has said goodbye is left out of the members.
# Its entry is removed by no one and expires later; an instance that is back
# earlier says hello with another incarnation.
LEAVING_S = 30.0


class Roster:
    """Combines the registered entries with what peers say on their links.

    Attributes:
      members: Registered instances that are not stopping, by feed address.
    """

    def __init__(self, region_by_zone: Mapping[str, str]) -> None:
        self._region_by_zone = region_by_zone
        self._registered: dict[str, members_lib.Member] = {}
        self._incarnations: dict[str, int] = {}
        self._leaving_until_s: dict[str, float] = {}
        self.members: Mapping[str, members_lib.Member] = {}

    def set_entries(self, values: Mapping[str, Any], now_s: float) -> bool:
        """Replaces the registered entries.

        Returns:
          Whether the members have changed, as the other methods.
        """
        self._registered = members_lib.decode_entries(
            values, self._region_by_zone
        )
        return self.update(now_s)

    def record_hello(self, address: str, incarnation: int) -> bool:
        """Records a hello; returns whether it is of another process.

        The result is False for the first hello from an address.
        """
        known = self._incarnations.get(address)
        self._incarnations[address] = incarnation
        if known in (None, incarnation):
            return False
        self._leaving_until_s.pop(address, None)
        return True

    def record_goodbye(self, address: str, now_s: float) -> bool:
        """Records that an instance stops."""
        self._leaving_until_s[address] = now_s + LEAVING_S
        return self.update(now_s)

    def is_leaving(self, address: str, now_s: float) -> bool:
        """Whether an instance has said goodbye."""
        until_s = self._leaving_until_s.get(address)
        return until_s is not None and now_s < until_s

    def update(self, now_s: float) -> bool:
        """Recomputes the members and forgets goodbyes that have expired."""
        for address, until_s in list(self._leaving_until_s.items()):
            if until_s <= now_s:
                del self._leaving_until_s[address]
        members = {
            address: dataclasses.replace(
                member,
                incarnation=self._incarnations.get(address, member.incarnation),
            )
            for address, member in self._registered.items()
            if address not in self._leaving_until_s
        }
        has_changed = members != self.members
        self.members = members
        return has_changed
