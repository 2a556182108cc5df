"""Typed access to the objects of the bundle life cycle on the platform."""

import dataclasses
from typing import TypeVar

import msgspec
from returns import result

from lycheerock._internal.bundles import idempotent_writes
from lycheerock._internal.bundles import records
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions

T = TypeVar("T")
Outcome = result.Result[T, exceptions.LycheerockError]


@dataclasses.dataclass(frozen=True)
class VersionedRollout:
    """The object `rollout/current` with its version, 0 if it does not exist."""

    version: int
    rollout: records.Rollout


class Catalog:
    """Reads and writes proposals, sign-offs and the rollout object."""

    def __init__(self, platform: client_lib.PlatformClient):
        self._platform = platform
        self._writes = idempotent_writes.IdempotentWrites(platform)

    async def numbers(self) -> Outcome[tuple[int, ...]]:
        """Returns the numbers of all proposals."""
        names = await self._platform.list_names(records.BUNDLES_KIND)
        if isinstance(names, result.Failure):
            return result.Failure(names.failure())
        return result.Success(
            tuple(int(name) for name in names.unwrap() if name.isdecimal())
        )

    async def highest_number(self) -> Outcome[int]:
        """Returns the highest proposal number, or 0 if there is no proposal."""
        numbers = await self.numbers()
        return numbers.map(lambda found: max(found, default=0))

    async def read_rollout(self) -> Outcome[VersionedRollout]:
        """Reads the object `rollout/current`."""
        found = await self._platform.get(
            records.ROLLOUT_KIND, records.ROLLOUT_NAME
        )
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        stored = found.unwrap()
        if stored is None:
            return result.Success(VersionedRollout(0, records.Rollout()))
        return parse_rollout(stored)

    async def update_rollout(
        self, rollout: records.Rollout, if_version: int, nonce: str
    ) -> Outcome[VersionedRollout]:
        """Replaces `rollout/current` if its version is still `if_version`."""
        written = await self._writes.update(
            records.ROLLOUT_KIND,
            records.ROLLOUT_NAME,
            msgspec.to_builtins(rollout),
            if_version,
            nonce,
        )
        if isinstance(written, result.Failure):
            return result.Failure(written.failure())
        return result.Success(
            VersionedRollout(written.unwrap().version, rollout)
        )

    async def read_proposal(self, number: int) -> Outcome[records.Proposal]:
        """Reads `bundles/N`; returns a BadRequestError if it does not exist."""
        found = await self._platform.get(records.BUNDLES_KIND, str(number))
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        stored = found.unwrap()
        if stored is None:
            return result.Failure(
                exceptions.BadRequestError(
                    f"there is no bundle {number}",
                    "look up the number in the history",
                )
            )
        try:
            return result.Success(records.parse_proposal(stored.value))
        except msgspec.ValidationError as error:
            return result.Failure(_malformed_error(f"bundles/{number}", error))

    async def read_signoff(
        self, number: int
    ) -> Outcome[records.Signoff | None]:
        """Reads `signoffs/N`; returns None if the bundle is not signed."""
        found = await self._platform.get(records.SIGNOFFS_KIND, str(number))
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        stored = found.unwrap()
        if stored is None:
            return result.Success(None)
        try:
            return result.Success(records.parse_signoff(stored.value))
        except msgspec.ValidationError as error:
            return result.Failure(_malformed_error(f"signoffs/{number}", error))

    async def read_signed(self, number: int) -> Outcome[records.SignedBundle]:
        """Reads a bundle and its sign-off and verifies both."""
        found = await self.read_proposal(number)
        if isinstance(found, result.Failure):
            return result.Failure(found.failure())
        signoff = await self.read_signoff(number)
        if isinstance(signoff, result.Failure):
            return result.Failure(signoff.failure())
        proposal = found.unwrap()
        signed = signoff.unwrap()
        if signed is None:
            return result.Failure(
                exceptions.ForbiddenError(
                    f"bundle {number} is not signed",
                    f"let an operator other than {proposal.author} sign it",
                )
            )
        bundle = records.SignedBundle(proposal.bundle, signed)
        try:
            records.verify(bundle, number)
        except exceptions.DocumentError as error:
            return result.Failure(error)
        return result.Success(bundle)

    async def create_proposal(
        self, proposal: records.Proposal
    ) -> Outcome[client_lib.Object]:
        """Creates `bundles/N`.

        If it already exists, the ConflictError names its author.
        """
        number = proposal.number
        created = await self._writes.create(
            records.BUNDLES_KIND,
            str(number),
            msgspec.to_builtins(proposal),
        )
        if _is_conflict(created):
            conflict = await self.describe_conflict(number, number + 1)
            return result.Failure(conflict)
        return created.alt(_upcast_error)

    async def describe_conflict(
        self, number: int, next_number: int
    ) -> exceptions.ConflictError:
        """Returns the error for a proposal whose number cannot be used.

        Args:
          number: Number that was proposed.
          next_number: Number to propose instead.
        """
        found = await self.read_proposal(number)
        if isinstance(found, result.Failure):
            problem = f"bundle {number} cannot be proposed"
        else:
            problem = f"bundle {number} was proposed by {found.unwrap().author}"
        return exceptions.ConflictError(
            problem,
            f"compare it with the latest bundle, then propose {next_number}",
        )

    async def create_signoff(
        self, signoff: records.Signoff
    ) -> Outcome[client_lib.Object]:
        """Creates `signoffs/N`.

        If it already exists, the ConflictError names its signer.
        """
        number = signoff.number
        created = await self._writes.create(
            records.SIGNOFFS_KIND,
            str(number),
            msgspec.to_builtins(signoff),
        )
        if not _is_conflict(created):
            return created.alt(_upcast_error)
        earlier = (await self.read_signoff(number)).value_or(None)
        signer = earlier.signer if earlier is not None else "another operator"
        return result.Failure(
            exceptions.ConflictError(
                f"bundle {number} is already signed by {signer}",
                "roll it out, or propose another bundle",
            )
        )


def parse_rollout(stored: client_lib.Object) -> Outcome[VersionedRollout]:
    """Parses `rollout/current`; returns a DocumentError if it is malformed."""
    try:
        rollout = records.parse_rollout(stored.value)
    except msgspec.ValidationError as error:
        return result.Failure(_malformed_error("rollout/current", error))
    return result.Success(VersionedRollout(stored.version, rollout))


def _is_conflict(written: client_lib.WriteResult) -> bool:
    return isinstance(written, result.Failure) and isinstance(
        written.failure(), exceptions.ConflictError
    )


def _upcast_error(
    error: exceptions.LycheerockError,
) -> exceptions.LycheerockError:
    # The type checker does not widen the error type of a Result by itself.
    return error


def _malformed_error(
    name: str, error: msgspec.ValidationError
) -> exceptions.LycheerockError:
    fault = exceptions.Fault(name, str(error), "propose a new bundle")
    return exceptions.DocumentError(name, (fault,))
