"""One channel for each address, and what becomes of those that failed."""

import ssl
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from grpclib.client import Channel

from mintlanding.peers.connections import connection_settings
from mintlanding.peers.messages import PackCodec


@dataclass(slots=True, eq=False)
class PeerChannel:
    """A channel and the number of calls that use it."""

    channel: Channel
    calls: int = 0
    is_retired: bool = False

    @contextmanager
    def use(self) -> Iterator[Channel]:
        """Hold the channel for one call; the last one closes a retired one."""
        self.calls += 1
        try:
            yield self.channel
        finally:
            self.calls -= 1
            self._close_unused()

    def retire(self) -> None:
        """Take no more calls; those that run may end."""
        self.is_retired = True
        self._close_unused()

    def _close_unused(self) -> None:
        if self.is_retired and not self.calls:
            self.channel.close()


class ChannelPool:
    """Open channels by address.

    A connection can go silent for good while new ones work. One that has
    failed to answer is replaced at once, and its other calls are left to end
    by themselves or by the pings of the connection.
    """

    def __init__(self, codec: PackCodec, tls: ssl.SSLContext | None) -> None:
        """Begin without channels."""
        self._codec = codec
        self._tls = tls
        self._channels: dict[str, PeerChannel] = {}

    def get(self, address: str) -> PeerChannel:
        """Return the channel to `host:port`; it connects when it is used."""
        known = self._channels.get(address)
        if known is None:
            host, _, port = address.rpartition(':')
            known = PeerChannel(
                Channel(
                    host,
                    int(port),
                    ssl=self._tls,
                    codec=self._codec,  # type: ignore[arg-type]
                    config=connection_settings(),
                ),
            )
            self._channels[address] = known
        return known

    def retire(self, address: str, failed: PeerChannel) -> None:
        """Let later calls to the address open another channel."""
        if self._channels.get(address) is failed:
            self._channels.pop(address)
            failed.retire()

    def forget(self, address: str) -> None:
        """Close the channel to an address, with the calls on it."""
        known = self._channels.pop(address, None)
        if known is not None:
            known.channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in tuple(self._channels):
            self.forget(address)
