"""Counters of gossip traffic."""

import dataclasses

from lycheerock_protocol import peer_pb2


@dataclasses.dataclass
class GossipCounters:
    """Traffic counters; requests and replies both count as messages.

    Attributes:
      sent_messages: Messages sent.
      sent_bytes: Encoded size of the messages sent, without HTTP/2 framing.
      received_messages: Messages received.
      received_bytes: Encoded size of the messages received.
      failed_calls: Requests that failed or timed out.
    """

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    failed_calls: int = 0

    def add_sent(self, message: peer_pb2.GossipMessage) -> None:
        """Counts an outgoing message."""
        self.sent_messages += 1
        self.sent_bytes += message.ByteSize()

    def add_received(self, message: peer_pb2.GossipMessage) -> None:
        """Counts an incoming message."""
        self.received_messages += 1
        self.received_bytes += message.ByteSize()
