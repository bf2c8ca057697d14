"""Server for callers: limits on requests, and detection of disconnects."""

import asyncio
import contextlib
import fcntl
import socket
import termios
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Self, cast

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from mintlanding.core.exceptions import ResponseAlreadyBegun
from mintlanding.core.listening import listen
from mintlanding.core.logs import Logger, describe_exception
from mintlanding.core.numbers import parse_count
from mintlanding.http1.models import (
    NO_BODY_STATUSES,
    Headers,
    MessageLimits,
    header_value,
)

# Requests that a caller may pipeline on one connection.
_MAX_PIPELINED = 16
# Bytes of a response buffered for a slow caller before the relay pauses.
_HIGH_WATER_BYTES = 1 << 18
# Seconds in which a caller should close its side after the last response.
_LINGER_SECONDS = 1.0
# Seconds for which a stopping server waits for the first request of a new
# connection, which callers send right after they have connected.
_FIRST_REQUEST_SECONDS = 1.0
# Size of the number of unread bytes.
_INT_BYTES = 4
_REASONS = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def head_bytes(status: int, headers: Headers) -> bytes:
    """Encode the head of a response."""
    reason = _REASONS.get(status, b'Status')
    lines = [b'HTTP/1.1 %d %b\r\n' % (status, reason)]
    lines.extend(b'%b: %b\r\n' % header for header in headers)
    lines.append(b'\r\n')
    return b''.join(lines)


@dataclass(slots=True)
class CallerRequest:
    """A request with its body, and the response to it.

    `arrived` is the monotonic time of its first byte. The handler is cancelled
    when the caller disconnects, unless the request `outlives_caller`.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    conn: 'CallerConnection'
    is_last: bool = False
    outlives_caller: bool = False
    is_answered: bool = field(default=False, init=False)
    is_streaming: bool = field(default=False, init=False)

    def get(self, name: bytes) -> bytes:
        """Return a header's value, empty when it is missing."""
        return header_value(self.headers, name)

    @property
    def is_disconnected(self) -> bool:
        """Tell whether the caller has disconnected."""
        return self.conn.is_disconnected

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response with its whole body."""
        self._check_unanswered(status)
        full = headers
        if status not in NO_BODY_STATUSES:
            full = [*headers, (b'content-length', b'%d' % len(body))]
        self.conn.write(
            head_bytes(status, self._with_close_header(full)) + body
        )
        self.is_answered = True

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a chunked response."""
        self._check_unanswered(status)
        full = [*headers, (b'transfer-encoding', b'chunked')]
        self.conn.write(head_bytes(status, self._with_close_header(full)))
        self.is_streaming = True

    def write(self, chunk: bytes) -> None:
        """Send a chunk."""
        self.conn.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))

    def end(self) -> None:
        """End a chunked response."""
        self.conn.write(b'0\r\n\r\n')
        self.is_answered = True

    def abort(self) -> None:
        """Close the connection, so that the response is seen as incomplete."""
        self.is_answered = True
        self.conn.abort()

    def _check_unanswered(self, status: int) -> None:
        if self.is_streaming or self.is_answered:
            raise ResponseAlreadyBegun(
                f'response {status} to {self.method!r} {self.target!r} '
                'after another one; abort the response that has begun',
            )

    def _with_close_header(self, headers: Headers) -> Headers:
        is_stopping = self.conn.is_draining and not self.conn.has_pending
        if self.is_last or is_stopping:
            self.is_last = True
            return [*headers, (b'connection', b'close')]
        return headers


