"""Builds the bundles and settings under examples/."""

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

# Targets go round-robin over the zones, and the two replicas of a shard are on
# neighbours. Six zones keep them apart in services of 3, 6 and 980 targets;
# with five, the last and the first of 6 targets would share a zone.
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
      directory: Directory that gets `bundles` and `settings`.
    """
    for name, bundle in (
        ("tablee", tablee()),
        ("herrajes", herrajes()),
        ("fan-out", fan_out()),
    ):
        _write(directory / "bundles" / f"{name}.json", bundle)
    _write(directory / "settings" / "instance.json", settings())


def tablee() -> dict[str, Any]:
    """Returns the bundle of Tablée at today's sizes."""
    shapes = [
        *_numbered("guest-portal", "latency", 10, (3, 30)),
        *_numbered("member-dues", "latency", 15, (3, 30)),
        _shape("host-desk", "latency", (6, LARGE_SHARD_COUNT), (4, 100)),
        _shape("inspection-log", "latency", (3, SMALL_SHARD_COUNT), (4, 100)),
    ]
    # A slow search loses the booking, so that most of an answer in time is
    # better than all of it late.
    policy = {"coverage_min_ratio": 0.8, "partial_allowed": True}
    callers = {
        "guest-site": ["guest-portal"],
        "member-site": ["member-dues"],
        "host-site": ["guest-portal", "host-desk", "inspection-log"],
    }
    return _bundle(shapes, TABLEE_ZONES, policy, callers)


def herrajes() -> dict[str, Any]:
    """Returns the bundle of Herrajes at today's sizes."""
    shapes = [
        *_numbered("ronda-app", "coverage", 10, (2, 25)),
        *_numbered("cobros", "coverage", 15, (2, 25)),
        _shape("agenda", "coverage", (3, SMALL_SHARD_COUNT), (6, 50)),
        _shape("avisos", "coverage", (3, SMALL_SHARD_COUNT), (6, 50)),
    ]
    # A dispatcher who misses one open visit plans a wrong round.
    policy = {"coverage_min_ratio": 1.0, "partial_allowed": False}
    callers = {
        "dispatch-desk": ["ronda-app", "agenda"],
        "billing": ["cobros"],
        "notices": ["avisos", "agenda"],
    }
    return _bundle(shapes, HERRAJES_ZONES, policy, callers)


def fan_out() -> dict[str, Any]:
    """Returns the bundle of one service with the largest fan-out."""
    shapes = [_shape("leaves", "latency", (FAN_OUT, FAN_OUT), (3, 30))]
    policy = {"coverage_min_ratio": 0.9, "partial_allowed": True}
    return _bundle(shapes, TABLEE_ZONES, policy, {"reader": ["leaves"]})


def settings() -> dict[str, Any]:
    """Returns the settings of one instance with all others as peers."""
    documents = deployments.build_settings(
        INSTANCE_COUNT, TABLEE_ZONES, FIRST_INSTANCE_PORT, PLATFORM_ADDRESS
    )
    return documents[0]


def _numbered(
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
            "token_sha256": hashlib.sha256(token(caller).encode()).hexdigest(),
            "service_names": [
                name for name in names if name.startswith(tuple(prefixes))
            ],
        }
        for caller, prefixes in callers.items()
    ]
    return bundle


def token(caller: str) -> str:
    """Returns the token of a caller of the examples."""
    return f"example-token-of-{caller}"


def _write(path: pathlib.Path, document: Any) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    text = "".join(_format(document, ""))
    path.write_text(text + "\n", encoding="utf-8")


def _format(value: Any, margin: str) -> Iterator[str]:
    """Writes JSON with one line per target and shard."""
    if not isinstance(value, dict | list) or not _has_objects(value):
        yield json.dumps(value, ensure_ascii=False)
        return
    inner = margin + "  "
    is_dict = isinstance(value, dict)
    yield "{" if is_dict else "["
    for index, item in enumerate(value):
        yield f"{',' if index else ''}\n{inner}"
        if is_dict:
            yield f"{json.dumps(item)}: "
        yield from _format(value[item] if is_dict else item, inner)
    yield f"\n{margin}{'}' if is_dict else ']'}"


def _has_objects(value: dict[str, Any] | list[Any]) -> bool:
    items = value.values() if isinstance(value, dict) else value
    return any(
        isinstance(item, dict)
        or (isinstance(item, list) and _has_objects(item))
        for item in items
    )
