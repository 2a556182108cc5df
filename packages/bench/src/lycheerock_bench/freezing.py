"""Suspends processes for tests."""

import pathlib
import signal
import subprocess
import time

# SIGSTOP takes up to about 20 ms to stop all threads of a process.
STOP_TIMEOUT_S = 2.0
_POLL_PERIOD_S = 0.001


def freeze(process: subprocess.Popen[bytes]) -> None:
    """Suspends a process and waits until all its threads are stopped.

    A thread can run for some milliseconds after the signal was sent, long
    enough to serve a request.

    Args:
      process: A running process.

    Raises:
      TimeoutError: The process did not stop in time.
    """
    process.send_signal(signal.SIGSTOP)
    deadline_s = time.monotonic() + STOP_TIMEOUT_S
    while not is_frozen(process.pid):
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"process {process.pid} did not stop in time")
        time.sleep(_POLL_PERIOD_S)


def is_frozen(process_id: int) -> bool:
    """Returns whether all threads of a process are stopped."""
    tasks = pathlib.Path("/proc", str(process_id), "task").iterdir()
    return all(_state(task) == "T" for task in tasks)


def _state(task: pathlib.Path) -> str:
    # The state follows the process name, which is in parentheses and may
    # contain spaces.
    stat = (task / "stat").read_text(encoding="utf-8")
    return stat.rpartition(")")[2].split()[0]
