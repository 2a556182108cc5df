"""Runs a gateway process from its settings."""

import asyncio
import pathlib
import socket
import sys
from typing import cast
from typing import TextIO

import uvloop

from lycheerock._internal.gateway import daemon as daemon_lib
from lycheerock._internal.lifecycle import log_stream
from lycheerock._internal.lifecycle import logs
from lycheerock_model import gateway_settings


def run(
    settings: gateway_settings.GatewaySettings,
    path: pathlib.Path,
    listener: socket.socket | None,
) -> int:
    """Runs an instance until it is stopped.

    aiomisc is not used here: its import takes a fifth of the time until a
    restarted instance serves (docs/decisions/style-and-brief.md).

    Args:
      settings: Validated settings.
      path: Settings file, which is read again on SIGHUP.
      listener: Listening socket for callers, or None if it is not open yet.

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
        daemon = daemon_lib.GatewayDaemon(
            settings, path, stream, listener=listener
        )
        return await daemon.run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve())
