"""Runs a gateway process from its settings."""

import pathlib
import sys
from typing import cast
from typing import TextIO

import aiomisc

from lycheerock._internal.gateway import daemon as daemon_lib
from lycheerock._internal.lifecycle import log_stream
from lycheerock._internal.lifecycle import logs
from lycheerock_model import gateway_settings


def run(settings: gateway_settings.GatewaySettings, path: pathlib.Path) -> int:
    """Runs an instance until it is stopped.

    Args:
      settings: Validated settings.
      path: Settings file, which is read again on SIGHUP.

    Returns:
      Exit code.
    """
    stream = log_stream.NonBlockingStream(sys.stdout.fileno())
    logs.configure(
        settings.log_level,
        settings.instance_id,
        settings.zone,
        stream=cast(TextIO, stream),
    )

    async def serve() -> int:
        return await daemon_lib.GatewayDaemon(settings, path, stream).run()

    with aiomisc.entrypoint(log_config=False, pool_size=1) as loop:
        return loop.run_until_complete(serve())
