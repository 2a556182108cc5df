"""Decodes the entries by which targets register themselves in the store."""

from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from lycheerock._internal.targets import entries

OBJECT_KIND = "servers"


class _WireEntry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    # "draining" announces a planned stop.
    state: Literal["ready", "draining"]
    warmup_left_ms: float
    # Unix time of the start in milliseconds.
    born: int = 0


def decode(name: str, spec: Any) -> entries.TargetEntry | str:
    """Decodes an entry.

    Args:
      name: Name of the object, which is the id of the target.
      spec: Content of the object, which any client may have written.

    Returns:
      The entry, or a description of the error if it is invalid.
    """
    try:
        wire = msgspec.convert(spec, _WireEntry)
        host, _, port = wire.address.rpartition(":")
        return entries.TargetEntry(
            name,
            wire.service,
            host,
            int(port),
            wire.zone,
            wire.slots,
            wire.state == "draining",
            wire.warmup_left_ms / 1000,
            wire.born,
        )
    except (msgspec.ValidationError, ValueError) as error:
        return str(error)
