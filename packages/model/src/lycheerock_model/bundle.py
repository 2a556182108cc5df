"""The settings bundle: services, shards, targets and callers."""

import enum
from typing import Annotated

import pydantic
from pydantic import dataclasses
import pydantic_core

from lycheerock_model import addresses
from lycheerock_model import documents


def _check_listen_address(text: str) -> str:
    """Validates a listen address, which may be unspecified (0.0.0.0).

    Raises:
      PydanticCustomError: The text is not an IP address with a port.
    """
    if addresses.parse(text) is None:
        raise pydantic_core.PydanticCustomError(
            "address", "not an IP address with a port from 1 to 65535"
        )
    return text


def _check_remote_address(text: str) -> str:
    """Validates an address that clients connect to.

    Raises:
      PydanticCustomError: The text is not an IP address with a port, or the
        address is unspecified.
    """
    endpoint = addresses.parse(_check_listen_address(text))
    if endpoint is not None and endpoint[0].is_unspecified:
        raise pydantic_core.PydanticCustomError(
            "address", "clients cannot connect to an unspecified address"
        )
    return text


Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, pydantic.AfterValidator(_check_remote_address)]
ListenAddress = Annotated[str, pydantic.AfterValidator(_check_listen_address)]
Sha256Hex = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
Ratio = Annotated[float, pydantic.Field(ge=0.0, le=1.0, strict=True)]
PositiveInt = Annotated[int, pydantic.Field(ge=1, strict=True)]
DurationMs = Annotated[int, pydantic.Field(ge=1, le=600_000, strict=True)]

DEADLINE_DEFAULT_MS = 1_000
DEADLINE_MAX_MS = 30_000


class Priority(enum.StrEnum):
    """What has priority in a service when shards fail to answer.

    With COVERAGE, failed shards are retried until the deadline. With LATENCY, a
    shard is given up as soon as it cannot be retried at another replica.
    """

    LATENCY = "latency"
    COVERAGE = "coverage"


class DispatchMode(enum.StrEnum):
    """How instances share the slots of a target.

    With OWNER, requests go through the instance that owns the target, which may
    use all slots. With DIRECT, each instance sends its own requests and uses an
    equal share of the slots.
    """

    OWNER = "owner"
    DIRECT = "direct"


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Target:
    """One back-end server.

    Attributes:
      target_id: Unique name within the bundle.
      address: IP address and port.
      region: Region of the target.
      zone: Availability zone of the target.
      slot_count: Number of requests that the target runs concurrently.
      connection_limit: Maximum number of connections from all instances.
    """

    target_id: Name
    address: Address
    region: Name
    zone: Name
    slot_count: PositiveInt
    connection_limit: PositiveInt


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Shard:
    """One shard and the targets that hold a replica of it."""

    shard_id: Name
    target_ids: Annotated[tuple[Name, ...], pydantic.Field(min_length=1)]


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class ShardMap:
    """A versioned partition of a service's data into shards."""

    shard_map_version: PositiveInt
    shards: Annotated[tuple[Shard, ...], pydantic.Field(min_length=1)]


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Service:
    """A service: its targets, its shard maps and its policy.

    Attributes:
      name: Unique name within the bundle.
      weighs: Whether latency or coverage has priority.
      targets: The service's targets.
      shard_maps: One shard map, or two during a repartition.
      coverage_min_ratio: Minimum fraction of shards that an answer must cover.
      partial_allowed: Whether an answer may be incomplete.
      deadline_default_ms: Deadline of a request that does not set one.
      deadline_max_ms: Longest deadline that a caller may request.
      reply_size_max_bytes: Largest reply accepted from a target.
      hedge_ratio: Hedges and retries allowed per first attempt.
    """

    name: Name
    weighs: Priority
    targets: Annotated[tuple[Target, ...], pydantic.Field(min_length=1)]
    shard_maps: Annotated[
        tuple[ShardMap, ...], pydantic.Field(min_length=1, max_length=2)
    ]
    coverage_min_ratio: Ratio = 0.0
    partial_allowed: pydantic.StrictBool = True
    deadline_default_ms: DurationMs = DEADLINE_DEFAULT_MS
    deadline_max_ms: DurationMs = DEADLINE_MAX_MS
    reply_size_max_bytes: PositiveInt = 1_048_576
    hedge_ratio: Ratio = 0.05


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Caller:
    """A client application and the services that it may call.

    Attributes:
      name: Unique name within the bundle.
      token_sha256: SHA-256 hash of the caller's bearer token.
      service_names: Names of the services.
    """

    name: Name
    token_sha256: Sha256Hex
    service_names: tuple[Name, ...]


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Bundle:
    """One numbered, immutable version of all operator settings.

    Attributes:
      number: Bundle number; later bundles have higher numbers.
      author: Operator who proposed it.
      instance_count_max: Maximum number of concurrent instances; each target's
        connection limit is divided by it.
      services: All services.
      callers: All callers.
      dispatch_mode: How instances share the slots of a target.
    """

    number: Annotated[int, pydantic.Field(ge=0, strict=True)]
    author: Name
    instance_count_max: PositiveInt
    services: tuple[Service, ...]
    callers: tuple[Caller, ...]
    dispatch_mode: DispatchMode = DispatchMode.OWNER
