"""JSON documents of the platform's store."""

from typing import Any

import msgspec
import structlog

_LOG = structlog.get_logger()


class Meta(msgspec.Struct):
    """Name and revision of an object."""

    name: str
    # Revision of the store at the object's last change.
    revision: int = 0


class Object(msgspec.Struct):
    """An object, as stored on the platform."""

    meta: Meta
    spec: Any = None


class Page(msgspec.Struct):
    """One page of the listing of a kind."""

    items: list[Any]
    at_rev: int
    more: bool = False


class Event(msgspec.Struct):
    """A change of an object."""

    object: Any
    removed: bool = False


class Events(msgspec.Struct):
    """The result of a watch."""

    events: list[Event]
    at_rev: int


def read_object(item: Any) -> Object | None:
    """Decodes an object of a page or an event.

    Args:
      item: Decoded JSON value.

    Returns:
      The object, or None if it is invalid.
    """
    try:
        return msgspec.convert(item, Object)
    except msgspec.ValidationError as error:
        _LOG.warning("store_object_unreadable", error=str(error))
        return None


def read_name(item: Any) -> str | None:
    """Returns the name of an object, even if its other fields are invalid.

    Args:
      item: Decoded JSON value.

    Returns:
      The name, or None if the value has none.
    """
    meta = item.get("meta") if isinstance(item, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    return name if isinstance(name, str) else None
