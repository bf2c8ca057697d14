"""When a response is complete, and when a connection is reused."""

import asyncio
import contextlib
import socket
import struct
import tracemalloc

import pytest

from mintlanding.core.exceptions import (
    InvalidResponse,
    RequestNotSent,
    ResponseLost,
    ResponseTimeout,
)
from mintlanding.http1.client import ConnectionPool
from mintlanding.http1.models import ClientOptions

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
COMPLETE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Peer:
    """A server that responds to each request with the next given bytes."""

    def __init__(self, *responses, ends=False, resets=False):
        self.responses = list(responses)
        self.ends = ends
        self.resets = resets
        self.requests = 0
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = self.server.sockets[0].getsockname()
        self.pool = ConnectionPool(ClientOptions())
        return self

    async def __aexit__(self, *exc_info):
        self.pool.close()
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        while self.responses:
            head = await reader.read(4096)
            if not head:
                return
            self.requests += 1
            writer.write(self.responses.pop(0))
        await writer.drain()
        if self.resets:
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        elif self.ends:
            writer.close()

    async def call(self, seconds=0.3):
        conn = await self.pool.acquire(self.address)
        try:
            conn.send(REQUEST)
            head = await conn.read_head(seconds)
            return head.status, await conn.read_body(seconds)
        finally:
            self.pool.release(conn)


async def test_connection_is_reused_after_a_complete_response():
    async with Peer(COMPLETE, COMPLETE) as peer:
        assert await peer.call() == (200, b'ok')
        assert await peer.call() == (200, b'ok')
        assert peer.connections == 1


@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('framing', [b'Content-Length: 20\r\n', b''])
async def test_head_that_breaks_off_anywhere_is_a_lost_response(
    framing, resets
):
    whole = b'HTTP/1.1 200 OK\r\nX-Id: 7\r\n' + framing + b'\r\n'
    for size in range(1, len(whole)):
        async with Peer(whole[:size], ends=True, resets=resets) as peer:
            with pytest.raises(ResponseLost):
                await peer.call()


async def test_fresh_connection_is_opened_on_request():
    async with Peer(COMPLETE) as peer:
        await peer.call()
        conn = await peer.pool.acquire(peer.address, is_fresh=True)
        conn.abort()
        assert peer.pool.opened == 2


@pytest.mark.parametrize(
    'address',
    [('127.0.0.1', 70000), ('127.0.0.1', -1), ('a\x00b', 80), ('..', 80)],
)
async def test_impossible_address_is_a_request_that_was_not_sent(address):
    with pytest.raises(RequestNotSent):
        await ConnectionPool(ClientOptions()).acquire(address)


async def test_response_without_length_ends_with_its_connection():
    async with Peer(b'HTTP/1.1 200 OK\r\n\r\nall of it', ends=True) as peer:
        assert await peer.call() == (200, b'all of it')
        assert not peer.pool._idle


async def test_response_without_length_is_lost_when_reset():
    async with Peer(b'HTTP/1.1 200 OK\r\n\r\npart', resets=True) as peer:
        with pytest.raises(ResponseLost):
            await peer.call()


async def test_response_without_length_is_lost_when_closed_by_the_client():
    async with Peer(b'HTTP/1.1 200 OK\r\n\r\npart') as peer:
        conn = await peer.pool.acquire(peer.address)
        conn.send(REQUEST)
        await conn.read_head(1)
        assert await conn.read_chunk(1) == b'part'
        conn.abort()
        with pytest.raises(ResponseLost):
            await conn.read_chunk(1)


@pytest.mark.parametrize(
    'response',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'',
    ],
)
async def test_truncated_response_is_lost(response):
    async with Peer(response, ends=True) as peer:
        with pytest.raises(ResponseLost):
            await peer.call()


async def test_bytes_that_are_not_http_are_invalid():
    async with Peer(b'220 mail.example ESMTP\r\n') as peer:
        with pytest.raises(InvalidResponse):
            await peer.call()


async def test_second_response_belongs_to_no_request():
    async with Peer(COMPLETE + COMPLETE, COMPLETE) as peer:
        assert await peer.call() == (200, b'ok')
        assert await peer.call() == (200, b'ok')
        assert peer.connections == 2


async def test_late_extra_response_closes_the_connection():
    async with Peer(COMPLETE, COMPLETE) as peer:
        await peer.call()
        (conn,) = peer.pool._idle[peer.address]
        conn.data_received(COMPLETE)
        await asyncio.sleep(0)
        assert not conn.is_open


async def test_interim_response_is_skipped():
    async with Peer(b'HTTP/1.1 100 Continue\r\n\r\n' + COMPLETE) as peer:
        assert await peer.call() == (200, b'ok')


async def test_missing_response_ends_in_a_timeout():
    async with Peer() as peer:
        peer.responses = [b'', b'']
        with pytest.raises(ResponseTimeout):
            await peer.call(seconds=0.05)


