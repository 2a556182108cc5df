"""Hooks of behave: one event loop, and one deployment per scenario."""

import asyncio
import pathlib
import shutil
import tempfile
from typing import Any


def before_all(context: Any) -> None:
    """Opens the event loop."""
    context.loop = asyncio.new_event_loop()


def before_scenario(context: Any, scenario: Any) -> None:
    """Makes a directory for the scenario's files and logs."""
    context.directory = pathlib.Path(tempfile.mkdtemp(prefix="lycheerock-"))
    context.deployment = None
    context.recorder = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Ends the scenario's processes; keeps the files if it failed."""
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
