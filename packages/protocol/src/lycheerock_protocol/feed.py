"""Messages that relay store changes from one instance to another.

A feed is a WebSocket that carries JSON messages from the instance that watches
the store to one that does not. The first message for each kind of object is a
snapshot; each later one continues from the revision of the previous message.
"""

import dataclasses
from typing import Any

import msgspec

from lycheerock_protocol import json_slices

PATH = "/feed"

# Query parameter that requests one snapshot of each kind of object, even if the
# store is unreachable.
UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True)
class Change:
    """A change to one object.

    Attributes:
      name: Name of the object.
      value: New content, or the last content of a removed object.
      is_removed: Whether the object was removed.
    """

    name: str
    value: Any
    is_removed: bool


@dataclasses.dataclass(frozen=True)
class Message:
    """A snapshot of all objects of a kind, or changes to them.

    Attributes:
      kind: Kind of the objects.
      revision: Store revision up to which the message is complete.
      snapshot: Content of all objects by name, or None for changes.
      changes: Changes in order. An empty message confirms that nothing has
        changed up to the revision.
      is_settled: Whether objects that are missing in a snapshot count as
        removed. They do not shortly after a store outage.
      confirmed_age_ms: In a snapshot, the time since the sender last knew that
        it is up to date; None if the sender has lost the store.
      era: Era of the store to which the revision belongs; None if it is
        unknown. Earlier releases neither send nor read it.
    """

    kind: str
    revision: int
    snapshot: dict[str, Any] | None = None
    changes: tuple[Change, ...] = ()
    is_settled: bool = True
    confirmed_age_ms: float | None = None
    era: int | None = None


def encode(message: Message) -> bytes:
    """Encodes a message as JSON.

    A value that cannot be encoded is replaced by None, so that the others are
    still passed on.
    """
    try:
        return msgspec.json.encode(message)
    except _ENCODE_ERRORS:
        return msgspec.json.encode(_without_unencodable(message))


def decode(data: bytes) -> Message:
    """Decodes a message.

    A value that is unreadable becomes None; one whose name is unreadable is
    left out.

    Args:
      data: JSON text.

    Returns:
      The message.

    Raises:
      One of `DECODE_ERRORS`: The data is not a valid message.
    """
    if json_slices.is_shallow(data):
        try:
            return msgspec.json.decode(data, type=Message)
        except DECODE_ERRORS:
            # Decoded value by value below.
            pass
    members = {
        msgspec.json.decode(key, type=str): value
        for key, value in json_slices.split_object(data)
    }
    snapshot = members.pop("snapshot", b"null")
    changes = json_slices.split_array(members.pop("changes", b"[]"))
    head = b",".join(b'"%s":%s' % (k.encode(), v) for k, v in members.items())
    return dataclasses.replace(
        msgspec.json.decode(b"{" + head + b"}", type=Message),
        snapshot=None if snapshot == b"null" else _read_snapshot(snapshot),
        changes=tuple(filter(None, map(_read_change, changes))),
    )


# msgspec reports JSON that is nested too deeply as a RecursionError.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
_ENCODE_ERRORS = (
    msgspec.EncodeError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)


def _read_snapshot(text: bytes) -> dict[str, Any]:
    values = {}
    for key, value in json_slices.split_object(text):
        name = _read(key, str)
        if name is not None:
            values[name] = _read(value, Any)
    return values


def _read_change(text: bytes) -> Change | None:
    try:
        members = {
            _read(key, str): value
            for key, value in json_slices.split_object(text)
        }
    except json_slices.MalformedError:
        return None
    name = _read(members.get("name", b""), str)
    is_removed = _read(members.get("is_removed", b""), bool)
    if name is None:
        return None
    # Without knowing whether the object was removed, its content is unknown.
    value = members.get("value", b"") if is_removed is not None else b"null"
    return Change(name, _read(value, Any), bool(is_removed))


def _read(text: bytes, expected: Any) -> Any:
    """Returns a decoded value, or None if it is unreadable."""
    if not json_slices.is_shallow(text):
        return None
    try:
        return msgspec.json.decode(text, type=expected)
    except DECODE_ERRORS:
        return None


def _without_unencodable(message: Message) -> Message:
    snapshot = message.snapshot
    return dataclasses.replace(
        message,
        snapshot=snapshot
        and {
            name: value if _can_encode(value) else None
            for name, value in snapshot.items()
            if _can_encode(name)
        },
        changes=tuple(
            change
            if _can_encode(change.value)
            else dataclasses.replace(change, value=None)
            for change in message.changes
            if _can_encode(change.name)
        ),
    )


def _can_encode(value: Any) -> bool:
    try:
        msgspec.json.encode(value)
    except _ENCODE_ERRORS:
        return False
    return True
