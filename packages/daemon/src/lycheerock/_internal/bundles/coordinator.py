"""Opens rollouts on this instance and takes over open ones from others."""

import asyncio
from typing import Any

from returns import result
import structlog

from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import idempotent_writes
from lycheerock._internal.bundles import records
from lycheerock._internal.bundles import rollout_runner as runner_lib
from lycheerock._internal.lifecycle import backoff as backoff_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

StartResult = result.Result[records.Rollout, exceptions.LycheerockError]


class Coordinator:
    """Starts, takes over and cancels rollouts on this instance.

    At most one rollout is coordinated at a time; a new one replaces the
    previous one.
    """

    def __init__(self, dependencies: runner_lib.Dependencies):
        self._dependencies = dependencies
        self._runner: runner_lib.RolloutRunner | None = None
        self._task: asyncio.Task[None] | None = None
        self._start_lock = asyncio.Lock()
        self._takeover_backoff = backoff_lib.Backoff()

    def problem(self) -> str:
        """Returns why the rollout coordinated here is blocked, or empty."""
        current = self._runner
        if current is None or not self._is_running():
            return ""
        if current.problem:
            return current.problem
        blockers = current.state.blockers()
        return "; ".join(f"{name}: {why}" for name, why in blockers.items())

    def state(self) -> dict[str, Any]:
        """Returns the last rollout coordinated here, for the state dump."""
        current = self._runner
        if current is None:
            return {}
        return {
            "number": current.state.number,
            "epoch": current.state.epoch,
            "phase": current.state.phase,
            "accepted_s": current.accepted_s,
            "problem": self.problem(),
        }

    def _is_running(self) -> bool:
        return self._task is not None and not self._task.done()

    async def start(
        self, number: int, operator: str, *, replace: bool
    ) -> StartResult:
        """Starts coordinating a rollout on this instance.

        Args:
          number: Number of a signed bundle.
          operator: Operator who requests the rollout.
          replace: Whether to abandon an open rollout of a lower number.

        Returns:
          The open rollout, a ConflictError that describes the conflicting
          rollout, or a PlatformError.
        """
        async with self._start_lock:
            read = await self._dependencies.catalog.read_rollout()
            if isinstance(read, result.Failure):
                return result.Failure(read.failure())
            current = read.unwrap()
            if self._is_coordinating(current.rollout, number):
                return result.Success(current.rollout)
            conflict = find_conflict(current.rollout, number, replace=replace)
            if conflict is not None:
                return result.Failure(conflict)
            return await self._open(current, number, operator)

    def _is_coordinating(self, rollout: records.Rollout, number: int) -> bool:
        current = self._runner
        return (
            current is not None
            and self._is_running()
            and rollout.staging == number == current.state.number
            and rollout.epoch == current.state.epoch
        )

    async def _open(
        self,
        current: catalog_lib.VersionedRollout,
        number: int,
        operator: str,
    ) -> StartResult:
        previous = current.rollout
        is_takeover = previous.staging == number
        rollout = records.Rollout(
            in_force=previous.in_force,
            staging=number,
            coordinator=self._dependencies.peer_set.own.instance_id,
            epoch=previous.epoch + 1,
            requested_by=operator,
            takeover_count=previous.takeover_count + 1 if is_takeover else 0,
        )
        written = await self._dependencies.catalog.update_rollout(
            rollout, current.version, idempotent_writes.new_nonce()
        )
        if isinstance(written, result.Failure):
            return result.Failure(
                await self._explain_conflict(written.failure())
            )
        self._start_runner(written.unwrap())
        return result.Success(rollout)

    async def _explain_conflict(
        self, error: exceptions.LycheerockError
    ) -> exceptions.LycheerockError:
        if not isinstance(error, exceptions.ConflictError):
            return error
        read = await self._dependencies.catalog.read_rollout()
        if isinstance(read, result.Failure):
            return error
        winner = read.unwrap().rollout
        return exceptions.ConflictError(
            f"a request by {winner.requested_by or 'another operator'} took "
            f"effect first: bundle {winner.staging or winner.in_force}, "
            f"coordinated by {winner.coordinator}",
            "check the status, then repeat the request if it is still needed",
        )

    def _start_runner(self, opened: catalog_lib.VersionedRollout) -> None:
        if self._task is not None:
            self._task.cancel()
        self._runner = runner_lib.RolloutRunner(self._dependencies, opened)
        self._task = asyncio.create_task(self._runner.run())
        _LOG.info(
            "rollout_opened",
            number=opened.rollout.staging,
            epoch=opened.rollout.epoch,
        )

    async def take_over(self) -> None:
        """Takes over the open rollout from an unresponsive coordinator.

        The rollout is read from the platform and applied to the local state
        first. If its epoch has changed or it has ended, nothing is taken over.
        """
        started_s = self._dependencies.updater.store.now_s()
        read = await self._dependencies.catalog.read_rollout()
        if isinstance(read, result.Failure):
            await asyncio.sleep(self._takeover_backoff.next_delay_s())
            return
        self._takeover_backoff.reset()
        current = read.unwrap()
        state = self._dependencies.updater.store.state
        expected_epoch = state.epoch
        await self._dependencies.updater.apply_read(
            current.version, current.rollout, started_s
        )
        if (
            current.rollout.epoch != expected_epoch
            or not current.rollout.is_open
        ):
            return
        async with self._start_lock:
            if self._is_coordinating(current.rollout, current.rollout.staging):
                return
            await self._open(
                current, current.rollout.staging, current.rollout.requested_by
            )

    async def close(self) -> None:
        """Cancels the rollout here; another instance can take it over."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


def find_conflict(
    rollout: records.Rollout, number: int, *, replace: bool
) -> exceptions.ConflictError | None:
    """Returns the conflict that prevents a rollout of a number, or None."""
    if number <= rollout.in_force:
        return exceptions.ConflictError(
            f"bundle {rollout.in_force} is already in force",
            f"propose the content of {number} again under a higher number",
        )
    if not rollout.is_open or rollout.staging == number:
        return None
    open_rollout = (
        f"bundle {rollout.staging} is being rolled out by "
        f"{rollout.coordinator} at the request of {rollout.requested_by}"
    )
    if rollout.staging > number:
        return exceptions.ConflictError(
            open_rollout, f"propose {number} again under a higher number"
        )
    if not replace:
        return exceptions.ConflictError(
            open_rollout,
            "wait until it is in force, or repeat the request with replace to "
            "abandon it",
        )
    return None
