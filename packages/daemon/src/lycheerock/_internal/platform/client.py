"""Client of the platform's object API."""

import collections
import dataclasses
from typing import Any

import aiohttp
import msgspec

from lycheerock_model import exceptions

CALL_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Object:
    """A value at the platform and its version."""

    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """An entry of the platform's list of instances, which lags.

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


@dataclasses.dataclass(frozen=True)
class _InstanceList:
    instances: tuple[ListedInstance, ...]


class PlatformClient:
    """Calls the object API and counts every call by kind."""

    def __init__(self, address: str):
        self._base_url = f"http://{address}"
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )
        self.call_counts: collections.Counter[str] = collections.Counter()

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def get(self, kind: str, name: str) -> Object | None:
        """Reads an object.

        Args:
          kind: Kind of the object.
          name: Name within the kind.

        Returns:
          The object, or None if there is none.

        Raises:
          PlatformError: The platform did not answer.
        """
        self.call_counts["get"] += 1
        url = f"{self._base_url}/objects/{kind}/{name}"
        try:
            async with self._session.get(url) as response:
                if response.status == 404:
                    return None
                response.raise_for_status()
                return _decode(await response.read())
        except (TimeoutError, aiohttp.ClientError) as error:
            raise exceptions.PlatformError(
                f"reading {kind}/{name} failed ({type(error).__name__})",
                "the call is repeated with backoff",
            ) from error

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Reads the list of instances.

        Returns:
          The entries.

        Raises:
          PlatformError: The platform did not answer.
        """
        self.call_counts["list_instances"] += 1
        url = f"{self._base_url}/instances"
        try:
            async with self._session.get(url) as response:
                response.raise_for_status()
                body = await response.read()
            return msgspec.json.decode(body, type=_InstanceList).instances
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as e:
            raise exceptions.PlatformError(
                f"reading the list of instances failed ({type(e).__name__})",
                "the call is repeated with backoff",
            ) from e


def _decode(body: bytes) -> Object:
    return msgspec.json.decode(body, type=Object)
