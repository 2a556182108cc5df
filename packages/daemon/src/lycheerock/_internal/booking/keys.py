"""Request keys and the outcomes of their requests.

A key names the incarnation that issued it. Only that process may run the
request, so that no agreement with other instances or the platform is needed.
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

# Results that are kept for callers that send a request again.
RESULTS_SIZE_MAX_BYTES = 16 * 1024 * 1024

_KEY_FORM = re.compile(
    r"([a-z0-9][a-z0-9-]{0,62})\.([0-9a-f]{1,16})\.([0-9a-f]{1,16})"
    r"\.([0-9a-f]{1,16})\.([0-9a-f]{16})"
)
_SEAL_SIZE_BYTES = 8


@dataclasses.dataclass(frozen=True)
class RequestKey:
    """A parsed request key.

    Attributes:
      instance_id: Instance that issued the key.
      incarnation: Incarnation that issued the key.
      counter: Unique within the incarnation.
      issued_ms: Time of issue, from the start of the incarnation.
      seal: Binds the other fields to the caller that got the key.
    """

    instance_id: str
    incarnation: int
    counter: int
    issued_ms: int
    seal: str

    def __str__(self) -> str:
        return (
            f"{self.instance_id}.{self.incarnation:x}.{self.counter:x}"
            f".{self.issued_ms:x}.{self.seal}"
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
    match = _KEY_FORM.fullmatch(text)
    if match is None:
        raise exceptions.RequestKeyError(
            "the request key is malformed",
            "get keys from POST /v1/keys and send them unchanged",
        )
    instance_id, incarnation, counter, issued, seal = match.groups()
    return RequestKey(
        instance_id,
        int(incarnation, 16),
        int(counter, 16),
        int(issued, 16),
        seal,
    )


class Entry:
    """A key whose request was started.

    Attributes:
      caller: Caller that used the key.
      content: Digest of the request, to tell it from another with the same key.
      used_s: Monotonic time of the first use.
      done: Set once there is an answer.
      answer: Answer of the request.
    """

    __slots__ = ("answer", "caller", "content", "done", "used_s")

    def __init__(self, caller: str, content: bytes, used_s: float):
        self.caller = caller
        self.content = content
        self.used_s = used_s
        self.done = asyncio.Event()
        self.answer: answers.Answer | None = None


class KeyTable:
    """Keys of this incarnation that were used, with their outcomes.

    Issuing a key keeps nothing. The memory of used keys is bounded by their
    number and by the size of the results.
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
        self._entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self._used_by: collections.Counter[str] = collections.Counter()
        self._result_sizes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._results_size_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def raise_incarnation(self, incarnation: int) -> None:
        """Takes a higher incarnation unless keys were issued before.

        Keys that were issued name the incarnation of this table, which no
        other process can have, so that they stay valid.
        """
        if self._counter == 0 and incarnation > self._incarnation:
            self._incarnation = incarnation

    def issue(self, count: int, caller: str, now_s: float) -> list[str]:
        """Issues new keys.

        Args:
          count: Number of keys, at most KEYS_PER_REQUEST_MAX.
          caller: Caller that may use them.
          now_s: Monotonic time.

        Returns:
          The keys.
        """
        issued_ms = int((now_s - self._start_s) * 1000)
        first = self._counter + 1
        self._counter += count
        prefix = f"{self._instance_id}.{self._incarnation:x}"
        return [
            f"{prefix}.{n:x}.{issued_ms:x}.{self._seal(n, issued_ms, caller)}"
            for n in range(first, first + count)
        ]

    def _seal(self, counter: int, issued_ms: int, caller: str) -> str:
        text = f"{counter}.{issued_ms}.{caller}".encode()
        return hashlib.blake2b(
            text, digest_size=_SEAL_SIZE_BYTES, key=self._secret
        ).hexdigest()

    def issued_here(self, key: RequestKey) -> bool:
        """Tells whether the key names this incarnation."""
        return (key.instance_id, key.incarnation) == (
            self._instance_id,
            self._incarnation,
        )

    def belongs_to(self, key: RequestKey, caller: str) -> bool:
        """Tells whether this incarnation issued the key to the caller."""
        expected = self._seal(key.counter, key.issued_ms, caller)
        return self.issued_here(key) and hmac.compare_digest(expected, key.seal)

    def is_expired(self, key: RequestKey, now_s: float) -> bool:
        """Tells whether the outcome of the key may have been forgotten."""
        age_s = now_s - self._start_s - key.issued_ms / 1000
        return age_s > KEY_RETENTION_S

    def is_unused(self, key: RequestKey, now_s: float) -> bool:
        """Tells whether it is proven that no request ran with the key."""
        return (
            self.issued_here(key)
            and str(key) not in self._entries
            and not self.is_expired(key, now_s)
        )

    def find(self, key: str) -> Entry | None:
        """Returns the entry of a key that was used, or None."""
        return self._entries.get(key)

    def claim(
        self,
        key: str,
        caller: str,
        content: bytes,
        caller_count: int,
        now_s: float,
    ) -> Entry | None:
        """Records that the request of a key is about to run.

        Half of the table is open to every caller; the other half is divided
        into equal shares, so that no caller can use up the keys of another.

        Args:
          key: A key without an entry.
          caller: Caller that uses it.
          content: Digest of the request.
          caller_count: Number of callers in the bundle in force.
          now_s: Monotonic time.

        Returns:
          The entry, or None when the table has no room for the caller.
        """
        self._drop_expired(now_s)
        half = self._keys_max // 2
        share = half // max(1, caller_count)
        size = len(self._entries)
        over_share = size >= half and self._used_by[caller] >= share
        if over_share or size >= self._keys_max:
            return None
        entry = self._entries[key] = Entry(caller, content, now_s)
        self._used_by[caller] += 1
        return entry

    def settle(
        self, key: str, answer: answers.Answer, result_size_bytes: int
    ) -> None:
        """Records the answer of a key and forgets a key that did not run."""
        entry = self._entries[key]
        entry.answer = answer
        entry.done.set()
        if answer.outcome == answers.Outcome.NOT_RUN:
            self._drop(key)
            return
        self._result_sizes[key] = result_size_bytes
        self._results_size_bytes += result_size_bytes
        while self._results_size_bytes > self._results_size_max_bytes:
            oldest = next(iter(self._result_sizes))
            self._forget_result(oldest)
            kept = self._entries[oldest]
            assert kept.answer is not None
            kept.answer = _without_result(kept.answer)

    def _forget_result(self, key: str) -> None:
        self._results_size_bytes -= self._result_sizes.pop(key, 0)

    def _drop(self, key: str) -> None:
        entry = self._entries.pop(key)
        self._forget_result(key)
        self._used_by[entry.caller] -= 1
        if not self._used_by[entry.caller]:
            del self._used_by[entry.caller]

    def _drop_expired(self, now_s: float) -> None:
        # An entry lives for the retention time from its use, which is later
        # than its issue, so that an expired key never looks unused.
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            running = entry.answer is None
            if running or now_s - entry.used_s <= KEY_RETENTION_S:
                return
            self._drop(key)


def _without_result(answer: answers.Answer) -> answers.Answer:
    return dataclasses.replace(
        answer,
        results=(),
        error=answers.ErrorBody(
            exceptions.ErrorKind.KEY,
            "the request ran once, but its result is no longer kept",
            "look the result up at the service",
        ),
    )
