"""Server for callers: limits on requests, and detection of disconnects."""

import asyncio
import contextlib
import fcntl
import socket
import termios
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import islice
from typing import Any, Self, cast

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from mintlanding.byte_budget.budget import ByteBudget
from mintlanding.byte_budget.models import HeldKind, Holder
from mintlanding.core.exceptions import ResponseAlreadyBegun
from mintlanding.core.listening import listen
from mintlanding.core.logs import Logger, describe_exception
from mintlanding.core.numbers import parse_count
from mintlanding.http1.incoming import IncomingRequest
from mintlanding.http1.models import (
    NO_BODY_STATUSES,
    Headers,
    MessageLimits,
    header_value,
)
from mintlanding.http1.receiving import ReceivingProtocol

# Requests that a caller may pipeline on one connection.
_MAX_PIPELINED = 16
# Bytes of a response buffered for a slow caller before the relay pauses.
_HIGH_WATER_BYTES = 1 << 18
# Seconds in which a caller should close its side after the last response.
_LINGER_SECONDS = 1.0
# Seconds for which a stopping server waits for the first request of a new
# connection, which callers send right after they have connected.
_FIRST_REQUEST_SECONDS = 1.0
# Bytes that are parsed at a time. What the parser keeps of incomplete headers
# is counted after each slice.
_SLICE_BYTES = 16 << 10
# Copies of a body while it is served: the one of its request, and what waits
# in the buffer of a connection to a target that reads slowly.
_SERVED_COPIES = 2
# The buffer of a transport takes up to twice what it contains, since it shrinks
# only once half of it has been sent.
_UNREAD_COPIES = 2
# Connections accepted in one turn of the event loop; more of them could take
# all descriptors before the first is counted.
_ACCEPTED_AT_ONCE = 16
# Connections above the limit that are still told why they are refused.
_TOLD_CONNECTIONS = 16
# Idle connections that are examined to close one.
_EXAMINED_IDLE = 16
# Seconds after which a caller refused for want of memory or connections should
# retry: stalled requests are given up after this time.
_RETRY_AFTER = b'1'
# Seconds between log lines about refusals for want of memory or connections.
_LOG_SECONDS = 10.0
# Seconds between counts of all unread bytes for the sake of new bodies: a crowd
# of refused requests must not count them for each.
_COUNT_SECONDS = 0.05
# Size of the number of unread bytes.
_INT_BYTES = 4
_REASONS = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    414: b'URI Too Long',
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
    when the caller disconnects, unless the request `outlives_caller`, since it
    may be running. A handler that learns that it is not has to look at
    `is_disconnected`.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    conn: 'CallerConnection'
    is_last: bool = False
    # Bytes that the budget counts for it.
    held: int = 0
    held_response: int = 0
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

    def write(self, chunk: bytes | bytearray) -> None:
        """Send a chunk."""
        self.conn.write(b''.join((b'%x\r\n' % len(chunk), chunk, b'\r\n')))

    def end(self) -> None:
        """End a chunked response."""
        self.conn.write(b'0\r\n\r\n')
        self.is_answered = True

    def hold_response(self, size: int) -> None:
        """Count the bytes of a response that are held back for now."""
        if size == self.held_response:
            return
        self.conn.budget.add(HeldKind.response, size - self.held_response)
        self.held_response = size
        if size:
            self.conn.relieve()

    @property
    def is_memory_short(self) -> bool:
        """Tell whether a large response must be passed on as it arrives."""
        return self.conn.budget.is_short

    @property
    def is_memory_exceeded(self) -> bool:
        """Tell whether next to nothing of a response may be held back."""
        return self.conn.budget.is_exceeded

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


