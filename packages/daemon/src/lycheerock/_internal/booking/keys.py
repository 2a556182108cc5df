"""Request keys and the outcomes of the requests that used them.

A key names the incarnation that issued it. Only that process may run the
request, so no coordination with other instances or the platform is needed.
"""

import asyncio
import collections
import dataclasses
import hashlib
import hmac
import re
import secrets

from lycheerock_model import answers
from lycheerock_model import exceptions

KEY_RETENTION_S = 600.0
KEYS_MAX = 50_000
KEYS_PER_REQUEST_MAX = 1_000

# Total size of the results that are stored for callers that retry a request.
RESULTS_SIZE_MAX_BYTES = 16 * 1024 * 1024

_KEY_PATTERN = re.compile(
    r"([a-z0-9][a-z0-9-]{0,62})\.([0-9a-f]{1,16})\.([0-9a-f]{1,16})"
    r"\.([0-9a-f]{1,16})\.([0-9a-f]{16})"
)
_MAC_SIZE_BYTES = 8


@dataclasses.dataclass(frozen=True)
class RequestKey:
    """A parsed request key.

    Attributes:
      instance_id: Instance that issued the key.
      incarnation: Incarnation that issued the key.
      counter: Unique within the incarnation.
      issued_ms: Time of issue since the start of the incarnation.
      mac: Message authentication code that binds the key to its caller.
    """

    instance_id: str
    incarnation: int
    counter: int
    issued_ms: int
    mac: str

    def __str__(self) -> str:
        return (
            f"{self.instance_id}.{self.incarnation:x}.{self.counter:x}"
            f".{self.issued_ms:x}.{self.mac}"
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
    match = _KEY_PATTERN.fullmatch(text)
    if match is None:
        raise exceptions.RequestKeyError(
            "the request key is malformed",
            "get keys from POST /v1/keys and send them unchanged",
        )
    instance_id, incarnation, counter, issued, mac = match.groups()
    return RequestKey(
        instance_id,
        int(incarnation, 16),
        int(counter, 16),
        int(issued, 16),
        mac,
    )


class KeyEntry:
    """State of a key whose request was started.

    Attributes:
      caller: Caller that used the key.
      request_digest: Digest of the request, to detect reuse of the key for a
        different request.
      first_used_s: Monotonic time at which the request was started.
      done: Set once the answer is available.
      answer: Answer of the request, or None while it is running.
    """

    __slots__ = ("answer", "caller", "done", "first_used_s", "request_digest")

    def __init__(self, caller: str, request_digest: bytes, first_used_s: float):
        self.caller = caller
        self.request_digest = request_digest
        self.first_used_s = first_used_s
        self.done = asyncio.Event()
        self.answer: answers.Answer | None = None


class KeyTable:
    """Issues keys and stores the used ones with their answers.

    An issued key takes no memory until it is used. Both the number of used
    keys and the total size of their results are bounded.
    """

    def __init__(
        self,
        instance_id: str,
        incarnation: int,
        start_s: float,
        keys_max: int = KEYS_MAX,
        results_size_max_bytes: int = RESULTS_SIZE_MAX_BYTES,
    ):
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._start_s = start_s
        self._keys_max = keys_max
        self._results_size_max_bytes = results_size_max_bytes
        self._secret = secrets.token_bytes(32)
        self._counter = 0
        self._entries: collections.OrderedDict[str, KeyEntry] = (
            collections.OrderedDict()
        )
        self._entry_counts: collections.Counter[str] = collections.Counter()
        self._result_sizes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._results_size_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def raise_incarnation(self, incarnation: int) -> None:
        """Adopts a higher incarnation unless keys have already been issued.

        Once keys have been issued, the table keeps the incarnation that they
        name, which no other process can have, so that the keys stay valid.
        """
        if self._counter == 0 and incarnation > self._incarnation:
            self._incarnation = incarnation

    def issue(self, count: int, caller: str, now_s: float) -> list[str]:
        """Issues new keys.

        Args:
          count: Number of keys, at most KEYS_PER_REQUEST_MAX.
          caller: Caller that may use the keys.
          now_s: Current monotonic time.

        Returns:
          The keys.
        """
        issued_ms = int((now_s - self._start_s) * 1000)
        first = self._counter + 1
        self._counter += count
        prefix = f"{self._instance_id}.{self._incarnation:x}"
        return [
            f"{prefix}.{n:x}.{issued_ms:x}.{self._mac(n, issued_ms, caller)}"
            for n in range(first, first + count)
        ]

    def _mac(self, counter: int, issued_ms: int, caller: str) -> str:
        text = f"{counter}.{issued_ms}.{caller}".encode()
        return hashlib.blake2b(
            text, digest_size=_MAC_SIZE_BYTES, key=self._secret
        ).hexdigest()

    def issued_here(self, key: RequestKey) -> bool:
        """Returns whether the key names this instance and incarnation."""
        return (key.instance_id, key.incarnation) == (
            self._instance_id,
            self._incarnation,
        )

    def was_issued_to(self, key: RequestKey, caller: str) -> bool:
        """Returns whether this incarnation issued the key to the caller."""
        expected = self._mac(key.counter, key.issued_ms, caller)
        return self.issued_here(key) and hmac.compare_digest(expected, key.mac)

    def is_expired(self, key: RequestKey, now_s: float) -> bool:
        """Returns whether the key is so old that its entry may be removed."""
        age_s = now_s - self._start_s - key.issued_ms / 1000
        return age_s > KEY_RETENTION_S

    def is_unused(self, key: RequestKey, now_s: float) -> bool:
        """Returns whether it is certain that no request ran with the key."""
        return (
            self.issued_here(key)
            and str(key) not in self._entries
            and not self.is_expired(key, now_s)
        )

    def find(self, key: str) -> KeyEntry | None:
        """Returns the entry of a key, or None if the key was not used."""
        return self._entries.get(key)

    def claim(
        self,
        key: str,
        caller: str,
        request_digest: bytes,
        caller_count: int,
        now_s: float,
    ) -> KeyEntry | None:
        """Adds an entry for a key whose request is about to run.

        Any caller may add entries until the table is half full. After that,
        only callers with fewer entries than an equal share of one half may, so
        that no caller can lock out the others.

        Args:
          key: A key without an entry.
          caller: Caller that uses the key.
          request_digest: Digest of the request.
          caller_count: Number of callers in the bundle in force.
          now_s: Current monotonic time.

        Returns:
          The entry, or None if the table or the caller's share is full.
        """
        self._remove_expired(now_s)
        half = self._keys_max // 2
        share = half // max(1, caller_count)
        size = len(self._entries)
        reached_share = size >= half and self._entry_counts[caller] >= share
        if reached_share or size >= self._keys_max:
            return None
        entry = self._entries[key] = KeyEntry(caller, request_digest, now_s)
        self._entry_counts[caller] += 1
        return entry

    def record_answer(
        self, key: str, answer: answers.Answer, result_size_bytes: int
    ) -> None:
        """Records the answer for a key.

        The key becomes unused again if its request did not run. If the results
        exceed their size limit, the oldest ones are evicted.
        """
        entry = self._entries[key]
        entry.answer = answer
        entry.done.set()
        if answer.outcome == answers.Outcome.NOT_RUN:
            self._remove(key)
            return
        self._result_sizes[key] = result_size_bytes
        self._results_size_bytes += result_size_bytes
        while self._results_size_bytes > self._results_size_max_bytes:
            oldest = next(iter(self._result_sizes))
            self._discard_result_size(oldest)
            evicted = self._entries[oldest]
            assert evicted.answer is not None
            evicted.answer = _without_result(evicted.answer)

    def _discard_result_size(self, key: str) -> None:
        self._results_size_bytes -= self._result_sizes.pop(key, 0)

    def _remove(self, key: str) -> None:
        entry = self._entries.pop(key)
        self._discard_result_size(key)
        self._entry_counts[entry.caller] -= 1
        if not self._entry_counts[entry.caller]:
            del self._entry_counts[entry.caller]

    def _remove_expired(self, now_s: float) -> None:
        # The retention time of an entry starts when its key is used, which is
        # after the key was issued. So the key of a removed entry has expired
        # and is not mistaken for an unused one.
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            running = entry.answer is None
            if running or now_s - entry.first_used_s <= KEY_RETENTION_S:
                return
            self._remove(key)


def _without_result(answer: answers.Answer) -> answers.Answer:
    return dataclasses.replace(
        answer,
        results=(),
        error=answers.ErrorBody(
            exceptions.ErrorKind.KEY,
            "the result of the request is no longer stored",
            "look up the result in the service",
        ),
    )
