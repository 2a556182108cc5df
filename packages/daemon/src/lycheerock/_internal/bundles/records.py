"""Platform objects of the bundle life cycle and their verification.

`bundles/N` and `signoffs/N` are immutable once created. `rollout/current` is
changed by conditional updates only.
"""

from collections.abc import Iterator
import hashlib
from typing import Any

import msgspec

from lycheerock_model import bundle as bundle_lib
from lycheerock_model import bundle_check
from lycheerock_model import exceptions

# Kinds of platform objects. Bundles and sign-offs are named after the number of
# the bundle; the only object of the kind `rollout` is named ROLLOUT_NAME.
BUNDLES_KIND = "bundles"
SIGNOFFS_KIND = "signoffs"
ROLLOUT_KIND = "rollout"
ROLLOUT_NAME = "current"


class Proposal(msgspec.Struct, frozen=True):
    """The object `bundles/N`.

    Attributes:
      bundle: The bundle as a JSON value.
      copy_of: Number of the bundle whose content a rollback restores; 0 if this
        is not a rollback.
      proposed_at_ms: Wall-clock time of the proposal, for display only.
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
        """Operator who proposed the bundle."""
        return str(self.bundle.get("author", ""))


class Signoff(msgspec.Struct, frozen=True):
    """The object `signoffs/N`.

    Attributes:
      number: Number of the signed bundle.
      signer: Operator who signed it.
      sha256: Digest of the bundle's canonical JSON.
      signed_at_ms: Wall-clock time of the sign-off, for display only.
    """

    number: int
    signer: str
    sha256: str
    signed_at_ms: int = 0


class Rollout(msgspec.Struct, frozen=True):
    """The object `rollout/current`.

    Attributes:
      in_force: Number of the accepted bundle; 0 before the first acceptance.
      staging: Number of the bundle that is being rolled out; 0 if none.
      coordinator: Instance that coordinates the open rollout.
      epoch: Incremented when a rollout starts or its coordinator changes.
      requested_by: Operator who requested the open or the last rollout.
      takeover_count: Number of coordinator changes since the rollout started.
    """

    in_force: int = 0
    staging: int = 0
    coordinator: str = ""
    epoch: int = 0
    requested_by: str = ""
    takeover_count: int = 0

    @property
    def is_open(self) -> bool:
        """Whether a rollout has started and is not accepted yet."""
        return self.staging > self.in_force


class SignedBundle(msgspec.Struct, frozen=True):
    """A bundle and its sign-off."""

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
    """Verifies a bundle and its sign-off.

    Args:
      signed: The bundle and its sign-off.
      number: Number that the bundle must have.

    Returns:
      The parsed bundle.

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
            f"bundle {bundle.number} and a sign-off of bundle {signoff.number} "
            f"are stored under number {number}",
            "propose the bundle again under a new number",
        )
    if signoff.signer == bundle.author:
        yield exceptions.Fault(
            "author",
            f"{bundle.author} is both author and signer",
            "propose it again and let another operator sign it",
        )
    if signoff.sha256 != digest(signed.bundle):
        yield exceptions.Fault(
            "signoff.sha256",
            "the sign-off does not match the content of the bundle",
            "propose the bundle again under a new number",
        )


def parse_rollout(value: Any) -> Rollout:
    """Converts the value of `rollout/current`; ignores unknown keys."""
    return msgspec.convert(value, Rollout)


def parse_proposal(value: Any) -> Proposal:
    """Converts the value of a `bundles/N` object; ignores unknown keys."""
    return msgspec.convert(value, Proposal)


def parse_signoff(value: Any) -> Signoff:
    """Converts the value of a `signoffs/N` object; ignores unknown keys."""
    return msgspec.convert(value, Signoff)
