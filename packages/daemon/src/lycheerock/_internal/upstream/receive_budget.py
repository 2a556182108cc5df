"""Limits the memory that unfinished responses of targets use together."""

from collections.abc import Callable
from collections.abc import Hashable

# Memory for the bodies of all unfinished responses of a process. An instance
# has 300 MB or more, of which the program itself uses about 70 MB.
LIMIT_BYTES = 48 * 1_048_576


class ReceiveBudget:
    """Counts the bytes of unfinished responses and gives up the longest one.

    Attributes:
      used_bytes: Bytes that the recorded responses hold now.
    """

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._held: dict[Hashable, tuple[int, Callable[[str], None]]] = {}
        self.used_bytes = 0

    def record(
        self, owner: Hashable, size_bytes: int, give_up: Callable[[str], None]
    ) -> None:
        """Records the size of an unfinished response.

        Args:
          owner: Connection that reads the response.
          size_bytes: Bytes received so far.
          give_up: Ends the response; called at once, with the reason, while the
            limit is exceeded and this response is the longest one.
        """
        previous_bytes, _ = self._held.get(owner, (0, give_up))
        self._held[owner] = (size_bytes, give_up)
        self.used_bytes += size_bytes - previous_bytes
        while self.used_bytes > self._limit_bytes:
            longest = max(self._held, key=lambda key: self._held[key][0])
            end_longest = self._held[longest][1]
            self.release(longest)
            end_longest("responses of all targets exceed the memory limit")

    def release(self, owner: Hashable) -> None:
        """Drops the record of a response that has ended."""
        size_bytes, _ = self._held.pop(owner, (0, None))
        self.used_bytes -= size_bytes
