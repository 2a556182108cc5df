"""Tests of how tests freeze processes."""

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
    """A frozen process runs nothing."""

    def test_no_thread_runs_after_it(self) -> None:
        # Guards against a booking that the issuer of its key still serves
        # though the test has frozen it.
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
