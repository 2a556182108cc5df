"""Decodes the operators' configuration, as stored on the platform."""

from collections.abc import Mapping
from typing import Annotated
from typing import Any

import msgspec

from lycheerock._internal.routing import table
from lycheerock._internal.workspaces import directory
from lycheerock_model import exceptions

OBJECT_KIND = "config"
OBJECT_NAME = "main"
_TENANTS = "tenants"

# Names of workspaces are sent to targets in a header, so control characters,
# blanks at the ends and text that UTF-8 cannot encode are not accepted.
_EDGE = r"[^\x00-\x20\x7f\ud800-\udfff]"
_HeaderText = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"\A{_EDGE}([^\x00-\x1f\x7f\ud800-\udfff]*{_EDGE})?\Z",
        max_length=253,
    ),
]
_NotNegative = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
# JSON sets no limit on numbers. Larger ones than these overflow the types in
# which limits are computed, after parts of the gateway have applied them.
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
_SizeBytes = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
_Version = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
_Rank = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]

# A day at most: a time out of range would fail only when a timer is set.
_Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=86_400_000.0)]


class _WireSplit(msgspec.Struct):
    service: str
    weight: _NotNegative


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    # "safe" means idempotent; any other kind is treated as non-idempotent.
    kind: str
    timeout_ms: _Milliseconds
    slo_ms: _Milliseconds
    max_attempts: _Count = 1
    service: str | None = None
    split: list[_WireSplit] | None = None
    gather: list[str] | None = None
    top_k: _Count = 0
    min_shard_share: _NotNegative = 0.0
    # Regions whose targets may get the requests; all regions if it is empty.
    allowed_regions: list[str] = []
    public: bool = False
    priority: _Rank = 0


class _WireTenant(msgspec.Struct):
    name: _HeaderText
    api_keys: list[str] = []
    priority: _Rank | None = None
    # 0 sets no cap.
    rate_per_s: _NotNegative = 0.0
    burst: _NotNegative = 0.0
    allowed_regions: list[str] = []


class _WireService(msgspec.Struct):
    name: str
    # Maximum number of connections to a target from all instances together.
    max_conns: _Count
    # Requests per second that a target accepts while it is cold; 0 sets no
    # limit.
    warmup_per_s: _NotNegative = 0.0


class _WireLimits(msgspec.Struct):
    # Maximum size of the request line and of each header.
    max_header_bytes: _SizeBytes = 16_384
    max_body_bytes: _SizeBytes = 262_144
    idle_timeout_ms: _Milliseconds = 15_000.0
    # 0 sets no limit.
    header_timeout_ms: _Milliseconds = 3_000.0


class _WireConfiguration(msgspec.Struct):
    version: _Version
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireTenant] = []


def decode(spec: Any) -> table.RouteTable:
    """Decodes a configuration.

    Args:
      spec: Content of the stored object.

    Returns:
      The route table.

    Raises:
      DocumentError: The content is not a valid configuration.
    """
    try:
        wire = msgspec.convert(spec, _WireConfiguration)
    except msgspec.ValidationError as error:
        fault = exceptions.Fault(
            f"{OBJECT_KIND}/{OBJECT_NAME}",
            str(error),
            "write a valid configuration",
        )
        raise exceptions.DocumentError(
            f"{OBJECT_KIND}/{OBJECT_NAME}", (fault,)
        ) from error
    return table.RouteTable(
        wire.version,
        tuple(_decode_route(route) for route in wire.routes),
        {service.name: service.max_conns for service in wire.services},
        table.CallerLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.idle_timeout_ms / 1000,
            wire.limits.header_timeout_ms / 1000,
        ),
        {
            service.name: service.warmup_per_s
            for service in wire.services
            if service.warmup_per_s > 0.0
        },
        directory.build(
            (_decode_tenant(tenant) for tenant in wire.tenants), wire.version
        ),
    )


def lists_workspaces(kind: str, objects: Mapping[str, Any] | None) -> bool:
    """Returns whether stored objects are a configuration with workspaces.

    Args:
      kind: Kind of the objects.
      objects: Content of the objects by name, or None.
    """
    if kind != OBJECT_KIND or not objects:
        return False
    spec = objects.get(OBJECT_NAME)
    return isinstance(spec, dict) and bool(spec.get(_TENANTS))


def _decode_tenant(
    wire: _WireTenant,
) -> tuple[directory.Workspace, list[str]]:
    workspace = directory.Workspace(
        wire.name,
        wire.priority,
        wire.rate_per_s,
        wire.burst,
        frozenset(wire.allowed_regions),
    )
    return workspace, wire.api_keys


def _decode_route(wire: _WireRoute) -> table.Route:
    scatter = None
    services: tuple[table.WeightedService, ...] = ()
    if wire.gather is not None:
        scatter = table.ScatterRule(
            tuple(wire.gather), wire.top_k, wire.min_shard_share
        )
    elif wire.split:
        services = tuple(
            table.WeightedService(weighted.service, weighted.weight)
            for weighted in wire.split
        )
    elif wire.service is not None:
        services = (table.WeightedService(wire.service, 1.0),)
    return table.Route(
        wire.name,
        wire.host.lower(),
        wire.path_prefix,
        wire.kind == "safe",
        wire.timeout_ms / 1000,
        wire.slo_ms / 1000,
        max(1, wire.max_attempts),
        services,
        scatter,
        frozenset(wire.allowed_regions),
        wire.public,
        wire.priority,
    )
