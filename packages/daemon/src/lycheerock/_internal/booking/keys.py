"""Request keys and the outcomes of their requests.

A key names the incarnation that issued it. Only that process may run the
request, so that no agreement with other instances or the platform is needed.
"""

import asyncio
import collections
import dataclasses
import re

from lycheerock_model import answers
from lycheerock_model import exceptions

KEY_RETENTION_S = 600.0
KEYS_MAX = 100_000
KEYS_PER_REQUEST_MAX = 1_000

_KEY_FORM = re.compile(
    r"^([a-z0-9][a-z0-9-]{0,62})\.([0-9a-f]{1,16})\.([0-9a-f]{1,16})"
    r"\.([0-9a-f]{1,16})$"
)


@dataclasses.dataclass(frozen=True)
class RequestKey:
    """A parsed request key.

    Attributes:
      instance_id: Instance that issued the key.
      incarnation: Incarnation that issued the key.
      counter: Unique within the incarnation.
      issued_ms: Time of issue, from the start of the incarnation.
    """

    instance_id: str
    incarnation: int
    counter: int
    issued_ms: int

    def __str__(self) -> str:
        return (
            f"{self.instance_id}.{self.incarnation:x}.{self.counter:x}"
            f".{self.issued_ms:x}"
        )


def parse(text: str) -> RequestKey:
    """Parses a request key.

    Args:
      text: Value of the X-Request-Key header.

    Returns:
      The key.

    Raises:
      RequestKeyError: The text is not a key.
    """
    match = _KEY_FORM.match(text)
    if match is None:
        raise exceptions.RequestKeyError(
            "the request key is malformed",
            "get keys from POST /v1/keys and send them unchanged",
        )
    instance_id, incarnation, counter, issued = match.groups()
    return RequestKey(
        instance_id, int(incarnation, 16), int(counter, 16), int(issued, 16)
    )


class KeyTable:
    """Keys of this incarnation that were used, with their outcomes."""

    def __init__(self, instance_id: str, incarnation: int, start_s: float):
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._start_s = start_s
        self._counter = 0
        self._entries: collections.OrderedDict[
            str, tuple[float, asyncio.Future[answers.Answer]]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def raise_incarnation(self, incarnation: int) -> None:
        """Takes a higher incarnation unless keys were issued before.

        Keys that were issued name the incarnation of this table, which no
        other process can have, so that they stay valid.
        """
        if self._counter == 0 and incarnation > self._incarnation:
            self._incarnation = incarnation

    def issue(self, count: int, now_s: float) -> list[str]:
        """Issues new keys.

        Args:
          count: Number of keys, at most KEYS_PER_REQUEST_MAX.
          now_s: Monotonic time.

        Returns:
          The keys.
        """
        issued_ms = int((now_s - self._start_s) * 1000)
        first = self._counter + 1
        self._counter += count
        return [
            str(RequestKey(self._instance_id, self._incarnation, n, issued_ms))
            for n in range(first, first + count)
        ]

    def issued_here(self, key: RequestKey) -> bool:
        """Tells whether this incarnation issued the key."""
        return (key.instance_id, key.incarnation) == (
            self._instance_id,
            self._incarnation,
        ) and key.counter <= self._counter

    def is_expired(self, key: RequestKey, now_s: float) -> bool:
        """Tells whether the outcome of the key may have been forgotten."""
        age_s = now_s - self._start_s - key.issued_ms / 1000
        return age_s > KEY_RETENTION_S

    def find(self, key: str) -> asyncio.Future[answers.Answer] | None:
        """Returns the outcome of a key that was used, or None."""
        entry = self._entries.get(key)
        return entry[1] if entry is not None else None

    def claim(
        self, key: str, outcome: asyncio.Future[answers.Answer], now_s: float
    ) -> bool:
        """Records that the request of a key is about to run.

        Args:
          key: A key without an entry.
          outcome: Future of the answer.
          now_s: Monotonic time.

        Returns:
          False when the table is full.
        """
        self._drop_expired(now_s)
        if len(self._entries) >= KEYS_MAX:
            return False
        self._entries[key] = (now_s, outcome)
        return True

    def release(self, key: str) -> None:
        """Forgets a key whose request was proven not to have run."""
        self._entries.pop(key, None)

    def _drop_expired(self, now_s: float) -> None:
        # An entry lives for the retention time from its use, which is later
        # than its issue, so that an expired key never looks unused.
        while self._entries:
            key, (used_s, _) = next(iter(self._entries.items()))
            if now_s - used_s <= KEY_RETENTION_S:
                return
            del self._entries[key]
