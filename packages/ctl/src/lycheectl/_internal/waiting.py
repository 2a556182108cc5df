"""Waits for a rollout and shows its progress."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

from returns import result

from lycheectl._internal import client as client_lib
from lycheectl._internal import output
from lycheerock_model import answers

POLL_PERIOD_S = 0.25


async def wait(
    client: client_lib.Client,
    number: int,
    timeout_s: float,
    progress: Callable[[str], None],
) -> output.Report:
    """Waits until a bundle is in force on every required instance.

    Args:
      client: The client.
      number: Number of the bundle.
      timeout_s: Longest time to wait, in seconds.
      progress: Gets a line each time the state changes.

    Returns:
      A failed report if the rollout was replaced or took too long.
    """
    last_line = ""
    deadline_s = time.monotonic() + timeout_s
    while True:
        reply = await client.call_any("GET", "/ops/rollout")
        line, error = _judge(reply, number)
        if line != last_line:
            progress(line)
            last_line = line
        if error is None:
            rollout = reply.unwrap()
            text = f"bundle {number} is in force on every required instance"
            return output.Report(rollout, (text,))
        if error.kind != "waiting" or time.monotonic() >= deadline_s:
            return output.failed("rollout", error)
        await asyncio.sleep(POLL_PERIOD_S)


def _judge(
    reply: client_lib.Reply, number: int
) -> tuple[str, answers.ErrorBody | None]:
    """Returns a line on the state, and why the wait goes on or has failed."""
    if isinstance(reply, result.Failure):
        error = reply.failure()
        if client_lib.has_no_reply(reply):
            return error.message, _waiting(error.message)
        return error.message, error
    rollout = reply.unwrap()
    line = progress_line(rollout, number)
    if rollout["in_force"] < number != rollout["staging"]:
        return line, answers.ErrorBody(
            "conflict",
            f"bundle {number} is not being rolled out any more",
            "read lycheectl status for the bundle that replaced it",
        )
    if _pending(rollout, number):
        return line, _waiting(line)
    return line, None


def _waiting(problem: str) -> answers.ErrorBody:
    return answers.ErrorBody(
        "waiting",
        problem,
        "the rollout goes on; bring back the instances that block it or remove "
        "them from the platform's list, then read lycheectl status",
    )


def _pending(rollout: Any, number: int) -> list[str]:
    """Returns the required instances that do not have the bundle in force."""
    return [
        i["instance_id"]
        for i in rollout["instances"]
        if i["required"] and i["in_force"] < number
    ]


def progress_line(rollout: Any, number: int) -> str:
    """Returns who has the bundle in force and who blocks it."""
    done = [
        i["instance_id"]
        for i in rollout["instances"]
        if i["in_force"] >= number
    ]
    pending = _pending(rollout, number)
    text = f"in force on: {', '.join(sorted(done)) or 'none'}"
    if rollout["blockers"]:
        return f"{text}; blocked by: {', '.join(sorted(rollout['blockers']))}"
    if pending:
        return f"{text}; waiting for: {', '.join(sorted(pending))}"
    return text
