"""Tests of the suspension of processes."""

import signal
import subprocess
import sys

from lycheerock_bench import freezing

_BUSY_PROGRAM = """
import threading

def work():
    while True:
        sum(range(2000))

for _ in range(6):
    threading.Thread(target=work).start()
print("ready", flush=True)
"""


class TestFreeze:
    """`freeze` returns when the process is suspended."""

    def test_all_threads_are_stopped(self) -> None:
        # Guards against a frozen instance that still serves a booking, since a
        # thread can keep running for some milliseconds after SIGSTOP.
        with subprocess.Popen(
            [sys.executable, "-c", _BUSY_PROGRAM], stdout=subprocess.PIPE
        ) as process:
            try:
                assert process.stdout is not None
                process.stdout.readline()
                for _ in range(30):
                    freezing.freeze(process)
                    assert freezing.is_frozen(process.pid)
                    process.send_signal(signal.SIGCONT)
            finally:
                process.kill()
