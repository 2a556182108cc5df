"""Settings file of the daemon."""

from collections.abc import Iterator
import re
from typing import Annotated
from typing import Any

import pydantic
from pydantic import dataclasses

from lycheerock_model import addresses
from lycheerock_model import bundle
from lycheerock_model import documents
from lycheerock_model import exceptions
from lycheerock_model import json_text

Secret = Annotated[pydantic.SecretStr, pydantic.Field(min_length=16)]
Seconds = Annotated[float, pydantic.Field(ge=0.0, le=3_600.0, strict=True)]


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Peer:
    """Another instance that may be contacted at startup."""

    instance_id: bundle.Name
    peer_address: bundle.Address
    region: bundle.Name
    zone: bundle.Name


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Settings:
    """Settings of one daemon process.

    Attributes:
      instance_id: Name of the instance, stable across restarts.
      region: Region of the instance.
      zone: Availability zone of the instance.
      caller_address: Address of the HTTP interface for callers.
      peer_address: Address of the gRPC interface for other instances.
      operator_address: Address of the HTTP interface for operators.
      operator_token: Bearer token that operators present.
      platform_address: Address of the platform's object API.
      peers: Instances to contact at startup.
      balancer_notice_s: Time for the load balancer to notice a shutdown.
      grace_limit_s: Maximum duration of a graceful shutdown.
      log_level: Lowest severity that is logged.
    """

    instance_id: bundle.Name
    region: bundle.Name
    zone: bundle.Name
    caller_address: bundle.ListenAddress
    peer_address: bundle.Address
    operator_address: bundle.ListenAddress
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
      DocumentError: The settings are invalid; the error lists every fault.
    """
    document = json_text.parse_json("settings", text)
    settings, faults = check(document)
    if settings is None:
        raise exceptions.DocumentError("settings", faults)
    return settings


def check(
    document: Any,
) -> tuple[Settings | None, tuple[exceptions.Fault, ...]]:
    """Checks parsed settings.

    Args:
      document: The parsed JSON value.

    Returns:
      The settings and no faults, or None and every fault.
    """
    settings, faults = documents.check(Settings, document)
    if isinstance(document, dict):
        faults += tuple(_cross_field_faults(document))
    return (None, faults) if faults else (settings, ())


def _cross_field_faults(document: dict[str, Any]) -> Iterator[exceptions.Fault]:
    """Checks values against each other, even if other values are invalid."""
    peers = documents.indexed_objects(document.get("peers"))
    yield from _token_faults(document.get("operator_token"))
    values = {key: document.get(key) for key in _ADDRESS_KEYS}
    for index, peer in peers:
        values[f"peers.{index}.peer_address"] = peer.get("peer_address")
    yield from addresses.find_duplicates(values)
    yield from _wildcard_faults(document)
    for index, peer in peers:
        if peer.get("instance_id") == document.get("instance_id"):
            yield exceptions.Fault(
                f"peers.{index}.instance_id",
                "refers to this instance",
                "list only other instances",
            )
    ids = [(f"peers.{i}.instance_id", p.get("instance_id")) for i, p in peers]
    yield from documents.find_duplicates(ids, "list each peer once")


_ADDRESS_KEYS = (
    "caller_address",
    "peer_address",
    "operator_address",
    "platform_address",
)


def _wildcard_faults(document: dict[str, Any]) -> Iterator[exceptions.Fault]:
    """Finds wildcard listen addresses whose port is used by another server."""
    values = [(key, document.get(key)) for key in _ADDRESS_KEYS[:3]]
    endpoints = [
        (key, addresses.parse(text))
        for key, text in values
        if isinstance(text, str)
    ]
    for key, endpoint in endpoints:
        if endpoint is None or not endpoint[0].is_unspecified:
            continue
        for other_key, other in endpoints:
            if other and other != endpoint and other[1] == endpoint[1]:
                yield exceptions.Fault(
                    key,
                    f"listens on all addresses at the port of {other_key}",
                    "give each server its own port",
                )


def _token_faults(token: Any) -> Iterator[exceptions.Fault]:
    if isinstance(token, str) and not _TOKEN.fullmatch(token):
        yield exceptions.Fault(
            "operator_token",
            "contains characters that are not allowed in a header",
            "use only letters, digits and -._~+/=",
        )


_TOKEN = re.compile(r"[A-Za-z0-9\-._~+/=]*")
