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
      action: The action.
      as_json: Whether to print JSON.

    Returns:
      The exit code.
    """
    try:
        config = config_lib.load(os.environ)
    except exceptions.DocumentError as error:
        return _print_faults(error, output.USAGE)
    return run_offline(
        lambda: asyncio.run(_act(config, action)), as_json=as_json
    )


def run_offline(action: Callable[[], output.Report], *, as_json: bool) -> int:
    """Runs an action that calls no instance.

    Args:
      action: The action.
      as_json: Whether to print JSON.

    Returns:
      The exit code.
    """
    try:
        return output.show(action(), as_json=as_json)
    except exceptions.DocumentError as error:
        return _print_faults(error, output.FAILED)
    except BrokenPipeError:
        # The reader of the pipe, such as head, closed it. Redirecting stdout
        # keeps the interpreter from failing when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return output.FAILED
    except OSError as error:
        print(f"{error}; name a readable file", file=sys.stderr)
        return output.USAGE


async def _act(config: config_lib.Config, action: Action) -> output.Report:
    async with client_lib.Client(config) as client:
        return await action(client)


def _print_faults(error: exceptions.DocumentError, exit_code: int) -> int:
    for line in output.fault_lines(error.faults):
        print(line, file=sys.stderr)
    return exit_code


def progress(line: str) -> None:
    """Prints a progress line to standard error."""
    print(line, file=sys.stderr, flush=True)
