"""Counts the messages and bytes of gossip."""

import dataclasses

from lycheerock_protocol import peer_pb2


@dataclasses.dataclass
class GossipCounters:
    """Messages of both directions, requests and replies alike.

    Attributes:
      sent_messages: Messages sent.
      sent_bytes: Their encoded size, without the framing of HTTP/2.
      received_messages: Messages received.
      received_bytes: Their encoded size.
      failed_calls: Requests without a reply.
    """

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    failed_calls: int = 0

    def add_sent(self, message: peer_pb2.GossipMessage) -> None:
        """Counts a message that is sent."""
        self.sent_messages += 1
        self.sent_bytes += message.ByteSize()

    def add_received(self, message: peer_pb2.GossipMessage) -> None:
        """Counts a message that was received."""
        self.received_messages += 1
        self.received_bytes += message.ByteSize()
