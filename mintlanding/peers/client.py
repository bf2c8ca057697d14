"""Call typed methods of other processes."""

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
from mintlanding.peers.framing import receive_packed
from mintlanding.peers.messages import Method, PackCodec, Packed

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')

_REFUSALS = frozenset((Status.UNAUTHENTICATED, Status.INVALID_ARGUMENT))
_LOST = (
    GRPCError,
    OSError,
    StreamTerminatedError,
    ProtocolError,
    TimeoutError,
    msgspec.DecodeError,
)


class PeerClient:
    """One channel for each address; a call that times out drops its channel.

    A connection can go silent for good while new ones work, so no later call
    may wait on one that has just failed to answer.
    """

    def __init__(
        self,
        keyring: PeerKeyring,
        clock: Clock | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Take the keyring that signs the calls."""
        self._keyring = keyring
        self._clock = clock or SystemClock()
        self._codec = PackCodec()
        self._pool = ChannelPool(self._codec, tls)

    def set_keyring(self, keyring: PeerKeyring) -> None:
        """Sign later calls with other secrets."""
        self._keyring = keyring

    async def call(
        self,
        address: str,
        method: Method[RequestT, ReplyT],
        req: RequestT,
        timeout: float,
    ) -> ReplyT:
        """Call a method at `host:port` within `timeout` seconds.

        Raises PeerUnavailable when no answer came, PeerRefused when the
        other side refused the caller or the message.
        """
        known = self._pool.get(address)
        try:
            async with asyncio.timeout(timeout):
                with known.use() as channel:
                    return await self._call_once(channel, method, req)
        except _LOST as exc:
            raise self._failure(address, known, exc) from exc

    async def stream(
        self,
        address: str,
        method: Method[RequestT, ReplyT],
        req: RequestT,
        silence: float,
    ) -> AsyncIterator[ReplyT]:
        """Yield replies; a gap of more than `silence` seconds ends the call."""
        known = self._pool.get(address)
        try:
            with known.use() as channel:
                async for reply in self._replies(channel, method, req, silence):
                    yield reply
        except _LOST as exc:
            raise self._failure(address, known, exc) from exc

    def forget(self, address: str) -> None:
        """Close the channel to an address."""
        self._pool.forget(address)

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
        packed, headers = self._sign(method, req)
        async with stub.open(metadata=headers) as conn:
            await conn.send_message(packed, end=True)
            reply = await self._receive(conn, method)
        if reply is None:
            raise msgspec.DecodeError('the call had no reply')
        return reply

    async def _replies(
        self,
        channel: Channel,
        method: Method[Any, ReplyT],
        req: Any,
        silence: float,
    ) -> AsyncIterator[ReplyT]:
        stub: UnaryStreamMethod[Any, Any] = UnaryStreamMethod(
            channel,
            method.path,
            method.request,
            method.reply,
        )
        packed, headers = self._sign(method, req)
        async with stub.open(metadata=headers) as conn:
            async with asyncio.timeout(silence):
                await conn.send_message(packed, end=True)
            while True:
                async with asyncio.timeout(silence):
                    reply = await self._receive(conn, method)
                if reply is None:
                    return
                yield reply

    def _sign(
        self,
        method: Method[Any, Any],
        req: Any,
    ) -> tuple[Packed, dict[str, str]]:
        packed = Packed(self._codec.encode(req, method.request))
        if len(packed) > method.max_bytes:
            raise PeerRefused(f'a message of {len(packed)} bytes is too large')
        now = self._clock.wall()
        return packed, self._keyring.sign(method.path, now, packed)

    async def _receive(
        self,
        conn: Stream[Any, Any],
        method: Method[Any, ReplyT],
    ) -> ReplyT | None:
        if conn.initial_metadata is None:
            await conn.recv_initial_metadata()
        with conn._wrapper:  # noqa: SLF001, WPS437
            packed = await receive_packed(conn, method.max_bytes)
        if packed is None:
            return None
        reply: ReplyT = self._codec.decode(packed, method.reply)
        return reply

    def _failure(
        self,
        address: str,
        known: PeerChannel,
        exc: Exception,
    ) -> Exception:
        if isinstance(exc, GRPCError) and exc.status in _REFUSALS:
            return PeerRefused(str(exc.message))
        if not _is_answer(exc):
            self._pool.retire(address, known)
        return PeerUnavailable(f'{address}: {exc!r}')


def _is_answer(exc: Exception) -> bool:
    """Tell whether the failure has come over a connection that works."""
    return isinstance(exc, GRPCError) and exc.status != Status.UNAVAILABLE
