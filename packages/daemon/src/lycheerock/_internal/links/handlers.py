"""Passes received messages to the parts of the program."""

import collections
from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from lycheerock._internal.links import link as link_lib
from lycheerock_protocol import links

_LOG = structlog.get_logger()

Handler = Callable[[str, Any], None]


class Handlers:
    """The handlers by kind of message."""

    def __init__(self, counts: collections.Counter[str]) -> None:
        """Initializes the handlers.

        Args:
          counts: Counts received messages and faults by event.
        """
        self._counts = counts
        self._handlers: dict[str, tuple[type, Handler]] = {}

    def set(self, kind: str, message_type: type, handler: Handler) -> None:
        """Sets the handler of a kind; see `Mesh.on`."""
        self._handlers[kind] = (message_type, handler)

    def dispatch(self, address: str, frame: links.Frame) -> None:
        """Decodes a message and calls its handler.

        Args:
          address: Feed address of the sender.
          frame: The message.

        Raises:
          LinkError: The message is malformed.
        """
        found = self._handlers.get(frame.kind)
        if found is None:
            self._counts["unknown_kind"] += 1
            return
        message_type, handler = found
        try:
            message: Any = msgspec.msgpack.decode(frame.body, type=message_type)
        except (msgspec.DecodeError, RecursionError) as error:
            _LOG.warning(
                "link_message_malformed",
                peer=address,
                kind=frame.kind[:64],
                error=str(error),
            )
            raise link_lib.LinkError("malformed") from error
        self._counts["received"] += 1
        try:
            handler(address, message)
        except Exception:
            self.report_error(frame.kind, address)

    def report_error(self, kind: str, address: str) -> None:
        """Logs the exception of a handler, which must not end the link."""
        self._counts["handler_error"] += 1
        _LOG.error("link_handler_error", kind=kind, peer=address, exc_info=True)
