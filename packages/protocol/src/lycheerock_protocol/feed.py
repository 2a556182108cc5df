"""Messages by which one instance passes changes of the store to another.

A feed is a WebSocket that carries JSON messages from the instance that watches
the store to one that does not. Per kind of object the first message is a
snapshot; each later one continues from the revision of the one before.
"""

import dataclasses
from typing import Any

import msgspec

PATH = "/feed"

# Query parameter that asks for one snapshot although the store is out of reach.
UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one object.

    Attributes:
      name: Name of the object.
      value: New content, or the last one of a removed object.
      is_removed: Whether it was removed.
    """

    name: str
    value: Any
    is_removed: bool


@dataclasses.dataclass(frozen=True)
class Message:
    """The state of a kind at a revision, or what led to that revision.

    Attributes:
      kind: Kind of the objects.
      revision: Revision of the store up to which this is complete.
      snapshot: Content of all objects by name, or None for changes.
      changes: Changes in order. Without any, the message confirms that nothing
        has changed up to the revision.
      is_settled: Whether entries that are missing count as removed. They do not
        shortly after an outage of the store.
    """

    kind: str
    revision: int
    snapshot: dict[str, Any] | None = None
    changes: tuple[Change, ...] = ()
    is_settled: bool = True


def encode(message: Message) -> bytes:
    """Returns a message as JSON."""
    return msgspec.json.encode(message)


def decode(data: bytes) -> Message:
    """Reads a message.

    Args:
      data: JSON text.

    Returns:
      The message.

    Raises:
      msgspec.DecodeError: The text is no message.
    """
    return msgspec.json.decode(data, type=Message)