class CallerConnection(ReceivingProtocol):
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
        self._incoming = IncomingRequest(server.limits, self._opened_at)
        # True while the budget counts an unfinished request.
        self._is_held = False
        # Bytes of responses written, of them sent, and still buffered.
        self._written = 0
        self._sent = 0
        self._buffered = 0
        # When the caller last read a part of a response.
        self._read_at = self._opened_at

    @property
    def is_draining(self) -> bool:
        """Tell whether the server closes connections after a response."""
        return self._server.is_draining

    @property
    def budget(self) -> ByteBudget:
        """Return the budget of the server."""
        return self._server.budget

    @property
    def has_pending(self) -> bool:
        """Tell whether requests that were read wait behind the current one."""
        return bool(self._pending)

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
        self._server.idle[self] = None
        if self._server.admit(self):
            self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request, unless it outlives its caller."""
        self.is_disconnected = True
        self._drained.set()
        self._server.connections.discard(self)
        self._server.idle.pop(self, None)
        self._cancel_timer()
        self._drop_incoming()
        self.budget.release((self, HeldKind.response))
        for waiting in self._pending:
            self.budget.remove(HeldKind.request, waiting.held)
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
        self.count_unread()

    def data_received(self, chunk: bytes) -> None:
        """Parse a chunk; refuse invalid HTTP."""
        if len(chunk) <= _SLICE_BYTES:
            self._parse(chunk)
        else:
            view = memoryview(chunk)
            for first in range(0, len(chunk), _SLICE_BYTES):
                self._parse(view[first : first + _SLICE_BYTES])
        if self._in_request and not self._refused_status:
            self._hold_incoming()

    def write(self, payload: bytes) -> None:
        """Write, unless the caller has disconnected."""
        transport = self._transport
        if transport is None or self.is_disconnected:
            return
        transport.write(payload)
        self._written += len(payload)
        if self._buffered or transport.get_write_buffer_size():
            self.count_unread()
            self._server.relieve()

    def count_unread(self) -> None:
        """Update the budget's count of what the caller has not read."""
        if self._transport is None or self.is_disconnected:
            return
        self._buffered = self._transport.get_write_buffer_size()
        sent = self._written - self._buffered
        has_moved = sent != self._sent
        self._sent = sent
        now = self._loop.time()
        if has_moved:
            self._read_at = now
        key = (self, HeldKind.response)
        if self._buffered:
            held = _UNREAD_COPIES * self._buffered
            self.budget.hold(key, held, now, has_moved=has_moved)
        else:
            self.budget.release(key)

    def give_up(self, kind: HeldKind, reason: str) -> None:
        """Refuse an unfinished request, or abort a response that is unread."""
        self.budget.closed[reason] += 1
        if kind is HeldKind.response:
            self.budget.release((self, kind))
            self.abort()
        else:
            self._refuse(503)

    @property
    def has_unread_response(self) -> bool:
        """Tell whether the caller has not read all that was written."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def is_slow(self) -> bool:
        """Tell whether `drain` would wait."""
        return not self._drained.is_set()

    async def drain(self) -> None:
        """Wait until the write buffer is below its high-water mark.

        A caller that reads nothing for the idle timeout is given up.
        """
        while self.is_slow:
            try:
                async with asyncio.timeout(self._server.limits.idle_timeout):
                    await self._drained.wait()
            except TimeoutError:
                if self._abort_stalled_reader():
                    return

    def refuse_busy(self) -> None:
        """Refuse whatever comes."""
        self._refuse(503)

    def relieve(self) -> None:
        """Give up what exceeds the budget."""
        self._server.relieve()

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
        if self._refused_status:
            return
        self._server.idle.pop(self, None)
        self._incoming.started = self._loop.time()
        self._incoming.limits = self._server.limits
        self._had_request = True
        self._in_request = True
        if self._task is None:
            self._start_timer()

    def on_url(self, part: bytes) -> None:
        """Collect the request target, up to the size limit."""
        if not self._refused_status:
            status = self._incoming.add_target(part)
            if status:
                self._refuse(status)

    def on_header(self, name: bytes, field: bytes) -> None:
        """Collect a header, up to the limits."""
        if not self._refused_status:
            status = self._incoming.add_header(name, field)
            if status:
                self._refuse(status)

    def on_headers_complete(self) -> None:
        """Check the declared body size; send 100 Continue if expected."""
        if self._refused_status:
            return
        incoming = self._incoming
        length = header_value(incoming.headers, b'content-length')
        declared = parse_count(length.decode('latin-1')) or 0
        status = incoming.end_head(declared)
        if not status and not self._server.admits_body(declared):
            status = 503
        if status:
            self._refuse(status)
            return
        expected = header_value(incoming.headers, b'expect').lower()
        incoming.expects_continue = expected == b'100-continue'
        if self._task is None:
            self._send_continue()

    def on_body(self, part: bytes) -> None:
        """Collect the body, up to the size limit."""
        if not self._refused_status:
            status = self._incoming.add_body(part)
            if status:
                self._refuse(status)

    def on_message_complete(self) -> None:
        """Queue the request for its handler."""
        if self._refused_status:
            return
        incoming = self._incoming
        self._drop_incoming()
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
            target=incoming.target,
            headers=incoming.headers,
            body=bytes(incoming.body),
            arrived=incoming.started,
            conn=self,
            is_last=not self._parser.should_keep_alive(),
            held=incoming.head_size + _SERVED_COPIES * len(incoming.body),
        )
        self.budget.add(HeldKind.request, req.held)
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

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse received bytes, and count those that lead to nothing."""
        if self._refused_status or self._is_ending:
            return
        incoming = self._incoming
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self._refuse(400)
            return
        if incoming is self._incoming:
            status = incoming.count(len(data))
            if status:
                self._refuse(status)

    def _hold_incoming(self) -> None:
        """Count an unfinished request, which may be given up."""
        incoming = self._incoming
        kind, other = HeldKind.head, HeldKind.body
        if incoming.has_head:
            kind, other = other, kind
        if self._is_held:
            self.budget.release((self, other))
        self._is_held = True
        self.budget.hold(
            (self, kind), incoming.size, self._loop.time(), has_moved=True
        )
        self._server.relieve()

    def _drop_incoming(self) -> None:
        """Keep nothing of a request that is complete or refused."""
        self._in_request = False
        if self._is_held:
            self._is_held = False
            self.budget.release((self, HeldKind.head))
            self.budget.release((self, HeldKind.body))
        self._incoming = IncomingRequest(
            self._server.limits, self._incoming.started
        )

    def _send_continue(self) -> None:
        """Ask for an expected body; not amid the response before."""
        if self._incoming.expects_continue:
            self._incoming.expects_continue = False
            self.write(_CONTINUE)

    def _serve_next(self) -> None:
        if not self._pending and self._refused_status:
            self._send_refusal()
            return
        if not self._pending or self.is_disconnected:
            self._send_continue()
            self._start_timer()
            if not self._in_request and not self.is_disconnected:
                self._server.idle[self] = None
            return
        req = self._pending.popleft()
        self._current = req
        self._task = self._loop.create_task(self._serve(req))
        self._task.add_done_callback(self._task_done)

    async def _serve(self, req: CallerRequest) -> None:
        await self._server.handler(req)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        req, self._current, self._task = self._current, None, None
        if req is not None:
            self.budget.remove(HeldKind.request, req.held)
            if req.held_response:
                self.budget.remove(HeldKind.response, req.held_response)
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
        if self._refused_status:
            return
        self._refused_status = status
        self._server.refused(status)
        self._cancel_timer()
        self._drop_incoming()
        if self._task is None:
            self._send_refusal()

    def _send_refusal(self) -> None:
        closing: Headers = [
            (b'content-length', b'0'),
            (b'connection', b'close'),
        ]
        if self._refused_status == 503:
            closing.append((b'retry-after', _RETRY_AFTER))
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
        # What follows the last request is not read to its end.
        self._drop_incoming()
        self._server.idle.pop(self, None)
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        self._timer = self._loop.call_later(_LINGER_SECONDS, self._end)

    def _end(self) -> None:
        """Close, unless the caller still reads the response."""
        self._timer = None
        if not self.has_unread_response:
            self.close()
        elif not self._abort_stalled_reader():
            self._linger()

    def _abort_stalled_reader(self) -> bool:
        """Abort if the caller has read nothing for the idle timeout.

        A connection that is closed normally stays until all is read.
        """
        self.count_unread()
        stalled = self._loop.time() - self._read_at
        if stalled < self._server.limits.idle_timeout:
            return False
        self.give_up(HeldKind.response, 'unread_response')
        return True

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
        elif not self.has_unread_response:
            self.close()
        elif not self._abort_stalled_reader():
            self._start_timer()


