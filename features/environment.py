"""behave hooks that manage the event loop and each scenario's deployment."""

import asyncio
import pathlib
import shutil
import tempfile
from typing import Any


def before_all(context: Any) -> None:
    """Creates the event loop that all scenarios share."""
    context.loop = asyncio.new_event_loop()


def before_scenario(context: Any, scenario: Any) -> None:
    """Creates a directory for the scenario's files and logs."""
    context.directory = pathlib.Path(tempfile.mkdtemp(prefix="lycheerock-"))
    context.deployment = None
    context.recorder = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Stops the scenario's processes and removes the files if it passed."""
    if context.recorder is not None:
        context.loop.run_until_complete(context.recorder.stop())
    if context.deployment is not None:
        context.loop.run_until_complete(context.deployment.stop())
    if scenario.status.has_failed():
        print(f"logs of the failed scenario: {context.directory}")
    else:
        shutil.rmtree(context.directory, ignore_errors=True)


def after_all(context: Any) -> None:
    """Closes the event loop."""
    context.loop.close()
