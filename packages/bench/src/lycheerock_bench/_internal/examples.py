"""Generates the bundles and settings in the examples directory."""

from collections.abc import Iterator
import hashlib
import json
import pathlib
from typing import Any

from lycheerock_bench._internal import deployments

_Shape = deployments.ServiceShape

INSTANCE_COUNT = 5
REPLICA_COUNT = 2
PLATFORM_ADDRESS = "127.0.0.1:18000"
FIRST_TARGET_PORT = 20_000
FIRST_INSTANCE_PORT = 18_200

SMALL_SHARD_COUNT = 12
LARGE_SHARD_COUNT = 24
FAN_OUT = 980

# Targets are assigned to zones in round-robin order, and the two replicas of a
# shard are on consecutive targets. With six zones, replicas are in different
# zones in services of 3, 6 and 980 targets; with five, the first and the last
# of 6 targets would share a zone.
TABLEE_ZONES = [
    ("montreal", "montreal-a"),
    ("quebec", "quebec-a"),
    ("outaouais", "outaouais-a"),
    ("montreal", "montreal-b"),
    ("quebec", "quebec-b"),
    ("outaouais", "outaouais-b"),
]
HERRAJES_ZONES = [
    ("altiplano", "altiplano-a"),
    ("costa-sur", "costa-sur-a"),
    ("oriente", "oriente-a"),
    ("altiplano", "altiplano-b"),
    ("costa-sur", "costa-sur-b"),
    ("oriente", "oriente-b"),
]


def write(directory: pathlib.Path) -> None:
    """Writes all examples.

    Args:
      directory: Parent directory of `bundles` and `settings`.
    """
    for name, bundle in (
        ("tablee", tablee()),
        ("herrajes", herrajes()),
        ("fan-out", fan_out()),
    ):
        _write(directory / "bundles" / f"{name}.json", bundle)
    _write(directory / "settings" / "instance.json", settings())


def tablee() -> dict[str, Any]:
    """Returns `tablee.json`: 27 services that prefer fast partial answers."""
    shapes = [
        *_numbered_shapes("guest-portal", "latency", 10, (3, 30)),
        *_numbered_shapes("member-dues", "latency", 15, (3, 30)),
        _shape("host-desk", "latency", (6, LARGE_SHARD_COUNT), (4, 100)),
        _shape("inspection-log", "latency", (3, SMALL_SHARD_COUNT), (4, 100)),
    ]
    # A slow search can cost a booking, so a partial answer in time is better
    # than a complete one that is late.
    policy = {"coverage_min_ratio": 0.8, "partial_allowed": True}
    callers = {
        "guest-site": ["guest-portal"],
        "member-site": ["member-dues"],
        "host-site": ["guest-portal", "host-desk", "inspection-log"],
    }
    return _bundle(shapes, TABLEE_ZONES, policy, callers)


def herrajes() -> dict[str, Any]:
    """Returns `herrajes.json`: 27 services that require complete answers."""
    shapes = [
        *_numbered_shapes("ronda-app", "coverage", 10, (2, 25)),
        *_numbered_shapes("cobros", "coverage", 15, (2, 25)),
        _shape("agenda", "coverage", (3, SMALL_SHARD_COUNT), (6, 50)),
        _shape("avisos", "coverage", (3, SMALL_SHARD_COUNT), (6, 50)),
    ]
    # A dispatcher who misses an open visit plans the wrong route, so answers
    # must be complete.
    policy = {"coverage_min_ratio": 1.0, "partial_allowed": False}
    callers = {
        "dispatch-desk": ["ronda-app", "agenda"],
        "billing": ["cobros"],
        "notices": ["avisos", "agenda"],
    }
    return _bundle(shapes, HERRAJES_ZONES, policy, callers)


def fan_out() -> dict[str, Any]:
    """Returns the bundle of a single service with the largest fan-out."""
    shapes = [_shape("leaves", "latency", (FAN_OUT, FAN_OUT), (3, 30))]
    policy = {"coverage_min_ratio": 0.9, "partial_allowed": True}
    return _bundle(shapes, TABLEE_ZONES, policy, {"reader": ["leaves"]})


def settings() -> dict[str, Any]:
    """Returns the settings of one instance, with all others as its peers."""
    documents = deployments.build_settings(
        INSTANCE_COUNT, TABLEE_ZONES, FIRST_INSTANCE_PORT, PLATFORM_ADDRESS
    )
    return documents[0]


def _numbered_shapes(
    name: str, weighs: str, count: int, limits: tuple[int, int]
) -> list[_Shape]:
    return [
        _shape(f"{name}-{n:02}", weighs, (3, SMALL_SHARD_COUNT), limits)
        for n in range(1, count + 1)
    ]


def _shape(
    name: str, weighs: str, sizes: tuple[int, int], limits: tuple[int, int]
) -> _Shape:
    """Builds a shape from (targets, shards) and (slots, connections)."""
    return _Shape(name, weighs, *sizes, REPLICA_COUNT, *limits)


def _bundle(
    shapes: list[_Shape],
    zones: list[tuple[str, str]],
    policy: dict[str, Any],
    callers: dict[str, list[str]],
) -> dict[str, Any]:
    bundle = deployments.build_bundle(
        shapes, zones, FIRST_TARGET_PORT, INSTANCE_COUNT
    )
    for service in bundle["services"]:
        service.update(policy)
    names = [shape.name for shape in shapes]
    bundle["callers"] = [
        {
            "name": caller,
            "token_sha256": hashlib.sha256(
                caller_token(caller).encode()
            ).hexdigest(),
            "service_names": [
                name for name in names if name.startswith(tuple(prefixes))
            ],
        }
        for caller, prefixes in callers.items()
    ]
    return bundle


def caller_token(caller: str) -> str:
    """Returns the token of an example caller."""
    return f"example-token-of-{caller}"


def _write(path: pathlib.Path, document: Any) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    text = "".join(_format(document, ""))
    path.write_text(text + "\n", encoding="utf-8")


def _format(value: Any, indent: str) -> Iterator[str]:
    """Yields JSON text with one line per target and per shard."""
    if not isinstance(value, dict | list) or not _has_objects(value):
        yield json.dumps(value, ensure_ascii=False)
        return
    inner_indent = indent + "  "
    is_dict = isinstance(value, dict)
    yield "{" if is_dict else "["
    for index, item in enumerate(value):
        yield f"{',' if index else ''}\n{inner_indent}"
        if is_dict:
            yield f"{json.dumps(item)}: "
        yield from _format(value[item] if is_dict else item, inner_indent)
    yield f"\n{indent}{'}' if is_dict else ']'}"


def _has_objects(value: dict[str, Any] | list[Any]) -> bool:
    items = value.values() if isinstance(value, dict) else value
    return any(
        isinstance(item, dict)
        or (isinstance(item, list) and _has_objects(item))
        for item in items
    )
