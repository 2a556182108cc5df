"""The record of a case: what was sent, answered and run."""

import json
import pathlib
import time
from typing import Any


class Record:
    """Writes one line of JSON for each event, with the time in seconds."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def add(self, event: str, **fields: Any) -> None:
        """Writes an event that happens now."""
        at_s = round(time.monotonic() - self._start_s, 3)
        line = {"at_s": at_s, "event": event} | fields
        self._file.write(json.dumps(line) + "\n")

    def since_start(self, monotonic_s: float) -> float:
        """Returns a monotonic time as a time of the record."""
        return round(monotonic_s - self._start_s, 3)

    def close(self) -> None:
        """Writes what is buffered."""
        self._file.close()
