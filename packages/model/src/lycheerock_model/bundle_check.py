"""Checks a bundle: types and ranges, then references between its parts."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from lycheerock_model import bundle as bundle_lib
from lycheerock_model import documents
from lycheerock_model import exceptions

# The platform holds values up to one megabyte; the rest is left for the
# envelope that the object API adds.
BUNDLE_SIZE_MAX_BYTES = 1_000_000


def load(text: bytes) -> bundle_lib.Bundle:
    """Parses and checks a bundle.

    Args:
      text: The bundle as JSON.

    Returns:
      The checked bundle.

    Raises:
      DocumentError: The text has faults; the error lists all of them.
    """
    document = documents.parse_json("bundle", text)
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
    if bundle is None:
        return None, faults
    references = tuple(_reference_faults(bundle))
    return (None, references) if references else (bundle, ())


def _size_faults(text: bytes) -> Iterator[exceptions.Fault]:
    if len(text) > BUNDLE_SIZE_MAX_BYTES:
        yield exceptions.Fault(
            "(document)",
            f"{len(text)} bytes, more than {BUNDLE_SIZE_MAX_BYTES}",
            "split the services over more than one deployment",
        )


def _reference_faults(bundle: bundle_lib.Bundle) -> Iterator[exceptions.Fault]:
    names = [service.name for service in bundle.services]
    yield from _doubles("services", names)
    yield from _doubles("callers", [caller.name for caller in bundle.callers])
    targets = [t for service in bundle.services for t in service.targets]
    yield from _doubles("targets", [t.target_id for t in targets])
    yield from _doubles("target addresses", [t.address for t in targets])
    for index, service in enumerate(bundle.services):
        yield from _service_faults(f"services.{index}", service, bundle)
    for index, caller in enumerate(bundle.callers):
        for name in set(caller.service_names) - set(names):
            yield exceptions.Fault(
                f"callers.{index}.service_names",
                f"unknown service {name!r}",
                "name a service of this bundle",
            )


def _service_faults(
    path: str, service: bundle_lib.Service, bundle: bundle_lib.Bundle
) -> Iterator[exceptions.Fault]:
    known = {target.target_id for target in service.targets}
    versions = [str(m.shard_map_version) for m in service.shard_maps]
    yield from _doubles(f"{path}.shard_maps", versions)
    for map_index, shard_map in enumerate(service.shard_maps):
        map_path = f"{path}.shard_maps.{map_index}.shards"
        yield from _doubles(map_path, [s.shard_id for s in shard_map.shards])
        for shard_index, shard in enumerate(shard_map.shards):
            shard_path = f"{map_path}.{shard_index}.target_ids"
            yield from _doubles(shard_path, shard.target_ids)
            for target_id in set(shard.target_ids) - known:
                yield exceptions.Fault(
                    shard_path,
                    f"unknown target {target_id!r}",
                    "name a target of this service",
                )
    for target_index, target in enumerate(service.targets):
        if target.connection_limit < bundle.instance_count_max:
            yield exceptions.Fault(
                f"{path}.targets.{target_index}.connection_limit",
                f"{target.connection_limit} is below instance_count_max "
                f"{bundle.instance_count_max}, so an instance's share is zero",
                "raise connection_limit or lower instance_count_max",
            )
    if service.deadline_default_ms > service.deadline_max_ms:
        yield exceptions.Fault(
            f"{path}.deadline_default_ms",
            "longer than deadline_max_ms",
            "lower deadline_default_ms or raise deadline_max_ms",
        )


def _doubles(path: str, values: Iterable[str]) -> Iterator[exceptions.Fault]:
    for value, count in collections.Counter(values).items():
        if count > 1:
            yield exceptions.Fault(
                path, f"{value!r} appears {count} times", "use each value once"
            )
