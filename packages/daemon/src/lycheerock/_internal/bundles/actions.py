"""What operators can do with bundles; each returns a typed result."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time
from typing import Any
from typing import Protocol

import msgspec
from returns import result

from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import records
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import bundle_check
from lycheerock_model import exceptions

HISTORY_LENGTH_MAX = 20


@dataclasses.dataclass(frozen=True)
class Proposed:
    """A bundle that waits for a sign-off.

    Attributes:
      number: Number of the bundle.
      author: Operator who proposed it.
      copy_of: Number whose content it restores; 0 if it is no rollback.
      next_step: What the operators do next.
    """

    number: int
    author: str
    copy_of: int
    next_step: str


@dataclasses.dataclass(frozen=True)
class Signed:
    """A bundle that may be rolled out."""

    number: int
    author: str
    signer: str
    next_step: str


@dataclasses.dataclass(frozen=True)
class RolloutStarted:
    """An open rollout and the instance that coordinates it."""

    number: int
    epoch: int
    coordinator: str
    next_step: str


@dataclasses.dataclass(frozen=True)
class InstanceReport:
    """One instance as seen from the instance that was asked.

    Attributes:
      instance_id: Name of the instance.
      reachable: Whether it answered.
      in_force: Number of its bundle; 0 if it has none or is unreachable.
      acknowledged: Whether it has acknowledged the open rollout.
      admitting: Whether it admits requests.
      required: Whether acceptance waits for it.
      problem: Why it blocks or does not admit; empty if all is well.
    """

    instance_id: str
    reachable: bool
    in_force: int
    acknowledged: bool
    admitting: bool
    required: bool
    problem: str


@dataclasses.dataclass(frozen=True)
class Status:
    """State of the rollout and of every known instance.

    Attributes:
      in_force: Number of the accepted bundle.
      staging: Number that is being rolled out; 0 if none.
      epoch: Epoch of the open or the last rollout.
      coordinator: Instance that coordinates it.
      requested_by: Operator who asked for it.
      instances: All known instances.
      blockers: Ids of the required instances that have not acknowledged.
      problem: Why the coordinator waits; empty if unknown here.
      platform_problem: Why the platform could not be read, or empty; the
        numbers above are then those of this instance.
    """

    in_force: int
    staging: int
    epoch: int
    coordinator: str
    requested_by: str
    instances: tuple[InstanceReport, ...]
    blockers: tuple[str, ...]
    problem: str
    platform_problem: str


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """One bundle of the past.

    Attributes:
      number: Number of the bundle.
      state: proposed, signed, staged, in_force or replaced.
      author: Operator who proposed it.
      signer: Operator who signed it, or empty.
      copy_of: Number whose content it restores, or 0.
      proposed_at_ms: Wall-clock time of the proposal.
      signed_at_ms: Wall-clock time of the sign-off, or 0.
    """

    number: int
    state: str
    author: str
    signer: str
    copy_of: int
    proposed_at_ms: int
    signed_at_ms: int


class Coordinator(Protocol):
    """Starts a rollout on this instance."""

    async def start(
        self, number: int, operator: str, *, replace: bool
    ) -> result.Result[records.Rollout, exceptions.LycheerockError]:
        """Becomes the coordinator of a rollout."""
        ...

    def problem(self) -> str:
        """Returns why the rollout coordinated here waits, or empty."""
        ...


Reports = Callable[[records.Rollout], Awaitable[tuple[InstanceReport, ...]]]
LocalRollout = Callable[[], records.Rollout]


class Actions:
    """Operator actions; every instance offers all of them."""

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        coordinator: Coordinator,
        reports: Reports,
        local_rollout: LocalRollout,
    ):
        self._catalog = catalog_lib.Catalog(platform)
        self._coordinator = coordinator
        self._reports = reports
        self._local_rollout = local_rollout

    async def propose(
        self, document: dict[str, Any], operator: str
    ) -> result.Result[Proposed, exceptions.LycheerockError]:
        """Stores a bundle under a new number.

        Args:
          document: The bundle as JSON; its number is 0 or the next free one,
            and its author is replaced by `operator`.
          operator: Who proposes it.

        Returns:
          The proposal, or a DocumentError with every fault, a ConflictError
          that names the winner, or a PlatformError.
        """
        return await self._propose(document, operator, copy_of=0)

    async def _propose(
        self, document: dict[str, Any], operator: str, copy_of: int
    ) -> result.Result[Proposed, exceptions.LycheerockError]:
        highest = await self._catalog.highest_number()
        if isinstance(highest, result.Failure):
            return result.Failure(highest.failure())
        number = highest.unwrap() + 1
        claimed = document.get("number") or number
        document = {**document, "number": claimed, "author": operator}
        checked = _check(document)
        if isinstance(checked, result.Failure):
            return result.Failure(checked.failure())
        if claimed != number:
            return result.Failure(
                await self._catalog.describe_conflict(claimed, number)
            )
        proposal = records.Proposal(document, copy_of, _wall_clock_ms())
        created = await self._catalog.create_proposal(proposal)
        return created.map(
            lambda _: Proposed(
                number,
                operator,
                copy_of,
                f"let an operator other than {operator} sign bundle {number}",
            )
        )

    async def sign(
        self, number: int, operator: str
    ) -> result.Result[Signed, exceptions.LycheerockError]:
        """Signs a proposed bundle.

        Args:
          number: Number of the bundle.
          operator: Who signs; not the author.

        Returns:
          The sign-off, or a ForbiddenError for the author, a ConflictError that
          names an earlier signer, a BadRequestError for an unknown number, a
          DocumentError, or a PlatformError.
        """
        found = await self._catalog.read_proposal(number)
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        proposal = found.unwrap()
        checked = _check(proposal.bundle)
        if isinstance(checked, result.Failure):
            return result.Failure(checked.failure())
        if proposal.author == operator:
            return result.Failure(
                exceptions.ForbiddenError(
                    f"{operator} is the author of bundle {number}",
                    "let another operator sign it",
                )
            )
        signoff = records.Signoff(
            number, operator, records.digest(proposal.bundle), _wall_clock_ms()
        )
        created = await self._catalog.create_signoff(signoff)
        return created.map(
            lambda _: Signed(
                number, proposal.author, operator, f"roll out bundle {number}"
            )
        )

    async def roll_out(
        self, number: int, operator: str, *, replace: bool = False
    ) -> result.Result[RolloutStarted, exceptions.LycheerockError]:
        """Makes this instance the coordinator of a rollout.

        Repeating the request for an open rollout on another instance moves the
        coordination there.

        Args:
          number: Number of a signed bundle.
          operator: Who asks.
          replace: Whether to abandon the open rollout of a lower number.

        Returns:
          The open rollout, or a ConflictError that names what is in the way, a
          ForbiddenError for an unsigned bundle, a DocumentError, or a
          PlatformError.
        """
        signed = await self._catalog.read_signed(number)
        if isinstance(signed, result.Failure):
            return result.Failure(signed.failure())
        started = await self._coordinator.start(
            number, operator, replace=replace
        )
        return started.map(
            lambda rollout: RolloutStarted(
                rollout.staging,
                rollout.epoch,
                rollout.coordinator,
                "ask for the status until the bundle is in force",
            )
        )

    async def roll_back(
        self, number: int, operator: str
    ) -> result.Result[Proposed, exceptions.LycheerockError]:
        """Proposes the content of an old bundle under a new number.

        Args:
          number: Number whose content is to return.
          operator: Who asks.

        Returns:
          The proposal, which needs a sign-off and a rollout like any other, or
          the errors of `propose`.
        """
        found = await self._catalog.read_proposal(number)
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        document = {**found.unwrap().bundle, "number": 0}
        return await self._propose(document, operator, copy_of=number)

    async def status(self) -> Status:
        """Returns who has which number in force and who blocks a rollout."""
        read = await self._catalog.read_rollout()
        platform_problem = ""
        if isinstance(read, result.Failure):
            platform_problem = str(read.failure())
            rollout = self._local_rollout()
        else:
            rollout = read.unwrap().rollout
        reports = await self._reports(rollout)
        blockers: tuple[str, ...] = ()
        if rollout.is_open:
            blockers = tuple(
                report.instance_id
                for report in reports
                if report.required and not report.acknowledged
            )
        return Status(
            in_force=rollout.in_force,
            staging=rollout.staging,
            epoch=rollout.epoch,
            coordinator=rollout.coordinator,
            requested_by=rollout.requested_by,
            instances=reports,
            blockers=blockers,
            problem=self._coordinator.problem(),
            platform_problem=platform_problem,
        )

    async def history(
        self,
    ) -> result.Result[tuple[HistoryEntry, ...], exceptions.LycheerockError]:
        """Returns the latest bundles, newest first, or a PlatformError."""
        read = await self._catalog.read_rollout()
        if isinstance(read, result.Failure):
            return result.Failure(read.failure())
        rollout = read.unwrap().rollout
        numbers = await self._catalog.numbers()
        if isinstance(numbers, result.Failure):
            return result.Failure(numbers.failure())
        entries = []
        latest = sorted(numbers.unwrap(), reverse=True)[:HISTORY_LENGTH_MAX]
        for number in latest:
            entry = await self._history_entry(number, rollout)
            if isinstance(entry, result.Failure):
                return result.Failure(entry.failure())
            entries.append(entry.unwrap())
        return result.Success(tuple(entries))

    async def _history_entry(
        self, number: int, rollout: records.Rollout
    ) -> result.Result[HistoryEntry, exceptions.LycheerockError]:
        found = await self._catalog.read_proposal(number)
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        signed = await self._catalog.read_signoff(number)
        if isinstance(signed, result.Failure):
            return result.Failure(signed.failure())
        proposal = found.unwrap()
        signoff = signed.unwrap()
        return result.Success(
            HistoryEntry(
                number=number,
                state=_state(number, rollout, is_signed=signoff is not None),
                author=proposal.author,
                signer=signoff.signer if signoff is not None else "",
                copy_of=proposal.copy_of,
                proposed_at_ms=proposal.proposed_at_ms,
                signed_at_ms=signoff.signed_at_ms if signoff else 0,
            )
        )


def _state(number: int, rollout: records.Rollout, *, is_signed: bool) -> str:
    if number == rollout.in_force:
        return "in_force"
    if number < rollout.in_force:
        return "replaced"
    if number == rollout.staging:
        return "staged"
    return "signed" if is_signed else "proposed"


def _check(
    document: dict[str, Any],
) -> result.Result[bundle_lib.Bundle, exceptions.DocumentError]:
    try:
        return result.Success(bundle_check.load(msgspec.json.encode(document)))
    except exceptions.DocumentError as error:
        return result.Failure(error)


def _wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000
