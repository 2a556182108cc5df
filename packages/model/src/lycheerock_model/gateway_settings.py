"""Settings of an instance that serves callers by routes."""

from typing import Annotated
from typing import Any

import pydantic
from pydantic import dataclasses

from lycheerock_model import bundle
from lycheerock_model import documents
from lycheerock_model import exceptions

INTERFACE = "gateway"

Label = Annotated[str, pydantic.Field(min_length=1, max_length=253)]
Seconds = Annotated[float, pydantic.Field(ge=0.0, le=3_600.0, strict=True)]
Milliseconds = Annotated[float, pydantic.Field(gt=0.0, le=3_600_000.0)]


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class GatewaySettings:
    """Settings of one gateway process.

    Attributes:
      interface: Always "gateway"; tells this file from other settings.
      instance_id: Name of the instance, kept over restarts.
      zone: Availability zone of the instance.
      region_by_zone: Region of each availability zone.
      caller_address: Address of the HTTP interface for callers.
      readiness_address: Address that the balancer asks for readiness.
      operator_address: Address of metrics and the state dump.
      platform_address: Address of the platform's store.
      grace_limit_s: Time between SIGTERM and the forced end of the process.
      stable_window_ms: Time after which an instance that was disturbed must
        keep the bounds again; it limits how long a watch may hang unnoticed.
      retry_ratio: Repeated requests that a service may get for each request,
        from all instances.
      retry_allowance_count: Repeated requests on top, for each service.
      instance_count_assumed: Instances that share limits until the store has
        told how many there are.
      log_level: Least severe level that is logged.
    """

    interface: Annotated[str, pydantic.Field(pattern=f"^{INTERFACE}$")]
    instance_id: Label
    zone: Label
    region_by_zone: dict[str, str]
    caller_address: bundle.ListenAddress
    readiness_address: bundle.ListenAddress
    operator_address: bundle.ListenAddress
    platform_address: bundle.Address
    grace_limit_s: Seconds = 6.0
    stable_window_ms: Milliseconds = 5_000.0
    retry_ratio: Annotated[float, pydantic.Field(ge=0.0, le=1.0)] = 0.2
    retry_allowance_count: Annotated[float, pydantic.Field(ge=0.0)] = 10.0
    instance_count_assumed: bundle.Positive = 8
    log_level: Annotated[
        str, pydantic.Field(pattern="^(debug|info|warning|error)$")
    ] = "info"


def is_gateway(document: Any) -> bool:
    """Whether parsed settings are those of a gateway."""
    return isinstance(document, dict) and document.get("interface") == INTERFACE


def check(document: Any) -> GatewaySettings:
    """Checks parsed settings.

    Args:
      document: The parsed JSON value.

    Returns:
      The settings.

    Raises:
      DocumentError: The document has faults; the error lists all of them.
    """
    settings, faults = documents.check(GatewaySettings, document)
    if settings is None:
        raise exceptions.DocumentError("settings", faults)
    return settings


def load(text: bytes) -> GatewaySettings:
    """Parses and checks a settings file; see `check`."""
    return check(documents.parse_json("settings", text))
