"""The daemon's own settings file."""

import collections
from collections.abc import Iterator
from typing import Annotated

import pydantic
from pydantic import dataclasses

from lycheerock_model import bundle
from lycheerock_model import documents
from lycheerock_model import exceptions

Port = Annotated[int, pydantic.Field(ge=1, le=65_535)]
Secret = Annotated[pydantic.SecretStr, pydantic.Field(min_length=16)]
Seconds = Annotated[float, pydantic.Field(ge=0.0, le=3_600.0)]


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Peer:
    """Another instance that this one may contact first."""

    instance_id: bundle.Name
    peer_address: bundle.Address
    region: bundle.Name
    zone: bundle.Name


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Settings:
    """Settings of one daemon process.

    Attributes:
      instance_id: Name of the instance, kept over restarts.
      region: Region of the instance.
      zone: Availability zone of the instance.
      caller_address: Address of the HTTP interface for callers.
      peer_address: Address of the gRPC interface for other instances.
      operator_address: Address of the HTTP interface for operators.
      operator_token: Bearer token that operators present.
      platform_address: Address of the platform's object API.
      peers: Instances to contact first.
      balancer_notice_s: Time given to the balancer to notice a planned stop.
      grace_limit_s: Longest time that a planned stop may take.
      log_level: Least severe level that is logged.
    """

    instance_id: bundle.Name
    region: bundle.Name
    zone: bundle.Name
    caller_address: bundle.Address
    peer_address: bundle.Address
    operator_address: bundle.Address
    operator_token: Secret
    platform_address: bundle.Address
    peers: tuple[Peer, ...] = ()
    balancer_notice_s: Seconds = 2.0
    grace_limit_s: Seconds = 30.0
    log_level: Annotated[
        str, pydantic.Field(pattern="^(debug|info|warning|error)$")
    ] = "info"


def load(text: bytes) -> Settings:
    """Parses and checks a settings file.

    Args:
      text: The file's content as JSON.

    Returns:
      The checked settings.

    Raises:
      DocumentError: The text has faults; the error lists all of them.
    """
    document = documents.parse_json("settings", text)
    settings, faults = documents.check(Settings, document)
    if settings is not None:
        faults = tuple(_address_faults(settings))
    if settings is None or faults:
        raise exceptions.DocumentError("settings", faults)
    return settings


def _address_faults(settings: Settings) -> Iterator[exceptions.Fault]:
    own = {
        "caller_address": settings.caller_address,
        "peer_address": settings.peer_address,
        "operator_address": settings.operator_address,
        "platform_address": settings.platform_address,
    }
    counts = collections.Counter(own.values())
    for key, address in own.items():
        if counts[address] > 1:
            yield exceptions.Fault(
                key,
                f"{address} is used twice",
                "give each interface its own port",
            )
    for index, peer in enumerate(settings.peers):
        if peer.instance_id == settings.instance_id:
            yield exceptions.Fault(
                f"peers.{index}.instance_id",
                "names this instance itself",
                "list only other instances",
            )
