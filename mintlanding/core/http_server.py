"""Serve an ASGI application on the running loop, without signal handlers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Self, cast

import uvicorn
from starlette.types import ASGIApp, Receive, Scope, Send
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from mintlanding.core.listening import listen

TRANSPORT_KEY = 'mintlanding.transport'
_POLL_SECONDS = 0.02
_TOO_LARGE_STATUS = 431
_TOO_LARGE_BODY = b'{"error":{"code":104,"message":"headers too large"}}'
_TOO_LARGE_HEADERS = (
    (b'content-type', b'application/json'),
    (b'content-length', str(len(_TOO_LARGE_BODY)).encode()),
    (b'connection', b'close'),
)
_TOO_LARGE_RAW = b''.join(
    (
        b'HTTP/1.1 431 Request Header Fields Too Large\r\n',
        *(b'%b: %b\r\n' % header for header in _TOO_LARGE_HEADERS),
        b'\r\n',
        _TOO_LARGE_BODY,
    ),
)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of one server.

    `header_seconds` is the time within which a client must send its headers.
    """

    header_bytes: int = 16384
    header_seconds: float = 10
    keep_alive_seconds: int = 75
    backlog: int = 2048


async def reject_headers(scope: Scope, receive: Receive, send: Send) -> None:
    """Respond with status 431, in the format of all errors."""
    await send(
        {
            'type': 'http.response.start',
            'status': _TOO_LARGE_STATUS,
            'headers': _TOO_LARGE_HEADERS,
        },
    )
    await send({'type': 'http.response.body', 'body': _TOO_LARGE_BODY})


class LimitedProtocol(HttpToolsProtocol):
    """Limit the size and the duration of headers.

    While draining, responses announce that the connection is closed.
    """

    limits = HttpLimits()
    is_draining: Callable[[], bool] = bool

    def connection_made(self, transport: Any) -> None:
        """Start the timeout for the headers."""
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._in_headers = True
        # Bytes after the headers, and whether the last ones had a part of the
        # body. The parser keeps trailers.
        self._unparsed = 0
        self._has_body_part = False
        super().connection_made(transport)
        self._arm_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timeout for the headers."""
        self._disarm_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of headers and reject headers that are too large."""
        if self._in_headers:
            self._header_bytes += len(data)
            self._arm_header_timer()
        self._has_body_part = False
        super().data_received(data)
        if self._in_headers and self._header_bytes > self.limits.header_bytes:
            self.transport.write(_TOO_LARGE_RAW)
            self.transport.close()
        self._limit_trailers(len(data))

    def on_message_begin(self) -> None:
        """Add the transport to the scope of the application."""
        super().on_message_begin()
        scope = cast(dict[str, Any], self.scope)
        scope[TRANSPORT_KEY] = self.transport

    def on_headers_complete(self) -> None:
        """Call the application, or reject headers that are too large."""
        size = len(self.url) + sum(len(k) + len(v) for k, v in self.headers)
        self._in_headers = False
        self._header_bytes = 0
        self._disarm_header_timer()
        app = self.app
        if size > self.limits.header_bytes:
            self.app = reject_headers
        super().on_headers_complete()
        self.app = app
        if self.is_draining():
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Count only what comes after a part of the body."""
        self._has_body_part = True
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect the headers of the next request."""
        super().on_message_complete()
        self._in_headers = True

    def _limit_trailers(self, received: int) -> None:
        """Close on trailers or a chunk extension larger than all headers."""
        if self._in_headers or self._has_body_part:
            self._unparsed = 0
            return
        self._unparsed += received
        if self._unparsed > self.limits.header_bytes:
            self.transport.close()

    def _arm_header_timer(self) -> None:
        if self._header_timer is None:
            self._header_timer = self.loop.call_later(
                self.limits.header_seconds,
                self._close_slow_connection,
            )

    def _disarm_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_slow_connection(self) -> None:
        self._header_timer = None
        if self._in_headers and (self._header_bytes or self.cycle is None):
            self.transport.close()


class HttpServer:
    """HTTP server for an ASGI application."""

    def __init__(
        self,
        app: ASGIApp,
        host: str,
        port: int,
        limits: HttpLimits,
    ) -> None:
        """Prepare to serve `app`; `start` begins to listen."""
        self.host = host
        self.port = port
        self._draining = False
        self._state = ServerState()
        self._listener: asyncio.Server | None = None
        self._config = uvicorn.Config(
            app,
            loop='asyncio',
            http='httptools',
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=limits.keep_alive_seconds,
            backlog=limits.backlog,
        )
        self._protocol = type(
            'BoundProtocol',
            (LimitedProtocol,),
            {'limits': limits, 'is_draining': lambda each: self._draining},
        )

    @classmethod
    def from_config(
        cls,
        app: ASGIApp,
        host: str,
        port: int,
        limits: HttpLimits | None = None,
    ) -> Self:
        """Create a server on `host:port`; port 0 selects a free port."""
        return cls(app, host, port, limits or HttpLimits())

    @property
    def address(self) -> str:
        """Return `host:port`."""
        return f'{self.host}:{self.port}'

    @property
    def transports(self) -> list[asyncio.Transport]:
        """Return the transports of the open connections."""
        return [each.transport for each in self._state.connections]

    async def start(self) -> None:
        """Start to listen.

        Raise AddressNotAvailable if the address is in use.
        """
        if not self._config.loaded:
            self._config.load()
        self._draining = False
        self._listener = await listen(
            self._make_protocol, self.host, self.port, self._config.backlog
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def drain(self, seconds: float, idle_seconds: float = 0) -> bool:
        """Accept no new connections and wait for running requests.

        Requests that arrive on open connections within `idle_seconds` are
        still served. Return whether all requests ended within `seconds`.
        """
        self._draining = True
        await asyncio.sleep(_POLL_SECONDS)
        self._close_listener()
        await asyncio.sleep(idle_seconds)
        for connection in tuple(self._state.connections):
            connection.shutdown()
        return await self._wait_idle(seconds)

    async def stop(self) -> None:
        """Stop listening, abort connections and cancel running requests."""
        self._close_listener()
        for transport in self.transports:
            transport.abort()
        for task in tuple(self._state.tasks):
            task.cancel()
        await asyncio.gather(*self._state.tasks, return_exceptions=True)

    async def _wait_idle(self, seconds: float) -> bool:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while self._state.connections or self._state.tasks:
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(_POLL_SECONDS)
        return True

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _make_protocol(self) -> asyncio.Protocol:
        protocol: asyncio.Protocol = self._protocol(
            config=self._config,
            server_state=self._state,
            app_state={},
        )
        return protocol
