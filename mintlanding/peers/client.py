"""Call remote methods of other processes."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from typing import Any, TypeVar

import msgspec
from grpclib import GRPCError, Status
from grpclib.client import (
    Channel,
    Stream,
    UnaryStreamMethod,
    UnaryUnaryMethod,
)
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from mintlanding.core.clock import Clock, SystemClock
from mintlanding.core.exceptions import PeerRefused, PeerUnavailable
from mintlanding.peers.auth import PeerKeyring
from mintlanding.peers.channels import ChannelPool, PeerChannel
from mintlanding.peers.framing import receive_encoded
from mintlanding.peers.messages import EncodedMessage, MessagePackCodec, Method

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')

_REFUSALS = frozenset((Status.UNAUTHENTICATED, Status.INVALID_ARGUMENT))
_CALL_ERRORS = (
    GRPCError,
    OSError,
    StreamTerminatedError,
    ProtocolError,
    TimeoutError,
    msgspec.DecodeError,
)


class PeerClient:
    """Client with one channel per address.

    A call that times out retires its channel: a connection can stop working
    for good while new ones work, so later calls must not wait on it.
    """

    def __init__(
        self,
        keyring: PeerKeyring,
        clock: Clock | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create a client whose calls are signed with the keyring."""
        self._keyring = keyring
        self._clock = clock or SystemClock()
        self._codec = MessagePackCodec()
        self._pool = ChannelPool(self._codec, tls)

    def set_keyring(self, keyring: PeerKeyring) -> None:
        """Sign later calls with another keyring."""
        self._keyring = keyring

    async def call(
        self,
        address: str,
        method: Method[RequestT, ReplyT],
        req: RequestT,
        timeout: float,
    ) -> ReplyT:
        """Call a method at `host:port` within `timeout` seconds.

        Raises PeerUnavailable if no reply arrived and PeerRefused if the peer
        rejected the caller or the message.
        """
        peer_channel = self._pool.get(address)
        try:
            async with asyncio.timeout(timeout):
                with peer_channel.use() as channel:
                    return await self._call_once(channel, method, req)
        except _CALL_ERRORS as exc:
            raise self._convert_error(address, peer_channel, exc) from exc

    async def stream(
        self,
        address: str,
        method: Method[RequestT, ReplyT],
        req: RequestT,
        reply_timeout: float,
    ) -> AsyncIterator[ReplyT]:
        """Yield replies; fail after `reply_timeout` seconds without a reply."""
        peer_channel = self._pool.get(address)
        try:
            with peer_channel.use() as channel:
                async for reply in self._replies(
                    channel, method, req, reply_timeout
                ):
                    yield reply
        except _CALL_ERRORS as exc:
            raise self._convert_error(address, peer_channel, exc) from exc

    def disconnect(self, address: str) -> None:
        """Close the channel to an address."""
        self._pool.disconnect(address)

    def close(self) -> None:
        """Close all channels."""
        self._pool.close()

    async def _call_once(
        self,
        channel: Channel,
        method: Method[RequestT, ReplyT],
        req: RequestT,
    ) -> ReplyT:
        stub: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
            channel,
            method.path,
            method.request,
            method.reply,
        )
        encoded, headers = self._sign(method, req)
        async with stub.open(metadata=headers) as conn:
            await conn.send_message(encoded, end=True)
            reply = await self._receive(conn, method)
        if reply is None:
            raise msgspec.DecodeError('the call had no reply')
        return reply

    async def _replies(
        self,
        channel: Channel,
        method: Method[Any, ReplyT],
        req: Any,
        reply_timeout: float,
    ) -> AsyncIterator[ReplyT]:
        stub: UnaryStreamMethod[Any, Any] = UnaryStreamMethod(
            channel,
            method.path,
            method.request,
            method.reply,
        )
        encoded, headers = self._sign(method, req)
        async with stub.open(metadata=headers) as conn:
            async with asyncio.timeout(reply_timeout):
                await conn.send_message(encoded, end=True)
            while True:
                async with asyncio.timeout(reply_timeout):
                    reply = await self._receive(conn, method)
                if reply is None:
                    return
                yield reply

    def _sign(
        self,
        method: Method[Any, Any],
        req: Any,
    ) -> tuple[EncodedMessage, dict[str, str]]:
        encoded = EncodedMessage(self._codec.encode(req, method.request))
        if len(encoded) > method.max_bytes:
            raise PeerRefused(f'a message of {len(encoded)} bytes is too large')
        now = self._clock.wall()
        return encoded, self._keyring.sign(method.path, now, encoded)

    async def _receive(
        self,
        conn: Stream[Any, Any],
        method: Method[Any, ReplyT],
    ) -> ReplyT | None:
        if conn.initial_metadata is None:
            await conn.recv_initial_metadata()
        with conn._wrapper:  # noqa: SLF001, WPS437
            encoded = await receive_encoded(conn, method.max_bytes)
        if encoded is None:
            return None
        reply: ReplyT = self._codec.decode(encoded, method.reply)
        return reply

    def _convert_error(
        self,
        address: str,
        peer_channel: PeerChannel,
        exc: Exception,
    ) -> Exception:
        if isinstance(exc, GRPCError) and exc.status in _REFUSALS:
            return PeerRefused(str(exc.message))
        if not _is_reply(exc):
            self._pool.retire(address, peer_channel)
        return PeerUnavailable(f'{address}: {exc!r}')


def _is_reply(exc: Exception) -> bool:
    """Return whether the peer sent the failure over a working connection."""
    return isinstance(exc, GRPCError) and exc.status != Status.UNAVAILABLE
