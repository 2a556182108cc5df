"""Freezes processes for tests."""

import pathlib
import signal
import subprocess
import time

# Ample: a stop reaches all threads of a process within some 20 ms.
STOP_TIMEOUT_S = 2.0
_POLL_S = 0.001


def freeze(process: subprocess.Popen[bytes]) -> None:
    """Stops a process and waits until none of its threads runs any more.

    A thread goes on for some milliseconds after the signal was sent, which is
    enough to serve a request.

    Args:
      process: The process, which runs.

    Raises:
      TimeoutError: It has not stopped in time.
    """
    process.send_signal(signal.SIGSTOP)
    end_s = time.monotonic() + STOP_TIMEOUT_S
    while not is_frozen(process.pid):
        if time.monotonic() > end_s:
            raise TimeoutError(f"process {process.pid} did not stop")
        time.sleep(_POLL_S)


def is_frozen(process_id: int) -> bool:
    """Whether all threads of a process are stopped."""
    tasks = pathlib.Path("/proc", str(process_id), "task").iterdir()
    return all(_state(task) == "T" for task in tasks)


def _state(task: pathlib.Path) -> str:
    # The name before the state may contain spaces.
    stat = (task / "stat").read_text(encoding="utf-8")
    return stat.rpartition(")")[2].split()[0]