async def test_declared_close_is_respected():
    response = COMPLETE.replace(
        b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n', 1
    )
    async with Peer(response) as peer:
        await peer.call()
        assert not peer.pool._idle


async def test_keep_alive_header_bounds_the_idle_time():
    response = COMPLETE.replace(
        b'\r\n\r\n', b'\r\nKeep-Alive: timeout=1\r\n\r\n', 1
    )
    async with Peer(response, COMPLETE) as peer:
        await peer.call()
        await peer.call()
        assert peer.connections == 2


async def test_request_to_a_closed_port_is_not_sent():
    pool = ConnectionPool(ClientOptions())
    with pytest.raises(RequestNotSent):
        await pool.acquire(('127.0.0.1', 1))


class EndlessPeer:
    """A server that sends the same bytes again until the client closes."""

    def __init__(self, start, repeated):
        self.start = start
        self.repeated = repeated
        self.sent = 0
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = self.server.sockets[0].getsockname()
        options = ClientOptions(header_bytes=4096, body_bytes=1 << 20)
        self.pool = ConnectionPool(options)
        return self

    async def __aexit__(self, *exc_info):
        self.pool.close()
        self.server.close()

    async def serve(self, reader, writer):
        await reader.read(4096)
        writer.write(self.start)
        try:
            while True:
                writer.write(self.repeated)
                self.sent += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed.set()

    async def send(self):
        conn = await self.pool.acquire(self.address)
        conn.send(REQUEST)
        return conn


@contextlib.contextmanager
def bounded_memory():
    """Fail if the peak of both ends exceeds a few limits of a body."""
    tracemalloc.start()
    try:
        yield
        assert tracemalloc.get_traced_memory()[1] < 8 << 20
    finally:
        tracemalloc.stop()


OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'HTTP/1.1 200 ', b'O' * 1000),
        (OK + b'X-Long: ', b'x' * 1000),
        (OK, b'X-Many: 1\r\n' * 100),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 50),
    ],
    ids=['status line', 'header', 'headers', 'interim responses'],
)
async def test_endless_head_is_cut_off(start, repeated):
    async with EndlessPeer(start, repeated) as peer:
        conn = await peer.send()
        with bounded_memory(), pytest.raises(InvalidResponse):
            await conn.read_head(5)
        await asyncio.wait_for(peer.closed.wait(), 5)


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (CHUNKED + b'5;', b'x' * 1000),
        (CHUNKED, b'3e8\r\n' + b'x' * 1000 + b'\r\n'),
        (CHUNKED + b'fffffffffff\r\n', b'x' * 1000),
        (OK + b'\r\n', b'x' * 1000),
    ],
    ids=['chunk extension', 'chunks', 'chunk', 'body until close'],
)
async def test_endless_body_is_cut_off(start, repeated):
    async with EndlessPeer(start, repeated) as peer:
        conn = await peer.send()
        await conn.read_head(5)
        with bounded_memory(), pytest.raises(InvalidResponse):
            await conn.read_body(5)
        await asyncio.wait_for(peer.closed.wait(), 5)


async def test_server_is_slowed_down_while_received_bytes_wait():
    async with EndlessPeer(OK + b'\r\n', b'x' * 65536) as peer:
        conn = await peer.send()
        await conn.read_head(5)
        sent = -1
        # The buffers of the kernel take several megabytes on loopback.
        while sent != peer.sent:
            sent = peer.sent
            await asyncio.sleep(0.2)
        assert len(await conn.read_chunk(5)) < 1 << 20
        assert await conn.read_chunk(5)
        conn.abort()


async def test_body_goes_on_after_a_pause_with_nothing_received():
    """Guards against waiting for a target that is not read."""
    async with EndlessPeer(OK + b'\r\n', b'x' * 65536) as peer:
        conn = await peer.send()
        await conn.read_head(5)
        await conn.read_chunk(5)
        conn.pause()
        # Takes what was received before the pause.
        await conn.read_chunk(5)
        conn.pause()
        await asyncio.sleep(0.1)
        for _ in range(3):
            assert await conn.read_chunk(5)
            conn.pause()
        conn.abort()


async def test_body_that_trickles_in_ends_in_a_timeout():
    async with EndlessPeer(OK + b'\r\n', b'x') as peer:
        conn = await peer.send()
        await conn.read_head(5)
        with pytest.raises((ResponseTimeout, InvalidResponse)):
            async with asyncio.timeout(5):
                await conn.read_body(0.1)


async def test_connection_is_reused_after_a_paused_body():
    large = b'x' * (1 << 20)
    response = OK + b'Content-Length: %d\r\n\r\n' % len(large) + large
    async with Peer(response, COMPLETE) as peer:
        assert await peer.call(seconds=5) == (200, large)
        assert await peer.call() == (200, b'ok')
        assert peer.connections == 1