RequestHandler = Callable[[CallerRequest], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """A connection of a caller, whose requests are served in order."""

    def __init__(self, server: 'CallerServer') -> None:
        """Attach to a server."""
        self.is_disconnected = False
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: Any = HttpRequestParser(self)
        self._pending: deque[CallerRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._current: CallerRequest | None = None
        self._timer: asyncio.TimerHandle | None = None
        # When the wait that the timer bounds began.
        self._waits_since = self._loop.time()
        self._drained = asyncio.Event()
        self._drained.set()
        self._opened_at = self._loop.time()
        self._had_request = False
        self._in_request = False
        # True once the last response has been written.
        self._is_ending = False
        # Status with which what follows is refused, 0 while nothing is.
        self._refused_status = 0
        self._reset_message()

    @property
    def is_draining(self) -> bool:
        """Tell whether the server closes connections after a response."""
        return self._server.is_draining

    @property
    def has_pending(self) -> bool:
        """Tell whether requests that were read wait behind the current one."""
        return bool(self._pending)

    @property
    def _is_refused(self) -> bool:
        return self._refused_status != 0

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read, served or answered."""
        is_busy = self._in_request or self._is_ending
        return self._task is None and not is_busy

    @property
    def may_close(self) -> bool:
        """Tell whether it is idle, and no request is about to be read."""
        if not self.is_idle or self._has_unread_bytes():
            return False
        age = self._loop.time() - self._opened_at
        return self._had_request or age > _FIRST_REQUEST_SECONDS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server and start the idle timeout."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        self._server.connections.add(self)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request, unless it outlives its caller."""
        self.is_disconnected = True
        self._drained.set()
        self._server.connections.discard(self)
        self._cancel_timer()
        self._pending.clear()
        current = self._current
        runs_on = current is not None and current.outlives_caller
        if self._task is not None and not runs_on:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make `drain` wait."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Let `drain` return."""
        self._drained.set()

    def data_received(self, chunk: bytes) -> None:
        """Parse a chunk; refuse invalid HTTP."""
        if self._is_refused or self._is_ending:
            return
        try:
            self._parser.feed_data(chunk)
        except (HttpParserError, HttpParserUpgrade):
            self._refuse(400)

    def write(self, payload: bytes) -> None:
        """Write, unless the caller has disconnected."""
        if self._transport is not None and not self.is_disconnected:
            self._transport.write(payload)

    async def drain(self) -> None:
        """Wait until the write buffer is below its high-water mark."""
        await self._drained.wait()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once all bytes are written."""
        if self._transport is not None:
            self._transport.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request, which may share a chunk with the one before."""
        if self._is_refused:
            return
        self._reset_message()
        self._had_request = True
        self._in_request = True
        if self._task is None:
            self._start_timer()

    def on_url(self, part: bytes) -> None:
        """Collect the request target."""
        self._target += part

    def on_header(self, name: bytes, field: bytes) -> None:
        """Collect a header, up to the size limit."""
        self._header_bytes += len(name) + len(field) + 4
        if self._header_bytes > self._server.limits.header_bytes:
            self._refuse(431)
            return
        self._headers.append((name.lower(), field))

    def on_headers_complete(self) -> None:
        """Check the declared body size; send 100 Continue if expected."""
        if self._is_refused:
            return
        length = header_value(self._headers, b'content-length')
        declared = parse_count(length.decode('latin-1'))
        if (declared or 0) > self._server.limits.body_bytes:
            self._refuse(413)
            return
        expected = header_value(self._headers, b'expect').lower()
        self._expects_continue = expected == b'100-continue'
        if self._task is None:
            self._send_continue()

    def on_body(self, part: bytes) -> None:
        """Collect the body, up to the size limit."""
        self._body_bytes += len(part)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(413)
            return
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Queue the request for its handler."""
        if self._is_refused:
            return
        self._in_request = False
        self._expects_continue = False
        self._cancel_timer()
        if self._parser.should_upgrade():
            # The parser takes the body for bytes of another protocol.
            self._refuse(400)
            return
        if len(self._pending) >= _MAX_PIPELINED:
            self._refuse(503)
            return
        req = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b''.join(self._body),
            arrived=self._started,
            conn=self,
            is_last=not self._parser.should_keep_alive(),
        )
        self._pending.append(req)
        if self._task is None:
            self._serve_next()

    def _has_unread_bytes(self) -> bool:
        """Tell whether bytes have arrived that were not read yet."""
        if self._transport is None or self._transport.is_closing():
            return False
        sock = self._transport.get_extra_info('socket')
        unread = bytearray(_INT_BYTES)
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, unread)
        return any(unread)

    def _reset_message(self) -> None:
        self._started = self._loop.time()
        self._target = b''
        self._headers: Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._expects_continue = False

    def _send_continue(self) -> None:
        """Ask for an expected body; not amid the response before."""
        if self._expects_continue:
            self._expects_continue = False
            self.write(_CONTINUE)

    def _serve_next(self) -> None:
        if not self._pending and self._is_refused:
            self._send_refusal()
            return
        if not self._pending or self.is_disconnected:
            self._send_continue()
            self._start_timer()
            return
        req = self._pending.popleft()
        self._current = req
        self._task = self._loop.create_task(self._serve(req))
        self._task.add_done_callback(self._task_done)

    async def _serve(self, req: CallerRequest) -> None:
        await self._server.handler(req)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        req, self._current, self._task = self._current, None, None
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self._server.logger.error(
                'Request handler failed.', **describe_exception(exc)
            )
            if req is not None and not (req.is_answered or req.is_streaming):
                req.respond(500, [], b'')
        if req is None or not req.is_answered:
            self.abort()
            return
        if req.is_last:
            self._close_after_response()
            return
        self._serve_next()

    def _refuse(self, status: int) -> None:
        """Refuse what follows, after the responses to earlier requests."""
        if self._is_refused:
            return
        self._refused_status = status
        self._server.refused(status)
        self._cancel_timer()
        if self._task is None:
            self._send_refusal()

    def _send_refusal(self) -> None:
        closing: Headers = [
            (b'content-length', b'0'),
            (b'connection', b'close'),
        ]
        self.write(head_bytes(self._refused_status, closing))
        self._close_after_response()

    @property
    def _time_limit(self) -> float:
        limits = self._server.limits
        return (
            limits.header_timeout if self._in_request else limits.idle_timeout
        )

    def _close_after_response(self) -> None:
        """Close the sending side; read on until the caller closes its own.

        A socket that is closed with unread bytes resets its connection, and
        the caller loses what it has not read of the response.
        """
        self._cancel_timer()
        if self._transport is None or self.is_disconnected:
            return
        self._is_ending = True
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        self._timer = self._loop.call_later(_LINGER_SECONDS, self._end)

    def _end(self) -> None:
        """Close, unless the caller still reads the response."""
        self._timer = None
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            self._linger()
            return
        self.close()

    def _start_timer(self) -> None:
        self._cancel_timer()
        self._waits_since = self._loop.time()
        self._timer = self._loop.call_later(self._time_limit, self._expire)

    def follow_limits(self) -> None:
        """Follow changed limits; shorter ones count from now at most."""
        if self._timer is None or self._is_ending:
            return
        now = self._loop.time()
        due = max(self._timer.when(), self._waits_since + self._time_limit)
        self._cancel_timer()
        due = min(due, now + self._time_limit)
        self._timer = self._loop.call_at(due, self._expire)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        if self._task is not None:
            return
        if self._in_request:
            self._refuse(408)
        elif self._has_unread_bytes():
            # A request came while the loop was busy with something else.
            self._start_timer()
        else:
            self.close()


class CallerServer:
    """Accept callers' connections and pass requests to a handler."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: MessageLimits,
        logger: Logger,
    ) -> None:
        """Take the handler of requests."""
        self.handler = handler
        self.limits = limits
        self.logger = logger
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.refusals: dict[int, int] = {}
        self._listener: asyncio.Server | None = None
        # Connections that the listener has left.
        self._accepting: set[asyncio.Task[Any]] = set()

    @classmethod
    def from_config(cls, handler: RequestHandler, name: str) -> Self:
        """Create a server with default limits and a named logger."""
        return cls(handler, MessageLimits(), Logger(name))

    async def start(self, host: str, port: int, backlog: int = 1024) -> None:
        """Listen; raise AddressNotAvailable if the address is in use."""
        self._listener = await listen(
            self._build_connection, host, port, backlog
        )

    @property
    def port(self) -> int:
        """Return the port of the listener, 0 without one."""
        if self._listener is None:
            return 0
        return int(self._listener.sockets[0].getsockname()[1])

    def set_limits(self, limits: MessageLimits) -> None:
        """Replace the limits, also for the connections that are open."""
        if limits == self.limits:
            return
        self.limits = limits
        for conn in tuple(self.connections):
            conn.follow_limits()

    def refused(self, status: int) -> None:
        """Count a request that was refused before it reached the handler."""
        self.refusals[status] = self.refusals.get(status, 0) + 1

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for conn in tuple(self.connections):
            if conn.may_close:
                conn.close()

    @property
    def is_listening(self) -> bool:
        """Tell whether new connections are accepted."""
        return self._listener is not None

    def close_listener(self) -> None:
        """Accept the connections that wait for it, and no further ones."""
        if self._listener is None:
            return
        for each in self._listener.sockets:
            with each.dup() as sock:
                self._accept_waiting(sock)
        self._end_listener()

    def stop(self) -> None:
        """Stop listening and close all connections at once."""
        self._end_listener()
        for conn in tuple(self.connections):
            conn.abort()

    def _build_connection(self) -> CallerConnection:
        return CallerConnection(self)

    def _end_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _accept_waiting(self, listener: socket.socket) -> None:
        """Accept what has connected; it is reset if the listener closes."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            task = loop.create_task(
                loop.connect_accepted_socket(self._build_connection, sock)
            )
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
