"""Opens rollouts on this instance and takes over from silent coordinators."""

import asyncio
from typing import Any

from returns import result
import structlog

from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import coordination as coordination_lib
from lycheerock._internal.bundles import idempotent_writes
from lycheerock._internal.bundles import records
from lycheerock._internal.lifecycle import backoff as backoff_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

Started = result.Result[records.Rollout, exceptions.LycheerockError]


class Coordinator:
    """Owns the task of the rollout that this instance coordinates."""

    def __init__(self, parts: coordination_lib.Parts):
        self._parts = parts
        self._coordination: coordination_lib.Coordination | None = None
        self._task: asyncio.Task[None] | None = None
        self._starting = asyncio.Lock()
        self._takeover_backoff = backoff_lib.Backoff()

    def problem(self) -> str:
        """Returns why the rollout coordinated here waits, or empty."""
        current = self._coordination
        if current is None or not self._is_running():
            return ""
        if current.problem:
            return current.problem
        blockers = current.state.blockers()
        return "; ".join(f"{name}: {why}" for name, why in blockers.items())

    def state(self) -> dict[str, Any]:
        """Returns the last rollout coordinated here as JSON values."""
        current = self._coordination
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
    ) -> Started:
        """Becomes the coordinator of a rollout.

        Args:
          number: Number of a signed bundle.
          operator: Who asks.
          replace: Whether to abandon the open rollout of a lower number.

        Returns:
          The open rollout, a ConflictError that names what is in the way, or a
          PlatformError.
        """
        async with self._starting:
            read = await self._parts.catalog.read_rollout()
            if isinstance(read, result.Failure):
                return result.Failure(read.failure())
            current = read.unwrap()
            if self._coordinates(current.rollout, number):
                return result.Success(current.rollout)
            conflict = find_conflict(current.rollout, number, replace=replace)
            if conflict is not None:
                return result.Failure(conflict)
            return await self._open(current, number, operator)

    def _coordinates(self, rollout: records.Rollout, number: int) -> bool:
        current = self._coordination
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
    ) -> Started:
        before = current.rollout
        is_takeover = before.staging == number
        rollout = records.Rollout(
            in_force=before.in_force,
            staging=number,
            coordinator=self._parts.network.own.instance_id,
            epoch=before.epoch + 1,
            requested_by=operator,
            takeover_count=before.takeover_count + 1 if is_takeover else 0,
        )
        written = await self._parts.catalog.update_rollout(
            rollout, current.version, idempotent_writes.new_nonce()
        )
        if isinstance(written, result.Failure):
            return result.Failure(await self._explain(written.failure()))
        self._launch(written.unwrap())
        return result.Success(rollout)

    async def _explain(
        self, error: exceptions.LycheerockError
    ) -> exceptions.LycheerockError:
        if not isinstance(error, exceptions.ConflictError):
            return error
        read = await self._parts.catalog.read_rollout()
        if isinstance(read, result.Failure):
            return error
        winner = read.unwrap().rollout
        return exceptions.ConflictError(
            f"{winner.requested_by or 'another operator'} was first: bundle "
            f"{winner.staging or winner.in_force} with {winner.coordinator}",
            "look at the status, then repeat the request if it is still needed",
        )

    def _launch(self, opened: catalog_lib.VersionedRollout) -> None:
        if self._task is not None:
            self._task.cancel()
        self._coordination = coordination_lib.Coordination(self._parts, opened)
        self._task = asyncio.create_task(self._coordination.run())
        _LOG.info(
            "rollout_opened",
            number=opened.rollout.staging,
            epoch=opened.rollout.epoch,
        )

    async def take_over(self) -> None:
        """Replaces a silent coordinator, or learns the result."""
        started_s = self._parts.learner.store.now_s()
        read = await self._parts.catalog.read_rollout()
        if isinstance(read, result.Failure):
            await asyncio.sleep(self._takeover_backoff.next_s())
            return
        self._takeover_backoff.reset()
        found = read.unwrap()
        state = self._parts.learner.store.state
        expected_epoch = state.epoch
        await self._parts.learner.apply_read(
            found.version, found.rollout, started_s
        )
        if found.rollout.epoch != expected_epoch or not found.rollout.is_open:
            return
        async with self._starting:
            if self._coordinates(found.rollout, found.rollout.staging):
                return
            await self._open(
                found, found.rollout.staging, found.rollout.requested_by
            )

    async def close(self) -> None:
        """Cancels the rollout; another instance takes over."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


def find_conflict(
    rollout: records.Rollout, number: int, *, replace: bool
) -> exceptions.ConflictError | None:
    """Returns what is in the way of rolling out a number, or None."""
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
            "wait until it is in force, or repeat with replace to abandon it",
        )
    return None
