"""Messages that open, carry and end the links between gateway instances.

A link is a WebSocket between two instances. Each of its binary messages is one
`Frame` in MessagePack. The first frame in each direction is a `Hello`.
"""

from typing import Any

import msgspec

PATH = "/link"

# Instances with another protocol version do not communicate; they work like
# instances without links until all of them run the same release.
VERSION = 1

HELLO = "hello"
GOODBYE = "goodbye"


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One message on a link.

    Attributes:
      kind: Kind of the message, which determines the type of the body.
      body: The encoded message.
    """

    kind: str
    body: msgspec.Raw


class Hello(msgspec.Struct, frozen=True):
    """First message in each direction.

    Attributes:
      version: Protocol version.
      address: Feed address of the sender, by which it is identified.
      incarnation: Start of the sender's process, in milliseconds of its clock.
      clock_ms: Monotonic clock of the sender.
    """

    version: int
    address: str
    incarnation: int
    clock_ms: float = 0.0


class Goodbye(msgspec.Struct, frozen=True):
    """The sender stops: it accepts no new work, but completes what runs."""


_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(Frame)


def encode(kind: str, message: Any) -> bytes:
    """Encodes a message and its kind as one frame."""
    return _ENCODER.encode((kind, message))


def decode(data: bytes) -> Frame:
    """Decodes a frame, but not its body.

    Raises:
      msgspec.DecodeError: The data is not a valid frame.
    """
    return _FRAME_DECODER.decode(data)
