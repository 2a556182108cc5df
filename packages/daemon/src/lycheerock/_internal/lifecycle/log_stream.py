"""A log stream that never blocks the event loop."""

import collections
import io
import os

# Lines kept while nobody reads the pipe: some seconds of logs under load.
PENDING_SIZE_MAX_BYTES = 262_144


class NonBlockingStream(io.TextIOBase):
    """Writes lines to a descriptor and drops them while it is blocked.

    Attributes:
      dropped_count: Lines that were dropped since the start.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = collections.deque[bytes]()
        self._pending_size_bytes = 0
        self._unreported_count = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Keeps text for `flush`, or drops it if too much is kept."""
        data = text.encode("utf-8", "replace")
        if self._pending_size_bytes + len(data) > PENDING_SIZE_MAX_BYTES:
            self.dropped_count += 1
            self._unreported_count += 1
            return len(text)
        self._pending.append(data)
        self._pending_size_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Writes what the descriptor takes without blocking."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read the log any more, so there is no place to
                # report it but the counter.
                self.dropped_count += len(self._pending)
                self._pending.clear()
                self._pending_size_bytes = 0
                return
            self._pending_size_bytes -= written
            if written < len(data):
                self._pending[0] = data[written:]
                return
            self._pending.popleft()
        self._report_dropped()

    def _report_dropped(self) -> None:
        if self._unreported_count:
            count, self._unreported_count = self._unreported_count, 0
            self.write(f'{{"event": "log_lines_dropped", "count": {count}}}\n')
