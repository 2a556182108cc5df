"""Decides which kept addresses are dialed, and when."""

from collections.abc import Iterable
import dataclasses
import random

# Pause after a failed attempt. It doubles with each failure and is reset by a
# link that has lasted for a while. An instance that resumes after a freeze is
# linked again within this time, which is a part of the stable window.
RETRY_FIRST_S = 0.25
RETRY_MAX_S = 2.0
STABLE_LINK_S = 5.0


@dataclasses.dataclass
class _Attempts:
    pause_s: float = RETRY_FIRST_S
    due_s: float = 0.0


class DialPlan:
    """The addresses to which links are kept, and the next attempt for each.

    Each part of the program names its own set of addresses under a key, so that
    one part cannot end the links of another.
    """

    def __init__(self) -> None:
        self._kept_by_key: dict[str, frozenset[str]] = {}
        self._attempts: dict[str, _Attempts] = {}

    def keep(self, key: str, addresses: Iterable[str]) -> bool:
        """Replaces the set of one part; returns whether it has changed."""
        kept = frozenset(addresses)
        if self._kept_by_key.get(key, frozenset()) == kept:
            return False
        self._kept_by_key[key] = kept
        for address in self._attempts.keys() - self.kept:
            del self._attempts[address]
        return True

    @property
    def kept(self) -> frozenset[str]:
        """All addresses that any part has named."""
        return frozenset().union(*self._kept_by_key.values())

    def due(self, connected: Iterable[str], now_s: float) -> list[str]:
        """Returns the addresses to dial now.

        Args:
          connected: Addresses that have a link or are being dialed.
          now_s: Current monotonic time.
        """
        return [
            address
            for address in sorted(self.kept.difference(connected))
            if self._attempts.get(address, _Attempts()).due_s <= now_s
        ]

    def record_end(self, address: str, lasted_s: float, now_s: float) -> None:
        """Records that an attempt has failed or a link has ended."""
        if address not in self.kept:
            return
        attempts = self._attempts.setdefault(address, _Attempts())
        if lasted_s >= STABLE_LINK_S:
            attempts.pause_s = RETRY_FIRST_S
        attempts.due_s = now_s + random.uniform(0.5, 1.0) * attempts.pause_s
        attempts.pause_s = min(RETRY_MAX_S, 2 * attempts.pause_s)
