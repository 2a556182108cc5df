"""Command layer of the daemon."""

import pathlib
import sys

import aiomisc
import defopt

from lycheerock._internal.lifecycle import daemon as daemon_lib
from lycheerock._internal.lifecycle import logs
from lycheerock_model import exceptions
from lycheerock_model import settings as settings_lib


def run(settings: pathlib.Path, *, check: bool = False) -> int:
    """Runs one instance of the query tier.

    Args:
      settings: Settings file, JSON.
      check: Only check the settings file and report every fault.

    Returns:
      Exit code.
    """
    try:
        loaded = settings_lib.load(settings.read_bytes())
    except (OSError, exceptions.DocumentError) as error:
        _print_faults(error)
        return 2
    if check:
        print(f"{settings}: no faults")
        return 0
    logs.configure(
        loaded.log_level,
        loaded.instance_id,
        loaded.zone,
        [loaded.operator_token.get_secret_value()],
    )
    with aiomisc.entrypoint(log_config=False, pool_size=2) as loop:
        return loop.run_until_complete(_run(loaded))


async def _run(settings: settings_lib.Settings) -> int:
    return await daemon_lib.Daemon(settings).run()


def _print_faults(error: OSError | exceptions.DocumentError) -> None:
    if isinstance(error, exceptions.DocumentError):
        for fault in error.faults:
            print(
                f"{fault.path}: {fault.problem}; {fault.remedy}",
                file=sys.stderr,
            )
    else:
        print(f"{error}; name a readable settings file", file=sys.stderr)


def main() -> None:
    """Entry point of the `lycheerock` binary."""
    sys.exit(defopt.run(run, cli_options="has_default", short={}))


if __name__ == "__main__":
    main()