async def test_server_may_be_silent_for_longer_than_the_user_timeout():
    # The timeout bounds unacknowledged bytes, and the kernel of a silent
    # server acknowledges. Keep-alive probes, to which it would apply as well,
    # are off.
    async def serve(reader, writer):
        while await reader.read(4096):
            await asyncio.sleep(0.6)
            writer.write(COMPLETE)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    pool = ConnectionPool(ClientOptions(user_timeout=0.2))
    for _ in range(2):
        conn = await pool.acquire(server.sockets[0].getsockname())
        sock = conn._transport.get_extra_info('socket')
        assert not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert sock.getsockopt(*option) == 200
        conn.send(REQUEST)
        assert (await conn.read_head(2)).status == 200
        assert await conn.read_body(1) == b'ok'
        pool.release(conn)
        await asyncio.sleep(0.6)
    assert pool.opened == 1
    pool.close()
    server.close()


async def test_server_may_read_nothing_for_a_second():
    # The timeout also ends a connection whose server has closed its window.
    size = 16 << 20

    async def serve(reader, writer):
        writer.transport.pause_reading()
        await asyncio.sleep(1)
        writer.transport.resume_reading()
        await reader.readexactly(size)
        writer.write(COMPLETE)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    pool = ConnectionPool(ClientOptions())
    conn = await pool.acquire(server.sockets[0].getsockname())
    conn.send(b'x' * size)
    assert (await conn.read_head(4)).status == 200
    pool.release(conn)
    pool.close()
    server.close()


@pytest.mark.parametrize(
    'repeated',
    [b'x' * 1000, b'HTTP/1.1 100 Continue\r\n\r\n' * 50],
    ids=['header', 'interim responses'],
)
async def test_endless_bytes_after_a_response_are_cut_off(repeated):
    # Guards against: they are kept while a slow caller reads the response.
    complete = OK + b'Content-Length: 2\r\n\r\nok'
    start = complete + OK + b'X-Long: '
    if repeated.startswith(b'HTTP'):
        start = complete
    async with EndlessPeer(start, repeated) as peer:
        conn = await peer.send()
        await conn.read_head(5)
        with bounded_memory():
            await asyncio.wait_for(peer.closed.wait(), 5)
        assert await conn.read_body(5) == b'ok'
        assert not conn.is_reusable


class UnreadPeer:
    """A server with little room for bytes that it has not read yet."""

    ROOM_BYTES = 4096

    def __init__(self, discards_unsent):
        self.listener = socket.socket()
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self.ROOM_BYTES
        )
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.pool = ConnectionPool(
            ClientOptions(), discards_unsent=discards_unsent
        )

    async def give_up(self, payload):
        """Send a request and close its connection without a response."""
        conn = await self.pool.acquire(self.listener.getsockname())
        conn.send(payload)
        with pytest.raises(ResponseTimeout):
            await conn.read_head(0.05)
        self.pool.release(conn)

    async def read_all(self):
        loop = asyncio.get_running_loop()
        sock, _ = await loop.sock_accept(self.listener)
        received = bytearray()
        with contextlib.suppress(ConnectionResetError):
            while chunk := await loop.sock_recv(sock, 65536):
                received += chunk
        sock.close()
        return bytes(received)


@pytest.mark.parametrize('discards_unsent', [False, True])
async def test_request_that_is_given_up_can_be_taken_back(discards_unsent):
    # Guards against: an order arrives long after its connection was closed.
    peer = UnreadPeer(discards_unsent)
    payload = b'x' * 60000
    await peer.give_up(payload)
    await asyncio.sleep(0.1)
    received = await peer.read_all()
    assert (len(received) < len(payload)) == discards_unsent
    peer.listener.close()


NO_STATUSES = [
    b'000 Odd',
    b'000',
    b'001 Odd',
    b'099 Odd',
    b'101 Switching Protocols',
    b'600 Odd',
    b'999 Odd',
]
NO_STATUS_LINES = [b'20 OK', b'2000 OK', b'2x0 OK', b'-20 OK', b'200OK', b'']


@pytest.mark.parametrize('line', NO_STATUSES + NO_STATUS_LINES)
async def test_status_that_is_none_is_invalid_at_once(line):
    """Guards against waiting for a final answer, and against passing it on."""
    odd = b'HTTP/1.1 ' + line + b'\r\nContent-Length: 2\r\n\r\nok'
    for response in (odd, odd + COMPLETE):
        async with Peer(response) as peer:
            conn = await peer.pool.acquire(peer.address)
            conn.send(REQUEST)
            async with asyncio.timeout(5):
                with pytest.raises(InvalidResponse):
                    await conn.read_head(30)
                with pytest.raises(InvalidResponse):
                    await conn.read_body(30)
            peer.pool.release(conn)
            assert not conn.is_open


async def test_status_that_is_none_after_an_interim_one_is_invalid():
    response = b'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n'
    async with Peer(response) as peer:
        with pytest.raises(InvalidResponse):
            await peer.call(seconds=30)
