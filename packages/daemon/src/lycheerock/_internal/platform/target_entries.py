"""Decodes the entries by which targets register themselves in the store."""

import ipaddress
import re
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from lycheerock._internal.targets import entries

OBJECT_KIND = "servers"

# Size above which an entry counts as unreadable. Entries of targets have a few
# hundred bytes; each one is kept and passed on to other instances.
ENTRY_SIZE_MAX_BYTES = 65_536

_PORT_MAX = 65_535

# Names are sent to targets in a header. One with a line break could contain a
# whole request.
_NAME = re.compile(r"[\x21-\x7e]{1,253}")

# JSON sets no limit on numbers. Larger ones than these overflow the types in
# which capacities and times are computed and sent.
_SLOTS_MAX = 1_000_000
_WARMUP_MAX_MS = 86_400_000.0
_INT64_MAX = 2**63 - 1


class _WireEntry(msgspec.Struct):
    """An entry as targets write it.

    Fields that the gateway does not use are required as well: an entry without
    them comes from another writer, and its address may be that of any server.
    """

    service: str
    address: str
    zone: str
    # Version of the target's software.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_SLOTS_MAX)]
    # "draining" announces a planned stop.
    state: Literal["ready", "draining"]
    warmup_left_ms: Annotated[float, msgspec.Meta(le=_WARMUP_MAX_MS)]
    # Number of the report.
    seq: int
    # Unix time of the start in milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=_INT64_MAX)] = 0


def decode(name: str, spec: Any) -> entries.TargetEntry | str:
    """Decodes an entry.

    Args:
      name: Name of the object, which is the id of the target.
      spec: Content of the object, which any client may have written.

    Returns:
      The entry, or a description of the error if it is invalid.
    """
    if not _NAME.fullmatch(name):
        return "the name cannot be sent in a header"
    try:
        wire = msgspec.convert(spec, _WireEntry)
        host, port = _split_address(wire.address)
        return entries.TargetEntry(
            name,
            wire.service,
            host,
            port,
            wire.zone,
            wire.slots,
            wire.state == "draining",
            wire.warmup_left_ms / 1000,
            wire.born,
        )
    except (msgspec.ValidationError, ValueError) as error:
        return str(error)


def _split_address(address: str) -> tuple[str, int]:
    """Splits "HOST:PORT"; raises ValueError if no connection is possible."""
    host, _, port_text = address.rpartition(":")
    port = int(port_text)
    if not 0 < port <= _PORT_MAX:
        raise ValueError(f"port {port} is not between 1 and {_PORT_MAX}")
    return str(ipaddress.IPv4Address(host)), port
