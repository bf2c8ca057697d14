"""Client connections, which carry one exchange at a time and are reused.

The library only parses. This module decides when a response is complete and
when a connection may be reused. It never sends a request twice.
"""

import asyncio
import socket
import struct
from collections import deque
from typing import Any, cast

from httptools import HttpParserError, HttpResponseParser

from mintlanding.core.exceptions import (
    InvalidResponse,
    RequestNotSent,
    ResponseLost,
    ResponseTimeout,
)
from mintlanding.core.numbers import parse_count
from mintlanding.http1.delivery import (
    DELIVERY_SECONDS,
    Delivery,
    delivery,
)
from mintlanding.http1.models import (
    FINAL_STATUSES,
    INTERIM_STATUSES,
    NO_BODY_STATUSES,
    BodyFraming,
    ClientOptions,
    ResponseHead,
)
from mintlanding.http1.receiving import ReceivingProtocol

Address = tuple[str, int]

_MILLISECONDS = 1000
# Times the timeout of one chunk that a whole body may take.
_BODY_TIMEOUTS = 4
_KEEP_ALIVE = b'timeout='
# Value of SO_LINGER: on, for no time.
_NO_LINGER = struct.pack('ii', 1, 0)
# Bytes that the kernel of a peer takes while the peer reads nothing.
UNREAD_BYTES = 1 << 16


