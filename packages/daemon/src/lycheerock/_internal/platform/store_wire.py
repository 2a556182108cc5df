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
    """An object as the store holds it."""

    meta: Meta
    spec: Any = None


class Page(msgspec.Struct):
    """A page of the list of a kind."""

    items: list[Any]
    at_rev: int
    more: bool = False


class Event(msgspec.Struct):
    """A change of an object."""

    object: Any
    removed: bool = False


class Events(msgspec.Struct):
    """What a watch returned."""

    events: list[Event]
    at_rev: int


def read_object(item: Any) -> Object | None:
    """Decodes an object of a list or an event; None if it is unreadable."""
    try:
        return msgspec.convert(item, Object)
    except msgspec.ValidationError as error:
        _LOG.warning("store_object_unreadable", error=str(error))
        return None


def read_name(item: Any) -> str | None:
    """Returns the name of an object, also of one that is else unreadable."""
    meta = item.get("meta") if isinstance(item, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    return name if isinstance(name, str) else None
