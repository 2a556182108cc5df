"""Tests of the signal handling of the gateway process."""

import asyncio
import pathlib
import signal
import time

from lycheerock_bench._internal.soak import deployment as deployment_lib


class TestSignalsDuringStartup:
    """A starting process survives a reload signal."""

    def test_sighup_does_not_end_a_starting_process(
        self, tmp_path: pathlib.Path
    ) -> None:
        # Guards against a process that is terminated by a SIGHUP during its
        # start. This is the default action of the signal until the process has
        # installed its handler. It happened in the soak test.
        async def test() -> None:
            deployment = deployment_lib.Deployment(tmp_path, 1, seed=1)
            try:
                await deployment.start()
                (gateway,) = deployment.gateways
                assert gateway.process is not None
                gateway.process.kill()
                gateway.process.wait()
                gateway.start()
                proc_dir = pathlib.Path("/proc") / str(gateway.process.pid)
                _wait_until_loaded(proc_dir, "msgspec")
                assert _survives_sighup(proc_dir)
                for _ in range(10):
                    gateway.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.02)
                await deployment.wait_ready()
            finally:
                await deployment.stop()

        asyncio.run(test())


def _wait_until_loaded(proc_dir: pathlib.Path, library: str) -> None:
    end_s = time.monotonic() + 10.0
    while library not in (proc_dir / "maps").read_text(encoding="utf-8"):
        assert time.monotonic() < end_s


def _survives_sighup(proc_dir: pathlib.Path) -> bool:
    """Returns whether SIGHUP is ignored or handled."""
    lines = (proc_dir / "status").read_text(encoding="utf-8").splitlines()
    masks = [
        int(line.partition(":")[2], 16)
        for line in lines
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask & (1 << (signal.SIGHUP - 1)) for mask in masks)
