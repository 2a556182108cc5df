"""Describes the registered instances."""

from collections.abc import Mapping
import dataclasses
from typing import Any

from lycheerock._internal.discovery import instances

# Weight of an instance whose entry states none, which is that of an instance
# with one core.
WEIGHT_DEFAULT = 1.0

# Weights outside this range are limited to it, so that one wrong entry can
# neither take over nor disable the selection of owners.
WEIGHT_MIN = 0.01
WEIGHT_MAX = 256.0

_INT64_MAX = 2**63 - 1


@dataclasses.dataclass(frozen=True)
class Member:
    """A registered instance.

    Attributes:
      instance_id: Name of the instance, stable across restarts.
      zone: Availability zone, empty if unknown.
      region: Region of the zone, empty if unknown.
      weight: Processor cores that the instance may use.
      incarnation: Start of its process, in milliseconds of its clock; 0 if
        unknown. The entry of a restarted instance may still state an earlier
        start until it is renewed.
    """

    instance_id: str
    zone: str = ""
    region: str = ""
    weight: float = WEIGHT_DEFAULT
    incarnation: int = 0


def decode_entries(
    values: Mapping[str, Any], region_by_zone: Mapping[str, str]
) -> dict[str, Member]:
    """Returns the instances by feed address.

    Entries of older releases lack all fields but the address; a field that is
    missing or invalid gets its default. An entry without an address is left
    out.

    Args:
      values: Content of the entries by instance id.
      region_by_zone: Region of each zone.
    """
    found: dict[str, Member] = {}
    for instance_id, value in sorted(values.items()):
        if not isinstance(value, dict):
            continue
        address = value.get(instances.FEED_ADDRESS)
        if not isinstance(address, str) or not address:
            continue
        zone = value.get(instances.ZONE)
        zone = zone if isinstance(zone, str) else ""
        found[address] = Member(
            instance_id,
            zone,
            region_by_zone.get(zone, ""),
            _weight(value.get(instances.WEIGHT)),
            _incarnation(value.get(instances.BORN)),
        )
    return found


def _weight(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return WEIGHT_DEFAULT
    # A number that is not finite fails the comparison.
    if not 0.0 < value < float("inf"):
        return WEIGHT_DEFAULT
    # An integer may be too large for a float, so it is limited before.
    return float(min(WEIGHT_MAX, max(WEIGHT_MIN, value)))


def _incarnation(value: Any) -> int:
    """Returns a start time that can be sent to other instances, or 0."""
    is_valid = isinstance(value, int) and 0 < value <= _INT64_MAX
    return int(value) if is_valid else 0
