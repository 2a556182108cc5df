"""Starts a gateway process with as little delay as possible."""

import gc
import importlib
import pathlib

from lycheerock._internal.gateway import early_listener
from lycheerock_model import gateway_settings


def run(settings: gateway_settings.GatewaySettings, path: pathlib.Path) -> int:
    """Imports the gateway and runs it until it is stopped.

    Args:
      settings: Validated settings.
      path: Settings file, which is read again on SIGHUP.

    Returns:
      Exit code.
    """
    # Nothing that the imports create is garbage, and the collector would scan
    # it several times.
    gc.disable()
    seeds = set(settings.seed_addresses) - {settings.feed_address}
    probe = early_listener.SeedProbe(sorted(seeds))
    # This import takes longer than the seeds take to reply.
    importlib.import_module("asyncio")
    serving_count = probe.count_serving()
    listener = None
    if early_listener.should_listen_early(serving_count):
        listener = early_listener.open_listener(settings.caller_address)
    command = importlib.import_module("lycheerock._internal.gateway.command")
    gc.freeze()
    gc.enable()
    return int(command.run(settings, path, listener))
