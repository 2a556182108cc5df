"""Keeps long-lived tasks running after an unexpected error."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import structlog

_LOG = structlog.get_logger()

# Pause before a failed task is started again. It doubles with each failure, so
# that an error which repeats at once costs little processor time.
RESTART_FIRST_S = 0.1
RESTART_MAX_S = 5.0

# A task that has run for this long starts again with the shortest pause.
STABLE_RUN_S = 30.0


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Runs a task that should never end, and starts it again if it does.

    An unexpected error in one task, for example because of a malformed message,
    thus neither ends the process nor stops the task without a trace.

    Args:
      name: Name of the task in the log.
      run: Starts the task; called again after each end.
      sleep: Waits for a number of seconds.
    """
    loop = asyncio.get_running_loop()
    pause_s = RESTART_FIRST_S
    while True:
        start_s = loop.time()
        try:
            await run()
            error = "ended without an error"
        except Exception as failure:
            error = f"{type(failure).__name__}: {failure}"
            _LOG.error("task_traceback", task=name, exc_info=True)
        ran_s = loop.time() - start_s
        if ran_s >= STABLE_RUN_S:
            pause_s = RESTART_FIRST_S
        _LOG.error(
            "task_restarted",
            task=name,
            error=error,
            ran_ms=round(ran_s * 1000),
            pause_ms=round(pause_s * 1000),
        )
        await sleep(pause_s)
        pause_s = min(RESTART_MAX_S, 2.0 * pause_s)
