"""Pass the bytes of other members on to targets, and back."""

import asyncio
import functools
import hmac
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

import msgspec
from httptools import HttpParserError, HttpResponseParser

from mintlanding.byte_budget.budget import ByteBudget
from mintlanding.byte_budget.models import HeldKind
from mintlanding.core.exceptions import MemberDataInvalid
from mintlanding.core.listening import listen
from mintlanding.core.logs import Logger, describe_exception
from mintlanding.http1.client import UNREAD_BYTES, Address, set_user_timeout
from mintlanding.http1.delivery import (
    DELIVERY_SECONDS,
    Delivery,
    delivery,
    unread_bytes,
)
from mintlanding.http1.models import (
    FINAL_STATUSES,
    INTERIM_STATUSES,
    ClientOptions,
    ResponseHead,
)
from mintlanding.http1.receiving import ReceivingProtocol
from mintlanding.paths.frames import END, FrameBuffer, FrameTooLarge, frame
from mintlanding.paths.messages import (
    OpenPath,
    PathReply,
    decode_request,
    path_proof,
)

# Paths that members may have open here at the same time; each takes two
# descriptors of this process.
_MAX_PATHS = 1000
# Seconds in which a member must have asked for a path after connecting.
_OPEN_SECONDS = 1.0
# Bytes that wait for a slow reader before the sender is slowed down.
_HIGH_WATER_BYTES = 1 << 18
# The buffer of a transport takes up to twice what it contains.
_UNREAD_COPIES = 2
# Closing such a socket resets its connection.
_NO_LINGER = struct.pack('ii', 1, 0)

_ENCODER = msgspec.msgpack.Encoder()

# Returns the address of a target, or the reason why there is no path to it.
Resolver = Callable[[str, int], Address | str]
# Takes name and incarnation of a target, and the head of its response.
HeadListener = Callable[[str, int, ResponseHead], None]


class _Side(ReceivingProtocol):
    """One of the two connections of a path, with the other as its peer."""

    def __init__(self, server: 'PathServer') -> None:
        self.peer: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self._server = server
        self._written = 0
        # Bytes written that the other end had read when they were counted.
        self._sent = 0
        self._is_counted = False
        # True once this process has closed it before its end.
        self._is_broken = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)

    def pause_writing(self) -> None:
        """Stop reading from the other side."""
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        """Go on reading from the other side."""
        self.count_unread()
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.resume_reading()

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can be written to."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, payload: bytes) -> None:
        """Write, unless the connection is closed."""
        if self.transport is None or not self.is_open:
            return
        before = self._written
        self._written += len(payload)
        if before <= UNREAD_BYTES < self._written:
            options = self._server.options
            set_user_timeout(self.transport, options.silent_timeout)
        self.transport.write(payload)
        if self._is_counted or self.transport.get_write_buffer_size():
            self.count_unread()
            self._server.relieve()

    def count_unread(self) -> None:
        """Update the budget's count of what the other end has not read."""
        if self.transport is None:
            return
        unread = self.transport.get_write_buffer_size()
        self._is_counted = unread > 0
        if not unread:
            self.release()
            return
        sent = self._written - unread
        self._server.budget.hold(
            (self, HeldKind.path),
            _UNREAD_COPIES * unread,
            asyncio.get_running_loop().time(),
            has_moved=sent != self._sent,
        )
        self._sent = sent

    def release(self) -> None:
        """End the budget's count."""
        self._server.budget.release((self, HeldKind.path))

    def give_up(self, kind: HeldKind, reason: str) -> None:
        """Break the path; the member cannot take this for a refusal."""
        self._server.budget.closed[reason] += 1
        self.release()
        self.reset()

    def close(self) -> None:
        """Close once all bytes are written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close at once, so that the other end sees a reset."""
        self._is_broken = True
        if self.transport is None:
            return
        sock = self.transport.get_extra_info('socket')
        if not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.abort()


