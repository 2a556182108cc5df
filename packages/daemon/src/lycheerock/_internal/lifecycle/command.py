"""Sets up logging and the event loop and runs an instance."""

import aiomisc

from lycheerock._internal.lifecycle import daemon as daemon_lib
from lycheerock._internal.lifecycle import logs
from lycheerock_model import settings as settings_lib


def run(settings: settings_lib.Settings) -> int:
    """Runs an instance until it is shut down.

    Args:
      settings: Validated settings.

    Returns:
      Exit code.
    """
    logs.configure(
        settings.log_level,
        settings.instance_id,
        settings.zone,
        [settings.operator_token.get_secret_value()],
    )
    with aiomisc.entrypoint(log_config=False, pool_size=2) as loop:
        return int(loop.run_until_complete(daemon_lib.run(settings)))
