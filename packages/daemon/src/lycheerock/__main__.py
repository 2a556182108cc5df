"""Command-line interface of the daemon."""

# The default action of SIGHUP would end a process that is asked to reload
# before its handler is installed. Ignore the signal before the imports, which
# take most of the startup time. No reload is lost, since the settings are read
# afterwards.
import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402
from collections.abc import Callable
import importlib
import os
import pathlib
import sys
from typing import Any

from lycheerock_model import exceptions
from lycheerock_model import gateway_settings
from lycheerock_model import json_text

SETTINGS_VARIABLE = "LYCHEEROCK_CONFIG"


def run(settings: pathlib.Path | None = None, *, check: bool = False) -> int:
    """Runs one instance of the query tier.

    Args:
      settings: Path of the JSON settings file. Defaults to the value of the
        environment variable LYCHEEROCK_CONFIG.
      check: Only check the settings file and report all faults.

    Returns:
      Exit code.
    """
    path = settings or pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        start = _prepare(path)
    except (OSError, exceptions.DocumentError) as error:
        _print_faults(error)
        return 2
    if check:
        print(f"{path}: no faults")
        return 0
    return start()


def _prepare(path: pathlib.Path) -> Callable[[], int]:
    """Checks the settings and returns a function that runs the instance.

    Each kind of instance imports only the libraries it needs. The gateway does
    not use gRPC, which takes as much memory as the rest of the process, nor
    pydantic, which would make its startup a quarter longer.
    """
    document = json_text.parse_json("settings", path.read_bytes())
    if gateway_settings.is_gateway(document):
        loaded = gateway_settings.check(document)
        return lambda: _import_internal("gateway.launch").run(loaded, path)
    settings_lib = importlib.import_module("lycheerock_model.settings")
    settings, faults = settings_lib.check(document)
    if settings is None:
        raise exceptions.DocumentError("settings", faults)
    return lambda: _import_internal("lifecycle.command").run(settings)


def _import_internal(name: str) -> Any:
    return importlib.import_module(f"lycheerock._internal.{name}")


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
        # Without importing the command-line library, an instance that restarts
        # after a failure serves requests a tenth of a second earlier.
        sys.exit(run())
    defopt = importlib.import_module("defopt")
    sys.exit(defopt.run(run, cli_options="kwonly", short={}))


if __name__ == "__main__":
    main()
