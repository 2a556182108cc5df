"""Runs one seed of the soak."""

import asyncio
import dataclasses
import pathlib
import time

from lycheerock_bench._internal.soak import callers as callers_lib
from lycheerock_bench._internal.soak import deployment as deployment_lib
from lycheerock_bench._internal.soak import faults
from lycheerock_bench._internal.soak import promises
from lycheerock_bench._internal.soak import records

GATEWAY_COUNT = 3
CALLER_COUNT = 12

# Quiet time after the last fault, and the time over which recovery is judged.
SETTLE_S = 4.0
RECOVERY_S = 2.0


@dataclasses.dataclass(frozen=True)
class Report:
    """What one seed showed.

    Attributes:
      seed: The seed.
      request_count: Requests sent.
      served_count: Requests answered with 200.
      faults: Faults in order, with their time from the start in seconds.
      breaches: Promises that were broken.
    """

    seed: int
    request_count: int
    served_count: int
    faults: tuple[str, ...]
    breaches: tuple[promises.Breach, ...]


async def run(
    seed: int,
    duration_s: float,
    directory: pathlib.Path,
    gateway_count: int = GATEWAY_COUNT,
) -> Report:
    """Runs a deployment under the faults of a seed.

    Args:
      seed: Draws faults and requests.
      duration_s: Time during which faults begin.
      directory: For settings and logs of the processes; it exists.
      gateway_count: Gateway processes.

    Returns:
      What was seen.
    """
    deployment = deployment_lib.Deployment(directory, gateway_count, seed)
    journal = deployment.journal
    breaches: list[promises.Breach] = []

    def take(sent: records.Sent) -> None:
        journal.sent.append(sent)
        breaches.extend(
            promises.judge_answer(sent, deployment.targets, journal.versions)
        )

    try:
        await deployment.start()
        start_s = time.monotonic()
        callers = callers_lib.Callers(deployment, seed, take)
        calling = asyncio.create_task(callers.run(CALLER_COUNT))
        await faults.Injector(deployment, seed).run(duration_s)
        await deployment.wait_ready()
        await asyncio.sleep(SETTLE_S)
        settled_s = time.monotonic()
        await asyncio.sleep(RECOVERY_S)
        callers.is_stopping = True
        await calling
    finally:
        await deployment.stop()
    breaches.extend(promises.judge_run(journal, deployment.targets))
    late = [s for s in journal.sent if s.sent_s >= settled_s]
    breaches.extend(promises.judge_recovery(late))
    return Report(
        seed,
        len(journal.sent),
        sum(s.status == 200 for s in journal.sent),
        tuple(
            f"{d.start_s - start_s:.1f} to {d.end_s - start_s:.1f} "
            f"{d.scope}: {d.kind}"
            for d in journal.disturbances
        ),
        tuple(breaches),
    )
