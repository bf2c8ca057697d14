"""Keep one channel per address and replace channels that failed."""

import ssl
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from grpclib.client import Channel

from mintlanding.peers.connections import connection_settings
from mintlanding.peers.messages import MessagePackCodec


@dataclass(slots=True, eq=False)
class PeerChannel:
    """A channel and the number of calls that use it."""

    channel: Channel
    calls: int = 0
    is_retired: bool = False

    @contextmanager
    def use(self) -> Iterator[Channel]:
        """Use the channel for one call.

        A retired channel is closed after its last call.
        """
        self.calls += 1
        try:
            yield self.channel
        finally:
            self.calls -= 1
            self._close_unused()

    def retire(self) -> None:
        """Close the channel once its running calls have ended."""
        self.is_retired = True
        self._close_unused()

    def _close_unused(self) -> None:
        if self.is_retired and not self.calls:
            self.channel.close()


class ChannelPool:
    """Open channels by address.

    A connection can stop working for good while new ones work. A channel on
    which a call got no reply is replaced at once; its other calls may
    still succeed, or fail when the keepalive pings close the connection.
    """

    def __init__(
        self, codec: MessagePackCodec, tls: ssl.SSLContext | None
    ) -> None:
        """Start without channels."""
        self._codec = codec
        self._tls = tls
        self._channels: dict[str, PeerChannel] = {}

    def get(self, address: str) -> PeerChannel:
        """Return the channel to `host:port`; it connects on first use."""
        peer_channel = self._channels.get(address)
        if peer_channel is None:
            host, _, port = address.rpartition(':')
            peer_channel = PeerChannel(
                Channel(
                    host,
                    int(port),
                    ssl=self._tls,
                    codec=self._codec,  # type: ignore[arg-type]
                    config=connection_settings(),
                ),
            )
            self._channels[address] = peer_channel
        return peer_channel

    def retire(self, address: str, failed: PeerChannel) -> None:
        """Replace a failed channel for later calls to the address."""
        if self._channels.get(address) is failed:
            self._channels.pop(address)
            failed.retire()

    def disconnect(self, address: str) -> None:
        """Close the channel to an address and cancel its calls."""
        peer_channel = self._channels.pop(address, None)
        if peer_channel is not None:
            peer_channel.channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in tuple(self._channels):
            self.disconnect(address)
