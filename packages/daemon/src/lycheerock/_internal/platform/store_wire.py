"""JSON documents of the platform's store.

A reply is decoded as a whole first. If that fails because of one entry, its
entries are split and decoded one by one, so that the others are still read.
"""

import dataclasses
import hashlib
import json
from typing import Any

import msgspec

from lycheerock_protocol import json_slices

# msgspec reports JSON that is nested too deeply as a RecursionError.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)

# Header of all replies with the era of the store.
ERA_HEADER = "Store-Era"
# More digits than any era has.
_ERA_DIGITS_MAX = 18

# Character that follows all surrogates in the order of the names.
_AFTER_SURROGATES = "\ue000"


class Meta(msgspec.Struct):
    """Name and revision of an object."""

    name: str
    # Revision of the store at the object's last change.
    revision: int = 0


class Object(msgspec.Struct):
    """An object, as stored on the platform."""

    meta: Meta
    spec: Any = None


class _Page(msgspec.Struct):
    """One page of the listing of a kind."""

    items: list[Object]
    at_rev: int
    more: bool = False


class _Event(msgspec.Struct):
    """A change of an object."""

    object: Object
    removed: bool = False


class _Events(msgspec.Struct):
    """The result of a watch."""

    events: list[_Event]
    at_rev: int


@dataclasses.dataclass(frozen=True)
class Entry:
    """An object of a page or an event.

    Attributes:
      name: Name of the object; None if it is unreadable.
      revision: Revision of its last change; None if it is unreadable.
      value: Content; None if it is unreadable.
      is_removed: Whether the event reports a removal.
      problem: Reason for which a part is unreadable, one of a fixed set of
        words, or an empty string.
      detail: Description of the error.
      digest: Identifies the text of an entry without a name.
    """

    name: str | None
    revision: int | None
    value: Any
    is_removed: bool = False
    problem: str = ""
    detail: str = ""
    digest: str = ""


@dataclasses.dataclass(frozen=True)
class Page:
    """A page of a listing or the result of a watch.

    Attributes:
      entries: Its entries in order, unreadable ones included.
      revision: Revision of the store.
      next_after: Name after which the next page starts; None if it cannot be
        determined, or if this is the last page.
      has_more: Whether there is a next page.
    """

    entries: tuple[Entry, ...]
    revision: int
    next_after: str | None = None
    has_more: bool = False


def read_era(text: str | None) -> int | None:
    """Returns the era that a reply states, or None if it states none.

    Args:
      text: Value of the header, or None if it is missing.

    Raises:
      ValueError: The value is no era.
    """
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > _ERA_DIGITS_MAX:
        raise ValueError(f"{ERA_HEADER} {text[:_ERA_DIGITS_MAX]!r} is no era")
    return int(text)


def decode_page(body: bytes, entry_size_max_bytes: int) -> Page:
    """Decodes a page of a listing.

    Args:
      body: JSON text.
      entry_size_max_bytes: Size above which an entry counts as unreadable.

    Raises:
      One of `DECODE_ERRORS`: The page as a whole is unreadable.
    """
    if len(body) <= entry_size_max_bytes and json_slices.is_shallow(body):
        try:
            wire = msgspec.json.decode(body, type=_Page)
            names = (item.meta.name for item in reversed(wire.items))
            return Page(
                tuple(_entry(item) for item in wire.items),
                wire.at_rev,
                next(filter(None, names), None) if wire.more else None,
                wire.more,
            )
        except DECODE_ERRORS:
            # Decoded entry by entry below.
            pass
    members = _members(body)
    items = json_slices.split_array(members.get("items", b""))
    has_more = msgspec.json.decode(members.get("more", b"false"), type=bool)
    return Page(
        tuple(_read_entry(item, entry_size_max_bytes) for item in items),
        msgspec.json.decode(members.get("at_rev", b""), type=int),
        _next_after(items) if has_more else None,
        has_more,
    )


