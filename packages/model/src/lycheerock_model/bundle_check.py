"""Validates a bundle: types and ranges, then cross-references."""

from collections.abc import Iterator
from typing import Any

from lycheerock_model import addresses
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import documents
from lycheerock_model import exceptions
from lycheerock_model import json_text

# Leaves room for the envelope of the object API within the platform's limit of
# one megabyte (2^20 bytes) per value.
BUNDLE_SIZE_MAX_BYTES = 1_000_000

# The object that defines the names of each kind.
_CONTAINERS = {"service": "bundle", "target": "service"}

# Objects of a list, each with its index.
_IndexedObjects = list[tuple[int, dict[str, Any]]]


def load(text: bytes) -> bundle_lib.Bundle:
    """Parses and checks a bundle.

    Args:
      text: The bundle as JSON.

    Returns:
      The checked bundle.

    Raises:
      DocumentError: The bundle is invalid; the error lists every fault.
    """
    document = json_text.parse_json("bundle", text)
    faults = list(_size_faults(text))
    bundle, found = check(document)
    faults.extend(found)
    if bundle is None or faults:
        raise exceptions.DocumentError("bundle", tuple(faults))
    return bundle


def check(
    document: Any,
) -> tuple[bundle_lib.Bundle | None, tuple[exceptions.Fault, ...]]:
    """Checks a parsed bundle.

    Args:
      document: The parsed JSON value.

    Returns:
      The bundle and no faults, or None and every fault.
    """
    bundle, faults = documents.check(bundle_lib.Bundle, document)
    if isinstance(document, dict):
        faults += tuple(_reference_faults(document))
    return (None, faults) if faults else (bundle, ())


def _size_faults(text: bytes) -> Iterator[exceptions.Fault]:
    if len(text) > BUNDLE_SIZE_MAX_BYTES:
        yield exceptions.Fault(
            "(document)",
            f"{len(text)} bytes, more than {BUNDLE_SIZE_MAX_BYTES}",
            "split the services over more than one deployment",
        )


def _reference_faults(document: dict[str, Any]) -> Iterator[exceptions.Fault]:
    """Checks cross-references, even if other parts are invalid."""
    services = documents.indexed_objects(document.get("services"))
    callers = documents.indexed_objects(document.get("callers"))
    yield from _find_duplicates("services", services, "name")
    yield from _find_duplicates("callers", callers, "name")
    yield from _find_duplicates("callers", callers, "token_sha256")
    yield from _target_faults(services)
    count_max = document.get("instance_count_max")
    for index, service in services:
        path = f"services.{index}"
        yield from _map_faults(path, service)
        yield from _limit_faults(path, service, count_max)
        yield from _deadline_faults(path, service)
    names = documents.strings(service.get("name") for _, service in services)
    for index, caller in callers:
        path = f"callers.{index}.service_names"
        yield from _unknown_names(
            path, caller.get("service_names"), names, "service"
        )


def _find_duplicates(
    path: str, objects: _IndexedObjects, key: str
) -> Iterator[exceptions.Fault]:
    values = [(f"{path}.{i}.{key}", item.get(key)) for i, item in objects]
    yield from documents.find_duplicates(values, "use each value once")


def _target_faults(services: _IndexedObjects) -> Iterator[exceptions.Fault]:
    targets = [
        (f"services.{service_index}.targets.{index}", target)
        for service_index, service in services
        for index, target in documents.indexed_objects(service.get("targets"))
    ]
    ids = [(f"{path}.target_id", t.get("target_id")) for path, t in targets]
    yield from documents.find_duplicates(ids, "use each value once")
    yield from addresses.find_duplicates(
        {f"{path}.address": target.get("address") for path, target in targets}
    )


def _map_faults(
    path: str, service: dict[str, Any]
) -> Iterator[exceptions.Fault]:
    targets = documents.indexed_objects(service.get("targets"))
    known = documents.strings(target.get("target_id") for _, target in targets)
    maps = documents.indexed_objects(service.get("shard_maps"))
    yield from _find_duplicates(f"{path}.shard_maps", maps, "shard_map_version")
    for map_index, shard_map in maps:
        map_path = f"{path}.shard_maps.{map_index}.shards"
        shards = documents.indexed_objects(shard_map.get("shards"))
        yield from _find_duplicates(map_path, shards, "shard_id")
        for index, shard in shards:
            ids_path = f"{map_path}.{index}.target_ids"
            ids = shard.get("target_ids")
            yield from _unknown_names(ids_path, ids, known, "target")


def _unknown_names(
    path: str, names: Any, known: set[str], noun: str
) -> Iterator[exceptions.Fault]:
    """Finds unknown and repeated names in a list."""
    listed = names if isinstance(names, list) else []
    for name in sorted(documents.strings(listed) - known):
        yield exceptions.Fault(
            path,
            f"unknown {noun} {name!r}",
            f"name a {noun} of this {_CONTAINERS[noun]}",
        )
    values = [(f"{path}.{index}", name) for index, name in enumerate(listed)]
    yield from documents.find_duplicates(values, "use each value once")


def _limit_faults(
    path: str, service: dict[str, Any], count_max: Any
) -> Iterator[exceptions.Fault]:
    for index, target in documents.indexed_objects(service.get("targets")):
        limit = target.get("connection_limit")
        if not isinstance(limit, int) or not isinstance(count_max, int):
            continue
        if limit < count_max:
            yield exceptions.Fault(
                f"{path}.targets.{index}.connection_limit",
                f"{limit} is below instance_count_max {count_max}, so the "
                "share of each instance is zero",
                "raise connection_limit or lower instance_count_max",
            )


def _deadline_faults(
    path: str, service: dict[str, Any]
) -> Iterator[exceptions.Fault]:
    default_ms = service.get(
        "deadline_default_ms", bundle_lib.DEADLINE_DEFAULT_MS
    )
    max_ms = service.get("deadline_max_ms", bundle_lib.DEADLINE_MAX_MS)
    if not isinstance(default_ms, int) or not isinstance(max_ms, int):
        return
    if default_ms > max_ms:
        yield exceptions.Fault(
            f"{path}.deadline_default_ms",
            f"{default_ms} is longer than deadline_max_ms {max_ms}",
            "lower deadline_default_ms or raise deadline_max_ms",
        )