class _HeadReader:
    """Reads the head of the response that passes by.

    It gives up on a response whose bytes contain neither a head nor a part of a
    body, since the parser keeps them all.
    """

    def __init__(
        self, on_head: Callable[[ResponseHead], None], header_bytes: int
    ) -> None:
        self._on_head = on_head
        self._header_bytes = header_bytes
        # Bytes received since the last head or part of a body.
        self._unparsed = 0
        self._is_invalid = False
        self._head = ResponseHead(0)
        self._parser: Any = HttpResponseParser(self)

    def feed(self, chunk: bytes) -> None:
        """Parse bytes up to the end of the head of the final response."""
        if self._parser is None:
            return
        self._unparsed += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except HttpParserError:
            # The member judges the response; here only its head counts.
            self._parser = None
        if self._is_invalid or self._unparsed > self._header_bytes:
            self._parser = None

    def on_header(self, name: bytes, field: bytes) -> None:
        """Collect a header."""
        self._head.headers.append((name.lower(), field))

    def on_headers_complete(self) -> None:
        """Report the head of a final response.

        Nothing is learned after a status that is none.
        """
        if self._is_invalid:
            return
        head = ResponseHead(self._parser.get_status_code(), self._head.headers)
        self._head = ResponseHead(0)
        if head.status in FINAL_STATUSES:
            self._unparsed = 0
            self._on_head(head)
        elif head.status not in INTERIM_STATUSES:
            self._is_invalid = True

    def on_body(self, chunk: bytes) -> None:
        """Count only what comes after a part of a body."""
        self._unparsed = 0

    def on_message_begin(self) -> None:
        """Collect the headers of the next response."""
        self._head = ResponseHead(0)


