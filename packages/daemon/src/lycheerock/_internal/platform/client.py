"""Client of the platform's object API."""

import asyncio
import collections
from collections.abc import Mapping
import dataclasses
import secrets
from typing import Any

import aiohttp
import msgspec
from returns import result

from lycheerock._internal.platform import backoff as backoff_lib
from lycheerock_model import exceptions

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Longer than the platform holds a watch that sees no change.
WATCH_TIMEOUT_S = 45.0
RESOLVE_ATTEMPTS_MAX = 4
NONCE_BYTES = 12


@dataclasses.dataclass(frozen=True)
class Object:
    """A value at the platform and its version."""

    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """An entry of the platform's list, which lags behind the actual state.

    Attributes:
      instance_id: Name of the instance.
      state: live or leaving.
      peer_address: Address of its gRPC interface.
      region: Region of the instance.
      zone: Availability zone of the instance.
    """

    instance_id: str
    state: str
    peer_address: str
    region: str
    zone: str


Found = result.Result[Object | None, exceptions.PlatformError]
Written = result.Result[
    Object, exceptions.ConflictError | exceptions.PlatformError
]


class PlatformClient:
    """Calls the object API and counts every call by kind."""

    def __init__(self, address: str, instance_id: str = ""):
        self._base_url = f"http://{address}"
        self._session = aiohttp.ClientSession(
            headers={"User-Agent": f"lycheerock/{instance_id}"},
            timeout=aiohttp.ClientTimeout(
                total=CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
            ),
        )
        self.call_counts: collections.Counter[str] = collections.Counter()

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def get(self, kind: str, name: str) -> Found:
        """Reads an object.

        Args:
          kind: Kind of the object.
          name: Name within the kind.

        Returns:
          The object, None if there is none, or a PlatformError.
        """
        self.call_counts["get"] += 1
        return await self._read(kind, name, {}, CALL_TIMEOUT_S)

    async def watch(self, kind: str, name: str, after_version: int) -> Found:
        """Waits for a version of an object above `after_version`.

        Args:
          kind: Kind of the object.
          name: Name within the kind.
          after_version: Version that the caller knows; 0 for none.

        Returns:
          The object, unchanged if the platform ended the wait; None if there is
          none; or a PlatformError.
        """
        self.call_counts["watch"] += 1
        params = {"watch_after": str(after_version)}
        return await self._read(kind, name, params, WATCH_TIMEOUT_S)

    async def _read(
        self, kind: str, name: str, params: Mapping[str, str], timeout_s: float
    ) -> Found:
        url = f"{self._base_url}/objects/{kind}/{name}"
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.get(
                url, params=params, timeout=timeout
            ) as response:
                if response.status == 404:
                    return result.Success(None)
                response.raise_for_status()
                return result.Success(_decode(await response.read()))
        except _CALL_ERRORS as error:
            return result.Failure(_unavailable(f"reading {kind}/{name}", error))

    async def list_names(
        self, kind: str
    ) -> result.Result[tuple[str, ...], exceptions.PlatformError]:
        """Returns the names of all objects of a kind, or a PlatformError."""
        self.call_counts["list"] += 1
        found = await self._get_json(f"/objects/{kind}")
        return found.map(lambda body: tuple(body["names"]))

    async def list_instances(
        self,
    ) -> result.Result[tuple[ListedInstance, ...], exceptions.PlatformError]:
        """Returns the platform's list of instances, or a PlatformError."""
        self.call_counts["list_instances"] += 1
        found = await self._get_json("/instances")
        if isinstance(found, result.Failure):
            return found
        try:
            entries = msgspec.convert(
                found.unwrap()["instances"], tuple[ListedInstance, ...]
            )
        except (msgspec.ValidationError, KeyError, TypeError) as error:
            return result.Failure(_unavailable("reading /instances", error))
        return result.Success(entries)

    async def _get_json(
        self, path: str
    ) -> result.Result[Any, exceptions.PlatformError]:
        try:
            async with self._session.get(self._base_url + path) as response:
                response.raise_for_status()
                body = msgspec.json.decode(await response.read())
        except _CALL_ERRORS as error:
            return result.Failure(_unavailable(f"reading {path}", error))
        return result.Success(body)

    async def create(
        self, kind: str, name: str, value: Mapping[str, Any]
    ) -> Written:
        """Creates an object that must not exist; see `update`."""
        return await self.update(kind, name, value, 0)

    async def update(
        self,
        kind: str,
        name: str,
        value: Mapping[str, Any],
        if_version: int,
        nonce: str | None = None,
    ) -> Written:
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
          The stored object; a ConflictError if another writer was first; an
          OutcomeUnknownError if the write may have taken effect; any other
          PlatformError if it did not.
        """
        nonce = nonce or new_nonce()
        body = msgspec.json.encode({**value, "nonce": nonce})
        backoff = backoff_lib.Backoff()
        outcome = await self._put(kind, name, body, if_version, nonce)
        for _ in range(RESOLVE_ATTEMPTS_MAX):
            if not _is_unknown(outcome):
                return outcome
            resolved = await self._read_back(kind, name, if_version, nonce)
            if resolved is not None:
                return resolved
            again = await self._put(kind, name, body, if_version, nonce)
            if _is_definite(again):
                return again
            await asyncio.sleep(backoff.next_s() / 4)
        return outcome

    async def _read_back(
        self, kind: str, name: str, if_version: int, nonce: str
    ) -> Written | None:
        found = await self.get(kind, name)
        stored = found.value_or(None)
        if stored is None or stored.version <= if_version:
            return None
        return _settle(kind, name, stored, nonce)

    async def _put(
        self, kind: str, name: str, body: bytes, if_version: int, nonce: str
    ) -> Written:
        self.call_counts["create" if if_version == 0 else "update"] += 1
        url = f"{self._base_url}/objects/{kind}/{name}"
        params = {"if_version": str(if_version)}
        try:
            async with self._session.put(
                url, params=params, data=body
            ) as response:
                if response.status == 409:
                    stored = _decode(await response.read())
                    return _settle(kind, name, stored, nonce)
                response.raise_for_status()
                return result.Success(_decode(await response.read()))
        except aiohttp.ClientConnectorError as error:
            return result.Failure(_unavailable(f"writing {kind}/{name}", error))
        except _CALL_ERRORS as error:
            return result.Failure(
                exceptions.OutcomeUnknownError(
                    f"the reply to writing {kind}/{name} was lost "
                    f"({type(error).__name__})",
                    "read the object back before repeating the request",
                    retry_after_ms=1_000,
                )
            )


_CALL_ERRORS = (TimeoutError, aiohttp.ClientError, msgspec.DecodeError)


def new_nonce() -> str:
    """Returns a value that names one write."""
    return secrets.token_hex(NONCE_BYTES)


def _settle(kind: str, name: str, stored: Object, nonce: str) -> Written:
    if isinstance(stored.value, dict) and stored.value.get("nonce") == nonce:
        return result.Success(stored)
    return result.Failure(
        exceptions.ConflictError(
            f"another writer changed {kind}/{name} first "
            f"(version {stored.version})",
            "read it and decide again",
        )
    )


def _is_unknown(outcome: Written) -> bool:
    return isinstance(outcome, result.Failure) and isinstance(
        outcome.failure(), exceptions.OutcomeUnknownError
    )


def _is_definite(outcome: Written) -> bool:
    # After a write with an unknown outcome, a refused connection tells nothing
    # about the earlier copy.
    return not isinstance(outcome, result.Failure) or isinstance(
        outcome.failure(), exceptions.ConflictError
    )


def _unavailable(action: str, error: Exception) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f"{action} failed ({type(error).__name__})",
        "repeat the request when the platform answers again",
        retry_after_ms=1_000,
    )


def _decode(body: bytes) -> Object:
    return msgspec.json.decode(body, type=Object)
