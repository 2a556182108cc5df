"""A log stream that never blocks the event loop."""

import collections
import io
import os

# Limit on the lines that are buffered while the descriptor is blocked: a few
# seconds of logs under load.
PENDING_SIZE_MAX_BYTES = 262_144


class NonBlockingStream(io.TextIOBase):
    """Writes lines to a descriptor without blocking.

    Lines are buffered while the descriptor is blocked, and dropped while the
    buffer is full.

    Attributes:
      dropped_count: Number of lines dropped since the start.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = collections.deque[bytes]()
        self._pending_size_bytes = 0
        self._unreported_count = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffers text until `flush`, or drops it if the buffer is full."""
        data = text.encode("utf-8", "replace")
        if self._pending_size_bytes + len(data) > PENDING_SIZE_MAX_BYTES:
            self.dropped_count += 1
            self._unreported_count += 1
            return len(text)
        self._pending.append(data)
        self._pending_size_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Writes as much as the descriptor accepts without blocking."""
        while self._pending:
            data = self._pending[0]
            try:
                written_size_bytes = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The log can no longer be written, so the lost lines are
                # reported only by the counter.
                self.dropped_count += len(self._pending)
                self._pending.clear()
                self._pending_size_bytes = 0
                return
            self._pending_size_bytes -= written_size_bytes
            if written_size_bytes < len(data):
                self._pending[0] = data[written_size_bytes:]
                return
            self._pending.popleft()
        self._report_dropped()

    def _report_dropped(self) -> None:
        if self._unreported_count:
            count, self._unreported_count = self._unreported_count, 0
            self.write(f'{{"event": "log_lines_dropped", "count": {count}}}\n')
