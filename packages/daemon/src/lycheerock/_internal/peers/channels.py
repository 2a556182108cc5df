"""gRPC channels to peers."""

import grpc

MESSAGE_SIZE_MAX_BYTES = 8 * 1024 * 1024

# Retries are disabled because gRPC must never send a request twice. The backoff
# is short so that a restarted instance is reached within about a second.
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.max_send_message_length", MESSAGE_SIZE_MAX_BYTES),
    ("grpc.max_receive_message_length", MESSAGE_SIZE_MAX_BYTES),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.use_local_subchannel_pool", 1),
)


class Channels:
    """Owns one channel per peer address."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.aio.Channel] = {}

    def get(self, address: str) -> grpc.aio.Channel:
        """Returns the channel to an address and creates it on first use."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(
                address, options=CHANNEL_OPTIONS
            )
            self._channels[address] = channel
        return channel

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.close()
