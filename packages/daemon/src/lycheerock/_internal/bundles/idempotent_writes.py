"""Writes to the platform whose outcome is found out when the reply is lost."""

import asyncio
from collections.abc import Mapping
import secrets
from typing import Any

from returns import result

from lycheerock._internal.lifecycle import backoff as backoff_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions

# Reads and repetitions of one write before its outcome is reported as unknown.
RESOLVE_ATTEMPTS_MAX = 4

# Random enough that no two writes ever share a nonce.
NONCE_BYTES = 12

_NONCE = "nonce"


def new_nonce() -> str:
    """Returns a value that names one write."""
    return secrets.token_hex(NONCE_BYTES)


class IdempotentWrites:
    """Repeats a write until its outcome is known."""

    def __init__(self, platform: client_lib.PlatformClient) -> None:
        self._platform = platform

    async def create(
        self, kind: str, name: str, value: Mapping[str, Any]
    ) -> client_lib.Written:
        """Creates an object that must not exist; see `update`."""
        return await self.update(kind, name, value, 0)

    async def update(
        self,
        kind: str,
        name: str,
        value: Mapping[str, Any],
        if_version: int,
        nonce: str | None = None,
    ) -> client_lib.Written:
        """Replaces an object if its version is still `if_version`.

        A write without a reply may take effect later, so the same write is
        repeated with the same nonce: at most one of the copies takes effect.

        Args:
          kind: Kind of the object.
          name: Name within the kind.
          value: The new value; a nonce is added to it.
          if_version: Version that the write replaces; 0 to create.
          nonce: Nonce of an earlier call with an unknown outcome.

        Returns:
          As `PlatformClient.write`.
        """
        nonce = nonce or new_nonce()
        marked = {**value, _NONCE: nonce}

        async def write() -> client_lib.Written:
            written = await self._platform.write(kind, name, marked, if_version)
            return _settle(written, nonce)

        backoff = backoff_lib.Backoff()
        outcome = await write()
        for _ in range(RESOLVE_ATTEMPTS_MAX):
            if not _is_unknown(outcome):
                return outcome
            found = (await self._platform.get(kind, name)).value_or(None)
            if found is not None and found.version > if_version:
                conflict = client_lib.conflict(kind, name, found)
                return _settle(result.Failure(conflict), nonce)
            again = await write()
            if _is_definite(again):
                return again
            await asyncio.sleep(backoff.next_s() / 4)
        return outcome


def _settle(written: client_lib.Written, nonce: str) -> client_lib.Written:
    """Takes a conflict with this very write for its success."""
    if isinstance(written, result.Failure):
        error = written.failure()
        if isinstance(error, client_lib.StoredConflictError) and _is_own(
            error.stored, nonce
        ):
            return result.Success(error.stored)
    return written


def _is_own(stored: client_lib.Object, nonce: str) -> bool:
    return isinstance(stored.value, dict) and stored.value.get(_NONCE) == nonce


def _is_unknown(outcome: client_lib.Written) -> bool:
    return isinstance(outcome, result.Failure) and isinstance(
        outcome.failure(), exceptions.OutcomeUnknownError
    )


def _is_definite(outcome: client_lib.Written) -> bool:
    # After a write with an unknown outcome, a refused connection tells nothing
    # about the earlier copy.
    return not isinstance(outcome, result.Failure) or isinstance(
        outcome.failure(), exceptions.ConflictError
    )