class CallerServer:
    """Accept callers' connections and pass requests to a handler."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: MessageLimits,
        logger: Logger,
        budget: ByteBudget | None = None,
    ) -> None:
        """Take the handler of requests; without a budget, hold any bytes."""
        self.handler = handler
        self.limits = limits
        self.logger = logger
        self.budget = budget or ByteBudget.unlimited()
        self.connections: set[CallerConnection] = set()
        # Those between requests, the longest idle first.
        self.idle: dict[CallerConnection, None] = {}
        # Connections that may be open; 0 for any number.
        self.max_connections = 0
        self.is_draining = False
        # Requests without a body are served also while memory is short.
        self.serves_operators = False
        self.refusals: dict[int, int] = {}
        self._logged_at = float('-inf')
        # When unread bytes were last counted for a body.
        self._counted_at = float('-inf')
        self._is_relieving = False
        # Connections that may wait to be accepted.
        self._backlog = 0
        self._listener: asyncio.Server | None = None
        # Connections that the listener has left.
        self._accepting: set[asyncio.Task[Any]] = set()

    @classmethod
    def from_config(
        cls,
        handler: RequestHandler,
        name: str,
        budget: ByteBudget | None = None,
    ) -> Self:
        """Create a server with default limits and a named logger."""
        return cls(handler, MessageLimits(), Logger(name), budget)

    async def start(self, host: str, port: int, backlog: int = 1024) -> None:
        """Listen; raise AddressNotAvailable if the address is in use."""
        self._listener = await listen(
            self._build_connection, host, port, _ACCEPTED_AT_ONCE
        )
        self._backlog = backlog
        for each in self._listener.sockets:
            with each.dup() as sock:
                # Lets more connections wait than are accepted at once.
                sock.listen(backlog)

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

    def admits_body(self, size: int) -> bool:
        """Tell whether a body may be received, after giving up stalled ones."""
        if self.budget.admits(size) or (self.serves_operators and not size):
            return True
        self._count_unread_again()
        self.relieve()
        if self.budget.admits(size):
            return True
        self.budget.refusals['memory'] += 1
        self._log_refusal('memory')
        return False

    def relieve(self) -> None:
        """Give up what the budget chooses, at any server that shares it."""
        now = asyncio.get_running_loop().time()
        # Refusals are written, which would begin anew.
        if self._is_relieving or not self.budget.choose(now):
            return
        self._is_relieving = True
        try:
            self._count_unread()
            for holder, kind in self.budget.choose(now):
                cast(Holder, holder).give_up(kind, f'memory_{kind}')
                self._log_refusal('memory')
        finally:
            self._is_relieving = False

    def _count_unread_again(self) -> None:
        """Update what has been read since, unless that was just done."""
        now = asyncio.get_running_loop().time()
        if now >= self._counted_at + _COUNT_SECONDS:
            self._counted_at = now
            self._count_unread()

    def _count_unread(self) -> None:
        for conn in self.budget.unread_holders():
            cast(Holder, conn).count_unread()

    def admit(self, conn: CallerConnection) -> bool:
        """Make room for a new connection, or refuse it."""
        excess = len(self.connections) - self.max_connections
        if not self.max_connections or excess <= 0:
            return True
        if self._close_longest_idle(conn) or self._give_up_stalled():
            return True
        self.budget.refusals['connections'] += 1
        self._log_refusal('connections')
        if excess > _TOLD_CONNECTIONS:
            conn.abort()
        else:
            conn.refuse_busy()
        return False

    def _close_longest_idle(self, newest: CallerConnection) -> bool:
        for conn in tuple(islice(self.idle, _EXAMINED_IDLE)):
            is_closable = conn.may_close and not conn.has_unread_response
            if conn is newest or not is_closable:
                continue
            self.idle.pop(conn)
            self.budget.closed['idle'] += 1
            conn.close()
            return True
        return False

    def _give_up_stalled(self) -> bool:
        """Give up the request or response without progress for longest."""
        now = asyncio.get_running_loop().time()
        while True:
            key = self.budget.longest_stalled(now, self.connections)
            if key is None:
                return False
            holder, kind = key
            conn = cast(Holder, holder)
            if kind.is_unread:
                conn.count_unread()
            if self.budget.longest_stalled(now, self.connections) == key:
                conn.give_up(kind, 'connections')
                return True

    def _log_refusal(self, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._logged_at < _LOG_SECONDS:
            return
        self._logged_at = now
        self.logger.warning(
            'Callers refused for want of room.',
            reason=reason,
            held=self.budget.total,
            limit=self.budget.limit,
            connections=len(self.connections),
        )

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
        room = self._backlog
        if self.max_connections:
            room = min(room, self.max_connections - len(self.connections))
        for each in self._listener.sockets:
            with each.dup() as sock:
                self._accept_waiting(sock, room)
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

    def _accept_waiting(self, listener: socket.socket, room: int) -> None:
        """Accept what has connected; it is reset if the listener closes.

        Callers may connect as fast as they are accepted, so `room` bounds the
        number.
        """
        loop = asyncio.get_running_loop()
        for _ in range(room):
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