def decode_events(body: bytes, entry_size_max_bytes: int) -> Page:
    """Decodes the result of a watch.

    Args:
      body: JSON text.
      entry_size_max_bytes: Size above which an entry counts as unreadable.

    Raises:
      One of `DECODE_ERRORS`: The result as a whole is unreadable.
    """
    if len(body) <= entry_size_max_bytes and json_slices.is_shallow(body):
        try:
            wire = msgspec.json.decode(body, type=_Events)
            return Page(
                tuple(_entry(e.object, e.removed) for e in wire.events),
                wire.at_rev,
            )
        except DECODE_ERRORS:
            # Decoded entry by entry below.
            pass
    members = _members(body)
    events = json_slices.split_array(members.get("events", b""))
    return Page(
        tuple(_read_event(event, entry_size_max_bytes) for event in events),
        msgspec.json.decode(members.get("at_rev", b""), type=int),
    )


def _entry(item: Object, is_removed: bool = False) -> Entry:
    return Entry(item.meta.name, item.meta.revision, item.spec, is_removed)


def _members(text: bytes) -> dict[str, bytes]:
    """Returns the text of the members of an object by their keys."""
    return {
        _read_text(key): value for key, value in json_slices.split_object(text)
    }


def _read_event(text: bytes, size_max_bytes: int) -> Entry:
    try:
        members = _members(text)
        is_removed = _try(members.get("removed", b"false"), bool)
        entry = _read_entry(members.get("object", b""), size_max_bytes)
    except json_slices.MalformedError as error:
        return _unreadable(text, "shape", str(error))
    if is_removed is None:
        return dataclasses.replace(
            entry, value=None, problem="shape", detail="removed is no boolean"
        )
    return dataclasses.replace(entry, is_removed=is_removed)


def _read_entry(text: bytes, size_max_bytes: int) -> Entry:
    """Decodes one entry, as far as its parts are readable."""
    try:
        members = _members(text)
        meta = _members(members.get("meta", b""))
    except json_slices.MalformedError as error:
        return _unreadable(text, "shape", str(error))
    name = _try(meta.get("name", b""), str)
    revision = _try(meta.get("revision", b"0"), int)
    digest = "" if name is not None else _digest(text)
    if name is None or revision is None:
        return Entry(
            name, None, None, False, "name", "the meta data are invalid", digest
        )
    if len(text) > size_max_bytes:
        return Entry(name, revision, None, False, "size", f"{len(text)} bytes")
    if not json_slices.is_shallow(text):
        return Entry(name, revision, None, False, "depth", "nested too deeply")
    try:
        value = msgspec.json.decode(members.get("spec", b"null"))
    except DECODE_ERRORS as error:
        return Entry(name, revision, None, False, "content", str(error))
    return Entry(name, revision, value)


def _unreadable(text: bytes, problem: str, detail: str) -> Entry:
    return Entry(None, None, None, False, problem, detail, _digest(text))


def _digest(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def _try(text: bytes, expected: type) -> Any:
    """Returns a decoded value, or None if it is not of the type."""
    try:
        return msgspec.json.decode(text, type=expected)
    except DECODE_ERRORS:
        return None


def _read_text(text: bytes) -> str:
    """Decodes a JSON string; what is not Unicode becomes lone surrogates."""
    if not text.startswith(b'"'):
        return ""
    try:
        return str(json.loads(text.decode("utf-8", "surrogateescape")))
    except ValueError:
        return ""


def _next_after(items: list[bytes]) -> str | None:
    """Returns the name after which the next page starts, or None.

    Unreadable entries are skipped, but not the pages after them.
    """
    for item in reversed(items):
        try:
            name = _read_text(_members(_members(item)["meta"])["name"])
        except (KeyError, json_slices.MalformedError):
            continue
        for position, character in enumerate(name):
            if "\ud800" <= character <= "\udfff":
                # A query cannot contain the name. The text returned here
                # follows all names that differ from it only after this point
                # and contain a surrogate there.
                return name[:position] + _AFTER_SURROGATES
        if name:
            return name
    return None
