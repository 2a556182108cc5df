"""Settings of a gateway instance."""

import dataclasses
import importlib
from typing import Annotated
from typing import Any
from typing import get_type_hints

import msgspec

from lycheerock_model import addresses
from lycheerock_model import exceptions
from lycheerock_model import json_text

INTERFACE = "gateway"

Label = Annotated[str, msgspec.Meta(min_length=1, max_length=253)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3_600.0)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0.0, le=3_600_000.0)]
Address = Annotated[str, "address"]

_ADDRESS_REMEDY = "write an IP address and a port, such as 10.0.0.1:9000"


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    Attributes:
      interface: Always "gateway"; identifies the kind of settings file.
      instance_id: Name of the instance, stable across restarts.
      zone: Availability zone of the instance.
      region_by_zone: Region of each availability zone.
      caller_address: Address of the HTTP interface for callers.
      readiness_address: Address of the load balancer's readiness endpoint.
      operator_address: Address of the metrics and state dump endpoints.
      feed_address: Address at which other instances subscribe to what this one
        has read from the store.
      platform_address: Address of the platform's store.
      seed_addresses: Feed addresses of some instances, used at startup if the
        store does not answer. They may be out of date.
      grace_limit_s: Time between SIGTERM and the forced end of the process.
      stable_window_ms: Time within which an instance must be back within its
        bounds after a disturbance; also limits how long a stalled watch goes
        undetected.
      retry_ratio: Retries and hedges allowed per request to a service, over all
        instances.
      retry_allowance_count: Retries and hedges allowed per service on top of
        the ratio, over all instances.
      drain_ms: Time after a target has announced in a response that it is
        leaving from which on no request may reach it. Until then it is used if
        its service has no other target; 0 means not at all.
      quota_window_s: Period over which the caps of workspaces are checked; None
        if the platform states none.
      quota_overshoot_ratio: Share by which a workspace may exceed its cap in
        that period, over all instances.
      quota_slack_count: Requests by which it may exceed its cap on top.
      learn_target_capacity: Whether capacities of targets are learned where the
        configuration does not call for it.
      pinned_capacity: Number of concurrent requests that a target is taken to
        handle well, by target id or service.
      zones_may_be_evacuated: Whether operators evacuate availability zones
        through the store, so that it must be asked for evacuations.
      memory_mb: Memory of the machine, from which limits on callers follow.
      fds_max: Maximum number of open descriptors, or 0 for that of the process.
      instance_count_assumed: Number of instances assumed to share limits until
        the store provides the actual number.
      cpu_share: Share of each processor core that the process may use.
      cores: Number of processor cores. The product with `cpu_share` is the
        weight by which work for other instances is distributed.
      log_level: Lowest severity that is logged.
    """

    interface: Annotated[str, msgspec.Meta(pattern=f"^{INTERFACE}$")]
    instance_id: Label
    zone: Label
    region_by_zone: dict[str, str]
    caller_address: Address
    readiness_address: Address
    operator_address: Address
    feed_address: Address
    platform_address: Address
    seed_addresses: tuple[Address, ...] = ()
    grace_limit_s: Seconds = 6.0
    stable_window_ms: Milliseconds = 5_000.0
    retry_ratio: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.2
    retry_allowance_count: Annotated[float, msgspec.Meta(ge=0.0)] = 10.0
    drain_ms: Annotated[float, msgspec.Meta(ge=0.0, le=3_600_000.0)] = 0.0
    quota_window_s: (
        Annotated[float, msgspec.Meta(gt=0.0, le=3_600.0)] | None
    ) = None
    quota_overshoot_ratio: Annotated[float, msgspec.Meta(ge=0.0, le=10.0)] = 0.0
    quota_slack_count: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    learn_target_capacity: bool = False
    pinned_capacity: dict[str, Annotated[float, msgspec.Meta(ge=1.0)]] = (
        dataclasses.field(default_factory=dict)
    )
    zones_may_be_evacuated: bool = False
    memory_mb: Annotated[float, msgspec.Meta(gt=0.0)] = 300.0
    fds_max: Annotated[int, msgspec.Meta(ge=0)] = 0
    instance_count_assumed: Annotated[int, msgspec.Meta(ge=1)] = 8
    cpu_share: Annotated[float, msgspec.Meta(gt=0.0)] = 1.0
    cores: Annotated[float, msgspec.Meta(gt=0.0)] = 1.0
    log_level: Annotated[
        str, msgspec.Meta(pattern="^(debug|info|warning|error)$")
    ] = "info"


def is_gateway(document: Any) -> bool:
    """Returns whether parsed settings are those of a gateway."""
    return isinstance(document, dict) and document.get("interface") == INTERFACE


def check(document: Any) -> GatewaySettings:
    """Checks parsed settings.

    Args:
      document: The parsed JSON value.

    Returns:
      The settings.

    Raises:
      DocumentError: The document is invalid; the error lists every fault.
    """
    if not isinstance(document, dict):
        fault = exceptions.Fault(
            "(document)", "not an object", "write a JSON object"
        )
        raise exceptions.DocumentError("settings", (fault,))
    values, faults = _convert(document)
    faults += _unknown_key_faults(document)
    if faults:
        raise exceptions.DocumentError("settings", tuple(faults))
    return GatewaySettings(**values)


def _convert(
    document: dict[str, Any],
) -> tuple[dict[str, Any], list[exceptions.Fault]]:
    """Converts each key separately, so that one fault does not hide others.

    Pydantic is not used here, because importing it would take a quarter of the
    time allowed for replacing a lost instance.
    """
    values: dict[str, Any] = {}
    faults: list[exceptions.Fault] = []
    hints = get_type_hints(GatewaySettings, include_extras=True)
    for field in dataclasses.fields(GatewaySettings):
        if field.name not in document:
            has_default = (
                field.default is not dataclasses.MISSING
                or field.default_factory is not dataclasses.MISSING
            )
            if not has_default:
                faults.append(
                    exceptions.Fault(field.name, "missing", "add the key")
                )
            continue
        value = document[field.name]
        try:
            values[field.name] = msgspec.convert(value, hints[field.name])
        except msgspec.ValidationError as error:
            # Only faults need this module, and each import delays the start.
            remedies = importlib.import_module("lycheerock_model.remedies")
            remedy = remedies.for_type(field.name)
            faults.append(exceptions.Fault(field.name, str(error), remedy))
    faults.extend(_address_faults(values))
    return values, faults


def _address_faults(values: dict[str, Any]) -> list[exceptions.Fault]:
    texts = {k: v for k, v in values.items() if k.endswith("_address")}
    for number, address in enumerate(values.get("seed_addresses", ())):
        texts[f"seed_addresses.{number}"] = address
    return [
        exceptions.Fault(path, f"{text!r} is not an address", _ADDRESS_REMEDY)
        for path, text in texts.items()
        if addresses.parse(text) is None
    ]


def _unknown_key_faults(document: dict[str, Any]) -> list[exceptions.Fault]:
    known = [field.name for field in dataclasses.fields(GatewaySettings)]
    faults: list[exceptions.Fault] = []
    unknown = document.keys() - set(known)
    if not unknown:
        return faults
    # Only faults need this module, and each import delays the start.
    difflib = importlib.import_module("difflib")
    for key in unknown:
        close = difflib.get_close_matches(key, known, n=1)
        remedy = f"write it as {close[0]}" if close else "remove the key"
        faults.append(exceptions.Fault(key, "unknown key", remedy))
    return sorted(faults, key=lambda fault: fault.path)


def load(text: bytes) -> GatewaySettings:
    """Parses and checks a settings file; see `check`."""
    return check(json_text.parse_json("settings", text))