class ClientConnection(ReceivingProtocol):
    """A connection to a server, which carries one exchange at a time."""

    def __init__(self, options: ClientOptions, address: Address) -> None:
        """Start without a transport."""
        self.address = address
        self.idle_until: float = 0
        self._options = options
        self._exchanges = 0
        self._transport: asyncio.Transport | None = None
        self._is_large = False
        # Runs while a body has ended, but the request is not taken whole.
        self._end_timer: asyncio.TimerHandle | None = None
        self._head: ResponseHead | None = None
        self._is_complete = False
        self._reset_exchange()

    @property
    def member(self) -> str:
        """Return the member that passes the bytes on, empty for none."""
        return ''

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can be written to."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_reused(self) -> bool:
        """Tell whether this is not the first exchange of the connection.

        A server may then send a response to an earlier one again.
        """
        return self._exchanges > 1

    @property
    def is_reusable(self) -> bool:
        """Tell whether the response is complete and the connection intact."""
        return self._is_complete and self._may_reuse and self.is_open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an exchange whose response is incomplete."""
        self._may_reuse = False
        if not self._is_busy or self._is_complete:
            return
        self._fail(
            ResponseLost(repr(exc) if exc else 'the connection was closed')
        )

    def eof_received(self) -> bool:
        """Complete a body that the server's close delimits.

        The transport closes itself and reports any other body as lost. A close
        by this side never completes a body. While the server has not taken the
        whole request, a reset may follow, which shows that it has broken off.
        """
        self._may_reuse = False
        head = self._head
        ends_body = (
            self._has_head and head is not None and not head.is_delimited
        )
        if not self._is_busy or self._is_over or not ends_body:
            return False
        self._end_body()
        return not self._is_over

    def data_received(self, chunk: bytes) -> None:
        """Parse a chunk; close on bytes that belong to no exchange."""
        if not self._is_busy or self._is_over:
            self.abort()
            return
        self._unparsed += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except HttpParserError as exc:
            self._may_reuse = False
            if not self._is_complete:
                self._fail(InvalidResponse(repr(exc)))
        limit = self._options.header_bytes
        if self._unparsed > limit and not self._is_complete:
            self._reject(f'more than {limit} bytes contain no part of a body')

    def send(self, payload: bytes) -> None:
        """Start an exchange; raise RequestNotSent on a closed connection."""
        if self._transport is None or not self.is_open:
            raise RequestNotSent('the connection is closed')
        self._reset_exchange()
        self._exchanges += 1
        self._is_busy = True
        self._bound_silence(len(payload))
        self._transport.write(payload)

    async def read_head(self, seconds: float) -> ResponseHead:
        """Return the head of the response; raise ResponseLost without one."""
        deadline = asyncio.get_running_loop().time() + seconds
        while self._head is None or not self._has_head:
            self._raise_error()
            await self._wait(deadline)
        return self._head

    async def read_chunk(self, seconds: float) -> bytes:
        """Return the next received part of the body, empty at its end."""
        deadline = asyncio.get_running_loop().time() + seconds
        while not self._chunks:
            self._raise_error()
            if self._is_complete:
                return b''
            self._resume_reading()
            await self._wait(deadline)
        chunk = b''.join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        self._resume_reading()
        return chunk

    def pause(self) -> None:
        """Read nothing until the next part of the body is asked for."""
        if not self._is_complete:
            self._pause_reading()

    async def read_body(self, seconds: float) -> bytes:
        """Return the rest of the body; each chunk may take `seconds`.

        Raise InvalidResponse for a body over the limit, and ResponseTimeout
        for one that takes several times as long.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + _BODY_TIMEOUTS * seconds
        body = bytearray()
        while chunk := await self.read_chunk(min(seconds, end - loop.time())):
            if loop.time() >= end:
                raise ResponseTimeout('the body did not end in time')
            body += chunk
            if len(body) > self._options.body_bytes:
                limit = self._options.body_bytes
                self._reject(f'the body exceeds {limit} bytes')
                self._raise_error()
        return bytes(body)

    def finish(self, now: float) -> bool:
        """End the exchange; return whether the connection may be reused."""
        transport = self._transport
        is_clean = (
            self.is_reusable
            and transport is not None
            and transport.get_write_buffer_size() == 0
        )
        if not is_clean:
            self.abort()
            return False
        self._is_busy = False
        self._resume_reading()
        self.idle_until = now + self._idle_seconds()
        return True

    def abort(self) -> None:
        """Close at once, so that the server can cancel a running request."""
        self._may_reuse = False
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response; a second one was not requested."""
        if self._is_over:
            self._may_reuse = False
            return
        self._head = ResponseHead(0)
        self._has_head = False

    def on_header(self, name: bytes, field: bytes) -> None:
        """Collect a header, up to the size limit."""
        if self._is_over or self._head is None:
            return
        self._header_bytes += len(name) + len(field)
        limit = self._options.header_bytes
        if self._header_bytes > limit:
            self._reject(f'the response headers exceed {limit} bytes')
            return
        self._head.headers.append((name.lower(), field))

    def on_headers_complete(self) -> None:
        """Publish the head of a final response; ignore an interim one.

        A status that is neither fails the exchange at once.
        """
        if self._is_over or self._head is None:
            return
        head = self._head
        head.status = self._parser.get_status_code()
        if head.status in INTERIM_STATUSES:
            return
        if head.status not in FINAL_STATUSES:
            self._reject(f'status {head.status:03} is no answer to a request')
            return
        head.framing = _framing(head)
        self._may_reuse = (
            head.is_delimited
            and b'close' not in head.get(b'connection').lower()
        )
        self._has_head = True
        self._unparsed = 0
        self._wake()

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        if self._is_over:
            return
        self._unparsed = 0
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        if self._buffered > self._options.buffer_bytes:
            self._pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """Record the end of a final response."""
        if self._has_head and not self._is_over:
            self._is_complete = True
            self._wake()

    @property
    def _is_over(self) -> bool:
        """Tell whether the response is complete or has failed."""
        return self._is_complete or self._error is not None

    def _end_body(self) -> None:
        """Complete the response once the server has taken the request."""
        if self._is_over or self._transport is None:
            return
        found = delivery(self._transport)
        if found is Delivery.reset:
            self._lose_body('the connection was reset at the end of the body')
        elif found is Delivery.taken:
            self._is_complete = True
            self._wake()
        else:
            self._await_delivery()

    def _lose_body(self, reason: str) -> None:
        self._fail(ResponseLost(reason))
        self.abort()

    def _await_delivery(self) -> None:
        # A pause in reading lets the same end be reported again.
        if self._end_timer is not None:
            self._end_timer.cancel()
        loop = asyncio.get_running_loop()
        self._end_timer = loop.call_later(DELIVERY_SECONDS, self._end_body)

    def _bound_silence(self, size: int) -> None:
        """Let the server read nothing for longer while a body is sent."""
        is_large = size > UNREAD_BYTES
        if self._transport is None or is_large == self._is_large:
            return
        self._is_large = is_large
        options = self._options
        set_user_timeout(
            self._transport,
            options.silent_timeout if is_large else options.user_timeout,
        )

    def _reset_exchange(self) -> None:
        self._parser: Any = HttpResponseParser(self)
        self._head = None
        self._has_head = False
        self._header_bytes = 0
        # Bytes received since the last part of a body.
        self._unparsed = 0
        self._buffered = 0
        self._chunks: deque[bytes] = deque()
        self._is_busy = False
        self._is_complete = False
        self._may_reuse = False
        self._error: ResponseLost | None = None
        self._waiter: asyncio.Future[None] | None = None

    def _idle_seconds(self) -> float:
        declared = self._head.get(b'keep-alive') if self._head else b''
        _, separator, number = declared.partition(_KEEP_ALIVE)
        declared_seconds = parse_count(
            number.split(b',')[0].strip().decode('latin-1')
        )
        seconds = self._options.idle_timeout
        if separator and declared_seconds is not None:
            seconds = min(seconds, declared_seconds)
        return max(0, seconds - self._options.idle_margin)

    def _reject(self, reason: str) -> None:
        """Fail the exchange and close, since the server may never end."""
        self._fail(InvalidResponse(reason))
        self.abort()

    def _pause_reading(self) -> None:
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.is_open and self._transport is not None:
            self._transport.resume_reading()

    def _fail(self, error: ResponseLost) -> None:
        if self._error is None:
            self._error = error
        self._wake()

    def _raise_error(self) -> None:
        if self._error is not None and not self._is_complete:
            raise self._error

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_at(deadline, self._expire, self._waiter)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _expire(self, waiter: asyncio.Future[None]) -> None:
        if not waiter.done():
            waiter.set_exception(ResponseTimeout('no response in time'))


class ConnectionPool:
    """Idle connections by address; the last released is used first."""

    def __init__(
        self, options: ClientOptions, *, discards_unsent: bool = False
    ) -> None:
        """Start without connections.

        With `discards_unsent` a close takes back what the peer's kernel has not
        received yet, also when the process ends.
        """
        self.opened = 0
        self._options = options
        self._discards_unsent = discards_unsent
        self._idle: dict[Address, list[ClientConnection]] = {}

    async def acquire(
        self,
        address: Address,
        *,
        is_fresh: bool = False,
        seconds: float | None = None,
    ) -> ClientConnection:
        """Return an idle or new connection; raise RequestNotSent on failure."""
        conn = None if is_fresh else self.take_idle(address)
        if conn is not None:
            return conn
        return await self._open(
            address, seconds or self._options.connect_timeout
        )

    def take_idle(self, address: Address) -> ClientConnection | None:
        """Return an idle connection, None without one."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if conn.is_open and conn.idle_until > now:
                return conn
            conn.abort()
        return None

    def release(self, conn: ClientConnection) -> None:
        """Keep a reusable connection and close any other."""
        now = asyncio.get_running_loop().time()
        if conn.finish(now):
            self._idle.setdefault(conn.address, []).append(conn)

    def prune(self) -> None:
        """Close the connections whose idle time is over."""
        now = asyncio.get_running_loop().time()
        for address in list(self._idle):
            kept: list[ClientConnection] = []
            for conn in self._idle[address]:
                if conn.is_open and conn.idle_until > now:
                    kept.append(conn)
                else:
                    conn.abort()
            self._idle[address] = kept
            if not kept:
                self._idle.pop(address)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.abort()
        self._idle.clear()

    async def _open(self, address: Address, seconds: float) -> ClientConnection:
        loop = asyncio.get_running_loop()
        conn = ClientConnection(self._options, address)
        try:
            async with asyncio.timeout(seconds):
                transport, _ = await loop.create_connection(
                    lambda: conn,
                    *address,
                )
        except (OSError, OverflowError, ValueError) as exc:
            # Addresses that cannot exist raise the last two.
            raise RequestNotSent(repr(exc)) from exc
        self.opened += 1
        set_user_timeout(transport, self._options.user_timeout)
        if self._discards_unsent:
            _reset_when_closed(transport)
        return conn


def _framing(head: ResponseHead) -> BodyFraming:
    if head.status in NO_BODY_STATUSES:
        return BodyFraming.none
    if b'chunked' in head.get(b'transfer-encoding').lower():
        return BodyFraming.chunked
    if head.get(b'content-length'):
        return BodyFraming.length
    return BodyFraming.close


def _reset_when_closed(transport: asyncio.BaseTransport) -> None:
    """Let a close discard unsent bytes; the kernel goes on sending else."""
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def set_user_timeout(transport: asyncio.BaseTransport, seconds: float) -> None:
    """Limit how long sent bytes may stay unacknowledged; disable Nagle."""
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(seconds * _MILLISECONDS),
    )
