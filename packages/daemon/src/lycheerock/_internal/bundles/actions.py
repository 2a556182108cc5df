"""Operator actions on bundles; each returns a typed result."""

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
class ProposedBundle:
    """A proposed bundle that is not signed yet.

    Attributes:
      number: Number of the bundle.
      author: Operator who proposed it.
      copy_of: Number of the bundle whose content a rollback restores; 0 if this
        is not a rollback.
      next_step: What the operators have to do next.
    """

    number: int
    author: str
    copy_of: int
    next_step: str


@dataclasses.dataclass(frozen=True)
class BundleSignoff:
    """The sign-off of a bundle, which can be rolled out now."""

    number: int
    author: str
    signer: str
    next_step: str


@dataclasses.dataclass(frozen=True)
class StartedRollout:
    """An open rollout and the instance that coordinates it."""

    number: int
    epoch: int
    coordinator: str
    next_step: str


@dataclasses.dataclass(frozen=True)
class InstanceReport:
    """State of one instance as seen by the instance that serves the request.

    Attributes:
      instance_id: Id of the instance.
      reachable: Whether it replied.
      in_force: Number of its bundle; 0 if it has none or is unreachable.
      acknowledged: Whether it has acknowledged the open rollout.
      admitting: Whether it admits requests.
      required: Whether its acknowledgement is required for acceptance.
      problem: Why it blocks the rollout or does not admit requests; empty if
        there is no problem.
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
      staging: Number of the bundle that is being rolled out; 0 if none.
      epoch: Epoch of the open or the last rollout.
      coordinator: Instance that coordinates it.
      requested_by: Operator who requested it.
      instances: All known instances.
      blockers: Ids of the required instances that have not acknowledged.
      problem: Why the rollout is blocked, if this instance coordinates it;
        otherwise empty.
      platform_problem: Why the platform could not be read, or empty. If set,
        the fields of the rollout show the local state of this instance.
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
    """One entry of the bundle history.

    Attributes:
      number: Number of the bundle.
      state: proposed, signed, staged, in_force or replaced.
      author: Operator who proposed it.
      signer: Operator who signed it, or empty.
      copy_of: Number of the bundle whose content it restores, or 0.
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
    """Interface to the rollout coordinator of this instance."""

    async def start(
        self, number: int, operator: str, *, replace: bool
    ) -> result.Result[records.Rollout, exceptions.LycheerockError]:
        """Starts coordinating a rollout on this instance."""
        ...

    def problem(self) -> str:
        """Returns why the rollout coordinated here is blocked, or empty."""
        ...


CollectReports = Callable[
    [records.Rollout], Awaitable[tuple[InstanceReport, ...]]
]
GetLocalRollout = Callable[[], records.Rollout]


class Actions:
    """Implements the operator actions, all of which any instance can serve."""

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        coordinator: Coordinator,
        collect_reports: CollectReports,
        get_local_rollout: GetLocalRollout,
    ):
        self._catalog = catalog_lib.Catalog(platform)
        self._coordinator = coordinator
        self._collect_reports = collect_reports
        self._get_local_rollout = get_local_rollout

    async def propose(
        self, document: dict[str, Any], operator: str
    ) -> result.Result[ProposedBundle, exceptions.LycheerockError]:
        """Stores a bundle as a proposal under the next free number.

        Args:
          document: The bundle as a JSON value. Its number must be 0, absent or
            the next free one; its author is set to `operator`.
          operator: Operator who proposes it.

        Returns:
          The proposal; a DocumentError that lists every fault; a
          ConflictError if the number is taken or is not the next one; or a
          PlatformError.
        """
        return await self._propose(document, operator, copy_of=0)

    async def _propose(
        self, document: dict[str, Any], operator: str, copy_of: int
    ) -> result.Result[ProposedBundle, exceptions.LycheerockError]:
        highest = await self._catalog.highest_number()
        if isinstance(highest, result.Failure):
            return result.Failure(highest.failure())
        number = highest.unwrap() + 1
        requested_number = document.get("number") or number
        document = {**document, "number": requested_number, "author": operator}
        checked = _check(document)
        if isinstance(checked, result.Failure):
            return result.Failure(checked.failure())
        if requested_number != number:
            return result.Failure(
                await self._catalog.describe_conflict(requested_number, number)
            )
        proposal = records.Proposal(document, copy_of, _wall_clock_ms())
        created = await self._catalog.create_proposal(proposal)
        return created.map(
            lambda _: ProposedBundle(
                number,
                operator,
                copy_of,
                f"let an operator other than {operator} sign bundle {number}",
            )
        )

    async def sign(
        self, number: int, operator: str
    ) -> result.Result[BundleSignoff, exceptions.LycheerockError]:
        """Signs a proposed bundle.

        Args:
          number: Number of the bundle.
          operator: Operator who signs; must not be the author.

        Returns:
          The sign-off; a ForbiddenError if the operator is the author; a
          ConflictError that names an earlier signer; a BadRequestError if the
          number is unknown; a DocumentError; or a PlatformError.
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
            lambda _: BundleSignoff(
                number, proposal.author, operator, f"roll out bundle {number}"
            )
        )

    async def roll_out(
        self, number: int, operator: str, *, replace: bool = False
    ) -> result.Result[StartedRollout, exceptions.LycheerockError]:
        """Makes this instance the coordinator of a rollout.

        Requesting the same rollout again from another instance makes that
        instance the coordinator.

        Args:
          number: Number of a signed bundle.
          operator: Operator who requests the rollout.
          replace: Whether to abandon an open rollout of a lower number.

        Returns:
          The open rollout; a ConflictError that describes the conflicting
          rollout; a ForbiddenError if the bundle is not signed; a
          BadRequestError if the number is unknown; a DocumentError; or a
          PlatformError.
        """
        signed = await self._catalog.read_signed(number)
        if isinstance(signed, result.Failure):
            return result.Failure(signed.failure())
        started = await self._coordinator.start(
            number, operator, replace=replace
        )
        return started.map(
            lambda rollout: StartedRollout(
                rollout.staging,
                rollout.epoch,
                rollout.coordinator,
                "check the status until the bundle is in force",
            )
        )

    async def roll_back(
        self, number: int, operator: str
    ) -> result.Result[ProposedBundle, exceptions.LycheerockError]:
        """Proposes the content of an earlier bundle under a new number.

        Args:
          number: Number of the bundle whose content is to be restored.
          operator: Operator who proposes it.

        Returns:
          The proposal, which needs a sign-off and a rollout like any other; a
          BadRequestError if the number is unknown; or an error of `propose`.
        """
        found = await self._catalog.read_proposal(number)
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        document = {**found.unwrap().bundle, "number": 0}
        return await self._propose(document, operator, copy_of=number)

    async def status(self) -> Status:
        """Returns the state of the rollout and of all known instances."""
        read = await self._catalog.read_rollout()
        platform_problem = ""
        if isinstance(read, result.Failure):
            platform_problem = str(read.failure())
            rollout = self._get_local_rollout()
        else:
            rollout = read.unwrap().rollout
        reports = await self._collect_reports(rollout)
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
        """Returns the latest bundles, newest first, or an error.

        At most `HISTORY_LENGTH_MAX` bundles are returned.
        """
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
