"""Builds bundles and instance settings for local deployments."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib
from typing import Any

CALLER_TOKEN = "caller-token-for-local-runs"
OPERATOR_TOKEN = "operator-token-for-local-runs"


@dataclasses.dataclass(frozen=True)
class ServiceShape:
    """Targets, shards and limits of one service.

    Attributes:
      name: Service name.
      weighs: The `weighs` setting of the service: latency or coverage.
      target_count: Number of targets.
      shard_count: Number of shards.
      replica_count: Number of targets per shard.
      slot_count: Number of slots per target.
      connection_limit: Connection limit per target.
    """

    name: str
    weighs: str
    target_count: int
    shard_count: int
    replica_count: int
    slot_count: int
    connection_limit: int


def build_bundle(
    shapes: list[ServiceShape],
    zones: list[tuple[str, str]],
    first_port: int,
    instance_count_max: int,
) -> dict[str, Any]:
    """Builds a bundle whose targets listen on consecutive loopback ports.

    Args:
      shapes: The services.
      zones: Pairs of region and zone, assigned to targets in round-robin order.
      first_port: Port of the first target.
      instance_count_max: Maximum number of instances that run at once.

    Returns:
      The bundle as a JSON value.
    """
    services = []
    port = first_port
    for shape in shapes:
        services.append(_build_service(shape, zones, port))
        port += shape.target_count
    return {
        "number": 1,
        "author": "local-operator",
        "instance_count_max": instance_count_max,
        "services": services,
        "callers": [
            {
                "name": "local-caller",
                "token_sha256": hashlib.sha256(
                    CALLER_TOKEN.encode()
                ).hexdigest(),
                "service_names": [shape.name for shape in shapes],
            }
        ],
    }


def _build_service(
    shape: ServiceShape, zones: list[tuple[str, str]], first_port: int
) -> dict[str, Any]:
    targets = []
    for index in range(shape.target_count):
        region, zone = zones[index % len(zones)]
        targets.append(
            {
                "target_id": f"{shape.name}-t{index}",
                "address": f"127.0.0.1:{first_port + index}",
                "region": region,
                "zone": zone,
                "slot_count": shape.slot_count,
                "connection_limit": shape.connection_limit,
            }
        )
    shards = [
        {
            "shard_id": f"s{index}",
            "target_ids": [
                f"{shape.name}-t{(index + replica) % shape.target_count}"
                for replica in range(shape.replica_count)
            ],
        }
        for index in range(shape.shard_count)
    ]
    return {
        "name": shape.name,
        "weighs": shape.weighs,
        "targets": targets,
        "shard_maps": [{"shard_map_version": 1, "shards": shards}],
    }


def build_settings(
    count: int, zones: list[tuple[str, str]], first_port: int, platform: str
) -> list[dict[str, Any]]:
    """Builds the settings of `count` instances on the loopback interface.

    Args:
      count: Number of instances.
      zones: Pairs of region and zone, assigned to instances in round-robin
        order.
      first_port: Port of the first instance; each instance uses three ports.
      platform: Address of the platform.

    Returns:
      One settings document per instance.
    """
    instances: list[dict[str, Any]] = []
    for index in range(count):
        region, zone = zones[index % len(zones)]
        port = first_port + 3 * index
        instances.append(
            {
                "instance_id": f"i{index}",
                "region": region,
                "zone": zone,
                "caller_address": f"127.0.0.1:{port}",
                "peer_address": f"127.0.0.1:{port + 1}",
                "operator_address": f"127.0.0.1:{port + 2}",
                "operator_token": OPERATOR_TOKEN,
                "platform_address": platform,
            }
        )
    keys = ("instance_id", "peer_address", "region", "zone")
    for settings in instances:
        settings["peers"] = [
            {key: other[key] for key in keys}
            for other in instances
            if other is not settings
        ]
    return instances


def build_lycheectl_config(
    settings: Iterable[Mapping[str, Any]], operator: str
) -> dict[str, Any]:
    """Builds a configuration file of lycheectl.

    Args:
      settings: Settings of the instances.
      operator: Name of the operator.

    Returns:
      The configuration as a JSON value.
    """
    return {
        "instances": {
            instance["instance_id"]: instance["operator_address"]
            for instance in settings
        },
        "token": OPERATOR_TOKEN,
        "operator": operator,
    }
