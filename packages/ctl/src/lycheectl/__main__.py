"""Command-line interface of lycheectl."""

import pathlib
import sys
from typing import Literal

import defopt

from lycheectl._internal import actions
from lycheectl._internal import bundles
from lycheectl._internal import client as client_lib
from lycheectl._internal import fleet
from lycheectl._internal import output
from lycheectl._internal import runner
from lycheectl._internal import statistics
from lycheectl._internal import waiting

LogLevel = Literal["debug", "info", "warning", "error"]


def check(bundle: pathlib.Path, *, json: bool = False) -> int:
    """Checks a bundle file without calling any instance and lists its faults.

    Args:
      bundle: Path of the bundle file (JSON).
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run_offline(lambda: bundles.check(bundle), as_json=json)


def diff(bundle: pathlib.Path, *, json: bool = False) -> int:
    """Shows how a bundle file differs from the bundle in force.

    Args:
      bundle: Path of the bundle file (JSON).
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(lambda c: bundles.diff(c, bundle), as_json=json)


def propose(bundle: pathlib.Path, *, json: bool = False) -> int:
    """Proposes a bundle under the next number.

    Args:
      bundle: Path of the bundle file (JSON). The configured operator
        becomes the author.
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(lambda c: bundles.propose(c, bundle), as_json=json)


def sign(number: int, *, json: bool = False) -> int:
    """Signs a bundle that another operator proposed.

    Args:
      number: Number of the bundle.
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(lambda c: bundles.sign(c, number), as_json=json)


def rollout(
    number: int,
    *,
    wait: bool = False,
    timeout_s: float = 60.0,
    replace: bool = False,
    json: bool = False,
) -> int:
    """Rolls out a signed bundle.

    Args:
      number: Number of the bundle.
      wait: Wait until the bundle is in force on every required instance.
      timeout_s: Maximum time to wait, in seconds.
      replace: Replace an open rollout of a lower-numbered bundle.
      json: Print the result as JSON.

    Returns:
      Exit code.
    """

    async def run_rollout(client: client_lib.Client) -> output.Report:
        started = await bundles.roll_out(client, number, replace=replace)
        if started.exit_code != output.EXIT_SUCCESS or not wait:
            return started
        for line in started.lines:
            runner.print_progress(line)
        return await waiting.wait(
            client, number, timeout_s, runner.print_progress
        )

    return runner.run(run_rollout, as_json=json)


def status(*, json: bool = False) -> int:
    """Shows the rollout, the bundle in force per instance, and recent bundles.

    Args:
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(bundles.status, as_json=json)


def rollback(number: int, *, json: bool = False) -> int:
    """Proposes the content of an earlier bundle under a new number.

    Args:
      number: Number of the earlier bundle.
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(lambda c: bundles.roll_back(c, number), as_json=json)


def instances(*, json: bool = False) -> int:
    """Shows the state of every instance and how other instances see it.

    Args:
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(fleet.instances, as_json=json)


def targets(*, json: bool = False) -> int:
    """Shows every target with its owners, drain state and load.

    Args:
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(fleet.targets, as_json=json)


def dump(instance: str | None = None, *, json: bool = False) -> int:
    """Dumps the state of one instance or of all instances.

    Args:
      instance: Instance id; all instances if omitted.
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(lambda c: fleet.dump(c, instance), as_json=json)


def drain_instance(instance: str, *, json: bool = False) -> int:
    """Starts a graceful shutdown of an instance, as SIGTERM does.

    Args:
      instance: Instance id.
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(
        lambda c: actions.drain_instance(c, instance), as_json=json
    )


def drain_target(target: str, *, json: bool = False) -> int:
    """Stops sending requests to a target until it restarts.

    Args:
      target: Target id.
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(lambda c: actions.drain_target(c, target), as_json=json)


def why(request: str, *, json: bool = False) -> int:
    """Shows how a recent request was served.

    Args:
      request: Request id returned in the answer.
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(lambda c: actions.why(c, request), as_json=json)


def stats(*, json: bool = False) -> int:
    """Shows statistics per service, aggregated over all instances.

    Args:
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(statistics.statistics, as_json=json)


def log_level(
    *,
    instance: str | None = None,
    level: LogLevel | None = None,
    json: bool = False,
) -> int:
    """Shows or changes the log level.

    Args:
      instance: Instance id; all instances if omitted.
      level: New level; if omitted, the current level is shown.
      json: Print the result as JSON.

    Returns:
      Exit code.
    """
    return runner.run(
        lambda c: actions.log_level(c, instance, level), as_json=json
    )


COMMANDS = [
    check, diff, propose, sign, rollout, status, rollback, instances, targets,
    dump, drain_instance, drain_target, why, stats, log_level,
]  # fmt: skip


def main() -> None:
    """Entry point of the `lycheectl` console script."""
    sys.exit(defopt.run(COMMANDS, cli_options="has_default", short={}))


if __name__ == "__main__":
    main()
