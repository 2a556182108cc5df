"""Tests of the gateway as a process that gets signals."""

import asyncio
import pathlib
import signal
import time

from lycheerock_bench._internal.soak import deployment as deployment_lib


class TestSignalsDuringTheStart:
    """A process that is still starting survives a reload."""

    def test_reload_is_ignored_before_the_libraries_load(
        self, tmp_path: pathlib.Path
    ) -> None:
        # Guards against the default action of SIGHUP, which ends a process
        # that has not installed its handler yet. Found by seed 102 of the soak.
        async def test() -> None:
            deployment = deployment_lib.Deployment(tmp_path, 1, seed=1)
            try:
                await deployment.start()
                (gateway,) = deployment.gateways
                assert gateway.process is not None
                gateway.process.kill()
                gateway.process.wait()
                gateway.start()
                place = pathlib.Path("/proc") / str(gateway.process.pid)
                _wait_until_loaded(place, "msgspec")
                assert _spares_reload(place)
                for _ in range(10):
                    gateway.send(signal.SIGHUP)
                    await asyncio.sleep(0.02)
                await deployment.wait_ready()
            finally:
                await deployment.stop()

        asyncio.run(test())


def _wait_until_loaded(place: pathlib.Path, library: str) -> None:
    end_s = time.monotonic() + 10.0
    while library not in (place / "maps").read_text(encoding="utf-8"):
        assert time.monotonic() < end_s


def _spares_reload(place: pathlib.Path) -> bool:
    """Whether SIGHUP is ignored or handled."""
    lines = (place / "status").read_text(encoding="utf-8").splitlines()
    masks = [
        int(line.partition(":")[2], 16)
        for line in lines
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask & (1 << (signal.SIGHUP - 1)) for mask in masks)
