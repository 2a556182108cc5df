"""Runs commands and maps their results to exit codes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import sys

from lycheectl._internal import client as client_lib
from lycheectl._internal import config as config_lib
from lycheectl._internal import output
from lycheerock_model import exceptions

Action = Callable[[client_lib.Client], Awaitable[output.Report]]


def run(action: Action, *, as_json: bool) -> int:
    """Runs an action that calls the instances.

    Args:
      action: Called with a client for the instances; returns the report.
      as_json: Whether to print JSON.

    Returns:
      The exit code; EXIT_USAGE_ERROR if the configuration is invalid.
    """
    try:
        config = config_lib.load(os.environ)
    except exceptions.DocumentError as error:
        return _print_faults(error, output.EXIT_USAGE_ERROR)
    return run_offline(
        lambda: asyncio.run(_run_with_client(config, action)), as_json=as_json
    )


def run_offline(action: Callable[[], output.Report], *, as_json: bool) -> int:
    """Runs an action that calls no instance.

    Args:
      action: Returns the report.
      as_json: Whether to print JSON.

    Returns:
      The exit code; EXIT_USAGE_ERROR if a file cannot be read.
    """
    try:
        return output.show(action(), as_json=as_json)
    except exceptions.DocumentError as error:
        return _print_faults(error, output.EXIT_FAILURE)
    except BrokenPipeError:
        # The reader of standard output, such as head, has closed the pipe.
        # Redirecting the descriptor prevents a second error when the
        # interpreter flushes standard output at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return output.EXIT_FAILURE
    except OSError as error:
        print(f"{error}; specify a readable file", file=sys.stderr)
        return output.EXIT_USAGE_ERROR


async def _run_with_client(
    config: config_lib.Config, action: Action
) -> output.Report:
    async with client_lib.Client(config) as client:
        return await action(client)


def _print_faults(error: exceptions.DocumentError, exit_code: int) -> int:
    for line in output.fault_lines(error.faults):
        print(line, file=sys.stderr)
    return exit_code


def print_progress(line: str) -> None:
    """Prints a progress line to standard error."""
    print(line, file=sys.stderr, flush=True)
