"""Objects of the bundle life cycle at the platform, and their checks.

`bundles/N` and `signoffs/N` are created once and never changed.
`rollout/current` is changed by conditional update only.
"""

from collections.abc import Iterator
import hashlib
from typing import Any

import msgspec

from lycheerock_model import bundle as bundle_lib
from lycheerock_model import bundle_check
from lycheerock_model import exceptions

BUNDLES = "bundles"
SIGNOFFS = "signoffs"
ROLLOUT = "rollout"
CURRENT = "current"


class Proposal(msgspec.Struct, frozen=True):
    """The object `bundles/N`.

    Attributes:
      bundle: The bundle as a JSON value.
      copy_of: Number whose content a rollback restores; 0 otherwise.
      proposed_at_ms: Wall-clock time, for people only.
    """

    bundle: dict[str, Any]
    copy_of: int = 0
    proposed_at_ms: int = 0

    @property
    def number(self) -> int:
        """Number of the bundle."""
        return int(self.bundle.get("number", 0))

    @property
    def author(self) -> str:
        """Operator who proposed it."""
        return str(self.bundle.get("author", ""))


class Signoff(msgspec.Struct, frozen=True):
    """The object `signoffs/N`.

    Attributes:
      number: Number of the signed bundle.
      signer: Operator who signed it.
      sha256: Digest of the bundle's canonical JSON.
      signed_at_ms: Wall-clock time, for people only.
    """

    number: int
    signer: str
    sha256: str
    signed_at_ms: int = 0


class Rollout(msgspec.Struct, frozen=True):
    """The object `rollout/current`.

    Attributes:
      in_force: Number of the accepted bundle; 0 before the first.
      staging: Number that is being rolled out; 0 if none.
      coordinator: Instance that coordinates the open rollout.
      epoch: Raised whenever a rollout starts or changes its coordinator.
      requested_by: Operator who asked for the open or the last rollout.
      takeover_count: Changes of the coordinator since the rollout started.
    """

    in_force: int = 0
    staging: int = 0
    coordinator: str = ""
    epoch: int = 0
    requested_by: str = ""
    takeover_count: int = 0

    @property
    def is_open(self) -> bool:
        """Whether a rollout waits for acceptance."""
        return self.staging > self.in_force


class SignedBundle(msgspec.Struct, frozen=True):
    """A bundle with its sign-off, as it travels between instances."""

    bundle: dict[str, Any]
    signoff: Signoff

    @property
    def number(self) -> int:
        """Number of the bundle."""
        return int(self.bundle.get("number", 0))


def digest(bundle: dict[str, Any]) -> str:
    """Returns the SHA-256 of a bundle's canonical JSON, in hexadecimal."""
    text = msgspec.json.encode(bundle, order="deterministic")
    return hashlib.sha256(text).hexdigest()


def verify(signed: SignedBundle, number: int) -> bundle_lib.Bundle:
    """Checks a bundle and its sign-off.

    Args:
      signed: The bundle and its sign-off.
      number: Number that the bundle must have.

    Returns:
      The checked bundle.

    Raises:
      DocumentError: The bundle or its sign-off has faults.
    """
    bundle = bundle_check.load(msgspec.json.encode(signed.bundle))
    faults = tuple(_signoff_faults(signed, bundle, number))
    if faults:
        raise exceptions.DocumentError("bundle", faults)
    return bundle


def _signoff_faults(
    signed: SignedBundle, bundle: bundle_lib.Bundle, number: int
) -> Iterator[exceptions.Fault]:
    signoff = signed.signoff
    if not bundle.number == signoff.number == number:
        yield exceptions.Fault(
            "number",
            f"bundle {bundle.number} with a sign-off of {signoff.number} "
            f"is stored under {number}",
            "propose the bundle again under a new number",
        )
    if signoff.signer == bundle.author:
        yield exceptions.Fault(
            "author",
            f"{bundle.author} is both author and signer",
            "propose it again and let another operator sign",
        )
    if signoff.sha256 != digest(signed.bundle):
        yield exceptions.Fault(
            "signoff.sha256",
            "the signed content is not this content",
            "propose the bundle again under a new number",
        )


def parse_rollout(value: Any) -> Rollout:
    """Reads the object `rollout/current`; unknown keys are ignored."""
    return msgspec.convert(value, Rollout)


def parse_proposal(value: Any) -> Proposal:
    """Reads an object `bundles/N`; unknown keys are ignored."""
    return msgspec.convert(value, Proposal)


def parse_signoff(value: Any) -> Signoff:
    """Reads an object `signoffs/N`; unknown keys are ignored."""
    return msgspec.convert(value, Signoff)
