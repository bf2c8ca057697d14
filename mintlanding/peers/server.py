"""Serve remote methods to the other processes of the system."""

import asyncio
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, cast

import msgspec
from grpclib import GRPCError, Status
from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream

from mintlanding.core.clock import Clock, SystemClock
from mintlanding.core.exceptions import PeerRefused
from mintlanding.core.logs import Logger
from mintlanding.peers.auth import (
    MAX_SKEW_SECONDS,
    NONCE_HEADER,
    NonceWindow,
    PeerKeyring,
    check_body,
)
from mintlanding.peers.connections import connection_settings
from mintlanding.peers.framing import receive_encoded
from mintlanding.peers.messages import MessagePackCodec, Method

UnaryHandler = Callable[[Any, str], Awaitable[Any]]
StreamHandler = Callable[[Any, str], AsyncIterator[Any]]

_GRACE_SECONDS = 5


class PeerServer:
    """Server that accepts calls from members only.

    Handlers are called with the decoded message and the name of the sender.
    """

    def __init__(
        self,
        keyring: PeerKeyring,
        clock: Clock | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server that verifies callers with the keyring."""
        self._keyring = keyring
        self._clock = clock or SystemClock()
        self._tls = tls
        self._logger = Logger('peers')
        self._codec = MessagePackCodec()
        self._nonces = NonceWindow(2 * MAX_SKEW_SECONDS)
        self._mapping: dict[str, Handler] = {}
        self._server: Server | None = None
        self._running = 0
        self._is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib expects them."""
        return self._mapping

    def set_keyring(self, keyring: PeerKeyring) -> None:
        """Verify later calls with another keyring."""
        self._keyring = keyring

    def add(self, method: Method[Any, Any], handler: UnaryHandler) -> None:
        """Serve a method with a single reply."""

        async def serve(stream: Stream[Any, Any]) -> None:
            req, sender = await self._receive(method, stream)
            reply = await self._run(method, handler(req, sender))
            await stream.send_message(reply)

        async def serve_counted(stream: Stream[Any, Any]) -> None:
            self._running += 1
            self._idle.clear()
            try:
                await self._report_cancellation(serve(stream))
            finally:
                self._end_call()

        self._register(method, serve_counted, Cardinality.UNARY_UNARY)

    def add_stream(
        self,
        method: Method[Any, Any],
        handler: StreamHandler,
    ) -> None:
        """Serve a method that streams replies."""

        async def serve(stream: Stream[Any, Any]) -> None:
            req, sender = await self._receive(method, stream)
            async for reply in handler(req, sender):
                await stream.send_message(reply)

        async def serve_stream(stream: Stream[Any, Any]) -> None:
            await self._report_cancellation(serve(stream))

        self._register(method, serve_stream, Cardinality.UNARY_STREAM)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._is_draining = False
        self._server = Server(
            [self],
            codec=self._codec,  # type: ignore[arg-type]
            config=connection_settings(),
        )
        await self._server.start(host, port, ssl=self._tls)

    async def stop(self, grace: float = _GRACE_SECONDS) -> None:
        """Reject new calls, wait for running unary calls, then close.

        Unary calls that run longer than `grace` seconds are cancelled, as are
        all streams, which may never end by themselves.
        """
        if self._server is None:
            return
        self._is_draining = True
        try:
            async with asyncio.timeout(grace):
                await self._idle.wait()
        except TimeoutError:
            self._logger.warning(
                'Calls cancelled on shutdown.',
                calls=self._running,
            )
        self._server.close()
        await self._server.wait_closed()

    async def _receive(
        self,
        method: Method[Any, Any],
        stream: Stream[Any, Any],
    ) -> tuple[Any, str]:
        if self._is_draining:
            raise GRPCError(Status.UNAVAILABLE, 'the process is shutting down')
        headers = cast(Mapping[str, str], stream.metadata)
        try:
            sender = self._authenticate(method, headers)
        except PeerRefused as exc:
            self._logger.warning('Call refused.', reason=str(exc))
            raise GRPCError(Status.UNAUTHENTICATED, str(exc)) from exc
        try:
            req = await self._receive_body(method, stream, headers)
        except (PeerRefused, msgspec.DecodeError) as cause:
            self._logger.warning(
                'Message refused.',
                method=method.path,
                sender=sender,
                reason=str(cause),
            )
            raise GRPCError(Status.INVALID_ARGUMENT, str(cause)) from cause
        return req, sender

    def _authenticate(
        self,
        method: Method[Any, Any],
        headers: Mapping[str, str],
    ) -> str:
        now = self._clock.wall()
        sender = self._keyring.verify(method.path, headers, now)
        nonce = str(headers.get(NONCE_HEADER, ''))
        if not self._nonces.accept(f'{sender} {nonce}', now):
            raise PeerRefused('the call was already received before (replay)')
        return sender

    async def _receive_body(
        self,
        method: Method[Any, Any],
        stream: Stream[Any, Any],
        headers: Mapping[str, str],
    ) -> Any:
        encoded = await receive_encoded(stream, method.max_bytes)
        if encoded is None:
            raise msgspec.DecodeError('the call has no message')
        check_body(headers, encoded)
        return self._codec.decode(encoded, method.request)

    async def _run(
        self,
        method: Method[Any, Any],
        work: Awaitable[Any],
    ) -> Any:
        try:
            return await work
        except GRPCError:
            raise
        except Exception as exc:
            self._logger.error(
                'Handler failed.',
                method=method.path,
                reason=repr(exc),
            )
            raise GRPCError(Status.INTERNAL, 'the handler failed') from exc

    async def _report_cancellation(self, work: Awaitable[None]) -> None:
        """Report a call that is cancelled by the shutdown as unavailable."""
        try:
            await work
        except asyncio.CancelledError as exc:
            if not self._is_draining:
                raise
            raise GRPCError(
                Status.UNAVAILABLE,
                'cancelled by the shutdown of the process',
            ) from exc

    def _end_call(self) -> None:
        self._running -= 1
        if not self._running:
            self._idle.set()

    def _register(
        self,
        method: Method[Any, Any],
        serve: Callable[[Stream[Any, Any]], Awaitable[None]],
        cardinality: Cardinality,
    ) -> None:
        self._mapping[method.path] = Handler(
            serve,
            cardinality,
            method.request,
            method.reply,
        )
