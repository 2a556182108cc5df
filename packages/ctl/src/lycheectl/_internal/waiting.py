"""Waits for a rollout to finish and reports its progress."""

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
    on_progress: Callable[[str], None],
) -> output.Report:
    """Waits until a bundle is in force on every required instance.

    Args:
      client: Client for the instances.
      number: Number of the bundle.
      timeout_s: Maximum time to wait, in seconds.
      on_progress: Called with a status line each time the line changes.

    Returns:
      The report, which is a failure if the rollout was replaced or the wait
      timed out.
    """
    last_line = ""
    deadline_s = time.monotonic() + timeout_s
    while True:
        reply = await client.call_any("GET", "/ops/rollout")
        line, error = _evaluate(reply, number)
        if line != last_line:
            on_progress(line)
            last_line = line
        if error is None:
            rollout = reply.unwrap()
            text = f"bundle {number} is in force on every required instance"
            return output.Report(rollout, (text,))
        if error.kind != "waiting" or time.monotonic() >= deadline_s:
            return output.failed("rollout", error)
        await asyncio.sleep(POLL_PERIOD_S)


def _evaluate(
    reply: client_lib.Reply, number: int
) -> tuple[str, answers.ErrorBody | None]:
    """Returns a status line, and an error unless the rollout is complete.

    An error of kind "waiting" means that the rollout is still in progress or
    that the call received no reply.
    """
    if isinstance(reply, result.Failure):
        error = reply.failure()
        if client_lib.has_no_reply(reply):
            return error.message, _waiting_error(error.message)
        return error.message, error
    rollout = reply.unwrap()
    line = progress_line(rollout, number)
    if rollout["in_force"] < number != rollout["staging"]:
        return line, answers.ErrorBody(
            "conflict",
            f"bundle {number} is no longer being rolled out",
            "run lycheectl status to see which bundle replaced it",
        )
    if _pending_ids(rollout, number):
        return line, _waiting_error(line)
    return line, None


def _waiting_error(problem: str) -> answers.ErrorBody:
    return answers.ErrorBody(
        "waiting",
        problem,
        "the rollout continues; restart the instances that block it or remove "
        "them from the platform's list, then run lycheectl status",
    )


def _pending_ids(rollout: Any, number: int) -> list[str]:
    """Returns the required instances that do not have the bundle in force."""
    return [
        i["instance_id"]
        for i in rollout["instances"]
        if i["required"] and i["in_force"] < number
    ]


def progress_line(rollout: Any, number: int) -> str:
    """Formats which instances have the bundle in force and which do not."""
    done = [
        i["instance_id"]
        for i in rollout["instances"]
        if i["in_force"] >= number
    ]
    pending = _pending_ids(rollout, number)
    text = f"in force on: {', '.join(sorted(done)) or 'none'}"
    if rollout["blockers"]:
        return f"{text}; blocked by: {', '.join(sorted(rollout['blockers']))}"
    if pending:
        return f"{text}; waiting for: {', '.join(sorted(pending))}"
    return text