class _TargetSide(_Side):
    """The connection to the target."""

    def __init__(
        self,
        on_head: Callable[[ResponseHead], None],
        server: 'PathServer',
    ) -> None:
        super().__init__(server)
        self._reader = _HeadReader(on_head, server.options.header_bytes)
        # Runs while the target has ended, but not taken all bytes.
        self._timer: asyncio.TimerHandle | None = None

    def data_received(self, chunk: bytes) -> None:
        """Pass bytes on to the member."""
        if self.peer is not None:
            self.peer.write(frame(chunk))
            self._reader.feed(chunk)

    def eof_received(self) -> bool:
        """Go on passing bytes to a target that has not taken them all.

        A reset may follow, which shows that its response has broken off.
        """
        if not self._is_taken():
            self._end_later()
        return self._timer is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the member of an end in order, after all bytes of the target.

        Without it the member knows that the connection broke.
        """
        self.release()
        if self._timer is not None:
            self._timer.cancel()
        if self.peer is None:
            return
        if exc is None and not self._is_broken:
            self.peer.write(END)
        self.peer.close()

    def _end_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(DELIVERY_SECONDS, self._end)

    def _end(self) -> None:
        """Close once the target has taken what the member has sent."""
        if self._is_taken():
            self.close()
        else:
            self._end_later()

    def _is_taken(self) -> bool:
        """Tell whether all bytes are taken; break the path after a reset."""
        if self.transport is None or self.peer is None:
            return True
        found = delivery(self.transport)
        if found is Delivery.reset:
            self.reset()
            return True
        if found is Delivery.under_way or self.peer.transport is None:
            return False
        return not unread_bytes(self.peer.transport)


class _MemberSide(_Side):
    """The connection of a member that asks for a path."""

    def __init__(self, server: 'PathServer') -> None:
        super().__init__(server)
        self._frames: FrameBuffer | None = FrameBuffer()
        self._expires_at = float('inf')
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server."""
        super().connection_made(transport)
        self._server.sides.add(self)
        set_user_timeout(transport, self._server.options.user_timeout)
        self._expire_after(_OPEN_SECONDS)

    def data_received(self, chunk: bytes) -> None:
        """Read the request for a path, then pass bytes on to the target."""
        if self._frames is not None:
            self._read_request(chunk)
        elif asyncio.get_running_loop().time() >= self._expires_at:
            # The process may have been suspended meanwhile.
            self.reset()
        elif self.peer is None:
            # Nothing may be sent before the path is open.
            self.reset()
        else:
            self.peer.write(chunk)

    def connection_lost(self, exc: Exception | None) -> None:
        """Let the target see that nobody waits for its response."""
        self.release()
        self._server.sides.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self.peer is not None:
            self.peer.peer = None
            self.peer.abort()

    def _read_request(self, chunk: bytes) -> None:
        frames = cast(FrameBuffer, self._frames)
        frames.feed(chunk)
        try:
            payload = frames.take()
            if payload is None:
                return
            request = decode_request(payload)
        except (FrameTooLarge, MemberDataInvalid) as exc:
            self._server.logger.error(
                'Invalid request for a path.', reason=str(exc)
            )
            self.reset()
            return
        if frames.drain():
            # Nothing may be sent before the path is open.
            self.reset()
            return
        self._frames = None
        if self._task is None:
            self._task = asyncio.create_task(self._open(request))

    async def _open(self, request: OpenPath) -> None:
        address = self._server.resolve(request)
        if isinstance(address, str):
            self._refuse(request, address)
            return
        self._expire_after(request.seconds)
        side = _TargetSide(
            functools.partial(self._server.on_head, request),
            self._server,
        )
        seconds = min(request.seconds, self._server.options.connect_timeout)
        try:
            await self._server.connect(side, address, seconds)
        except (OSError, OverflowError, ValueError) as exc:
            self._refuse(request, f'no connection to it: {exc!r}')
            return
        if not side.is_open:
            self._refuse(request, 'it closed the connection at once')
            return
        side.peer, self.peer = self, side
        self._server.opened += 1
        self._reply('')

    def _refuse(self, request: OpenPath, reason: str) -> None:
        self._server.logger.info(
            'Path refused.',
            request=request.request_id,
            peer=request.instance,
            target=request.target,
            reason=reason,
        )
        self._reply(f'{request.target}: {reason}')
        self.close()

    def _reply(self, reason: str) -> None:
        self.write(frame(_ENCODER.encode(PathReply(reason))))

    def _expire_after(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
        self._expires_at = loop.time() + seconds
        self._timer = loop.call_at(self._expires_at, self.reset)


class PathServer:
    """Accepts members that do not reach a target themselves."""

    def __init__(
        self,
        resolver: Resolver,
        head_listener: HeadListener,
        options: ClientOptions,
    ) -> None:
        """Take what finds targets and what learns from their responses."""
        self._head_listener = head_listener
        self.options = options
        self.logger = Logger('paths')
        self.opened = 0
        # Bytes that are passed on draw on it; `relieve` gives up some.
        self.budget = ByteBudget.unlimited()
        self.relieve: Callable[[], None] = lambda: None
        self.sides: set[asyncio.BaseProtocol] = set()
        self._resolver = resolver
        self._fleet_key = b''
        self._listener: asyncio.Server | None = None

    def draw_on(self, budget: ByteBudget, relieve: Callable[[], None]) -> None:
        """Share the budget of the process."""
        self.budget = budget
        self.relieve = relieve

    async def start(self, host: str, port: int, fleet_key: bytes) -> None:
        """Listen, unless it does.

        Raise AddressNotAvailable if the address is in use.
        """
        if self._listener is not None:
            return
        self._fleet_key = fleet_key
        self._listener = await listen(lambda: _MemberSide(self), host, port)

    @property
    def port(self) -> int:
        """Return the port of the listener, 0 without one."""
        if self._listener is None:
            return 0
        return int(self._listener.sockets[0].getsockname()[1])

    async def connect(
        self, side: asyncio.BaseProtocol, address: Address, seconds: float
    ) -> None:
        """Connect to a target; raise OSError or ValueError on failure."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(seconds):
            transport, _ = await loop.create_connection(lambda: side, *address)
        set_user_timeout(transport, self.options.user_timeout)

    def resolve(self, request: OpenPath) -> Address | str:
        """Return the address of a target, or why there is no path to it."""
        proof = path_proof(self._fleet_key, request.instance)
        if not hmac.compare_digest(proof.encode(), request.proof.encode()):
            self.logger.error(
                'Path refused for an invalid proof of the fleet key.',
                peer=request.instance,
            )
            return 'invalid proof of the fleet key'
        if len(self.sides) > _MAX_PATHS:
            return f'more than {_MAX_PATHS} paths are open'
        if self.budget.is_exceeded:
            self.relieve()
        if self.budget.is_exceeded:
            return 'no memory is left for a path'
        if not request.seconds > 0:
            return 'no time left'
        return self._resolver(request.target, request.incarnation)

    def on_head(self, request: OpenPath, head: ResponseHead) -> None:
        """Learn what a target says about itself."""
        try:
            self._head_listener(request.target, request.incarnation, head)
        except Exception as exc:
            self.logger.error(
                'Reading a response on a path failed.',
                target=request.target,
                **describe_exception(exc),
            )

    def stop(self) -> None:
        """Stop listening and close all paths."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for side in tuple(self.sides):
            cast(_MemberSide, side).reset()
