"""Command layer of the daemon."""

import importlib
import os
import pathlib
import sys

import aiomisc

from lycheerock._internal.lifecycle import logs
from lycheerock_model import documents
from lycheerock_model import exceptions
from lycheerock_model import gateway_settings
from lycheerock_model import settings as settings_lib

SETTINGS_VARIABLE = "LYCHEEROCK_CONFIG"


def run(settings: pathlib.Path | None = None, *, check: bool = False) -> int:
    """Runs one instance of the query tier.

    Args:
      settings: Settings file, JSON; by default the file that the environment
        variable LYCHEEROCK_CONFIG names.
      check: Only check the settings file and report every fault.

    Returns:
      Exit code.
    """
    path = settings or pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        document = documents.parse_json("settings", path.read_bytes())
        loaded = _load(document)
    except (OSError, exceptions.DocumentError) as error:
        _print_faults(error)
        return 2
    if check:
        print(f"{path}: no faults")
        return 0
    if isinstance(loaded, gateway_settings.GatewaySettings):
        return _run_gateway(loaded, path)
    return _run_callers(loaded)


def _load(
    document: object,
) -> settings_lib.Settings | gateway_settings.GatewaySettings:
    if gateway_settings.is_gateway(document):
        return gateway_settings.check(document)
    loaded, faults = settings_lib.check(document)
    if loaded is None:
        raise exceptions.DocumentError("settings", faults)
    return loaded


def _run_gateway(
    settings: gateway_settings.GatewaySettings, path: pathlib.Path
) -> int:
    # Each interface loads only its own libraries: gRPC, which the gateway does
    # not use, takes as much memory as the rest of the process.
    command = importlib.import_module("lycheerock._internal.gateway.command")
    return int(command.run(settings, path))


def _run_callers(loaded: settings_lib.Settings) -> int:
    daemon_lib = importlib.import_module(
        "lycheerock._internal.lifecycle.daemon"
    )
    logs.configure(
        loaded.log_level,
        loaded.instance_id,
        loaded.zone,
        [loaded.operator_token.get_secret_value()],
    )
    with aiomisc.entrypoint(log_config=False, pool_size=2) as loop:
        return int(loop.run_until_complete(daemon_lib.run(loaded)))


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
    if len(sys.argv) == 1 and SETTINGS_VARIABLE in os.environ:
        # An instance that restarts after a failure serves a tenth of a second
        # earlier without the library for the command line.
        sys.exit(run())
    defopt = importlib.import_module("defopt")
    sys.exit(defopt.run(run, cli_options="kwonly", short={}))


if __name__ == "__main__":
    main()
