"""Writes to the platform that can be retried safely when a reply is lost."""

import asyncio
from collections.abc import Mapping
import secrets
from typing import Any

from returns import result

from lycheerock._internal.lifecycle import backoff as backoff_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions

# Attempts to find out the outcome of a write before it is reported as unknown.
RESOLVE_ATTEMPTS_MAX = 4

# Long enough that two random nonces practically never collide.
NONCE_BYTES = 12

_NONCE_KEY = "nonce"


def new_nonce() -> str:
    """Returns a nonce that identifies one write."""
    return secrets.token_hex(NONCE_BYTES)


class IdempotentWrites:
    """Retries each write until its outcome is known or attempts run out."""

    def __init__(self, platform: client_lib.PlatformClient) -> None:
        self._platform = platform

    async def create(
        self, kind: str, name: str, value: Mapping[str, Any]
    ) -> client_lib.WriteResult:
        """Creates an object that must not exist yet; see `update`."""
        return await self.update(kind, name, value, 0)

    async def update(
        self,
        kind: str,
        name: str,
        value: Mapping[str, Any],
        if_version: int,
        nonce: str | None = None,
    ) -> client_lib.WriteResult:
        """Replaces an object if its version is still `if_version`.

        A write without a reply may still take effect later, so it is retried
        with the same nonce and version: at most one attempt takes effect.

        Args:
          kind: Kind of the object.
          name: Name within the kind.
          value: The new value; the nonce is added to it.
          if_version: Version that the write replaces; 0 to create the object.
          nonce: Identifies the write. Pass the same nonce again to retry a call
            with an unknown outcome; by default a new one is generated.

        Returns:
          The result of `PlatformClient.write`; an OutcomeUnknownError if no
          attempt revealed the outcome.
        """
        nonce = nonce or new_nonce()
        tagged = {**value, _NONCE_KEY: nonce}

        async def write() -> client_lib.WriteResult:
            written = await self._platform.write(kind, name, tagged, if_version)
            return _resolve_own_conflict(written, nonce)

        backoff = backoff_lib.Backoff()
        outcome = await write()
        for _ in range(RESOLVE_ATTEMPTS_MAX):
            if not _has_unknown_outcome(outcome):
                return outcome
            found = (await self._platform.get(kind, name)).value_or(None)
            if found is not None and found.version > if_version:
                conflict = client_lib.conflict_error(kind, name, found)
                return _resolve_own_conflict(result.Failure(conflict), nonce)
            retried = await write()
            if _determines_outcome(retried):
                return retried
            await asyncio.sleep(backoff.next_delay_s() / 4)
        return outcome


def _resolve_own_conflict(
    written: client_lib.WriteResult, nonce: str
) -> client_lib.WriteResult:
    """Turns a conflict with an earlier attempt of this write into a success."""
    if isinstance(written, result.Failure):
        error = written.failure()
        if isinstance(error, client_lib.StoredConflictError) and _is_own_write(
            error.stored, nonce
        ):
            return result.Success(error.stored)
    return written


def _is_own_write(stored: client_lib.Object, nonce: str) -> bool:
    return (
        isinstance(stored.value, dict) and stored.value.get(_NONCE_KEY) == nonce
    )


def _has_unknown_outcome(outcome: client_lib.WriteResult) -> bool:
    return isinstance(outcome, result.Failure) and isinstance(
        outcome.failure(), exceptions.OutcomeUnknownError
    )


def _determines_outcome(outcome: client_lib.WriteResult) -> bool:
    # After an attempt with an unknown outcome, an error such as a refused
    # connection says nothing about that attempt.
    return not isinstance(outcome, result.Failure) or isinstance(
        outcome.failure(), exceptions.ConflictError
    )
