"""Paths to targets through a member: what it passes on, refuses and ends."""

import asyncio
import contextlib
import socket
import struct
import tracemalloc

import pytest

from mintlanding.byte_budget.budget import ByteBudget
from mintlanding.byte_budget.models import HeldKind
from mintlanding.core.exceptions import RequestNotSent, ResponseLost
from mintlanding.core.logs import Logger
from mintlanding.http1.client import ConnectionPool
from mintlanding.http1.models import ClientOptions, MessageLimits
from mintlanding.http1.server import CallerServer
from mintlanding.http1.tests.early_server import BREAKING, ENDING, EarlyServer
from mintlanding.node.path_client import PathClient, PathIdentity
from mintlanding.node.path_server import PathServer, _HeadReader
from mintlanding.platform.records import decode_target
from mintlanding.platform.tests.samples import ENTRY, encode

KEY = b'k' * 32
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\nok'
# Bytes that a member may hold in tests of its budget.
BUDGET_BYTES = 100_000
RESET = struct.pack('ii', 1, 0)


class Target:
    """Answers each request with given bytes, then ends as told."""

    def __init__(self):
        self.response = WHOLE
        self.ending = 'stay'
        self.received = b''
        self.is_closed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader, writer):
        while chunk := await reader.read(65536):
            self.received += chunk
            writer.write(self.response)
            if self.ending == 'close':
                writer.close()
                return
            if self.ending == 'reset':
                await writer.drain()
                await asyncio.sleep(0.05)
                sock = writer.get_extra_info('socket')
                sock.setsockopt(1, 13, RESET)
                writer.transport.abort()
                return
        self.is_closed.set()
        writer.close()


class World:
    """A target, a member that reaches it, and one that does not."""

    async def __aenter__(self):
        self.target = await Target().start()
        self.heads = []
        self.refusal = ''
        self.server = PathServer(self.resolve, self.learn, ClientOptions())
        await self.server.start('127.0.0.1', 0, KEY)
        self.helpers = [('127.0.0.1', self.server.port)]
        self.key = KEY
        self.client = PathClient(
            lambda: PathIdentity('n1', self.key),
            lambda homes: self.helpers,
            ClientOptions(),
        )
        self.pool = ConnectionPool(ClientOptions())
        address = '{0}:{1}'.format(*self.target.address)
        entry = encode({**ENTRY, 'addr': address})
        self.entry = decode_target('servers/t1', entry)
        return self

    async def __aexit__(self, *exc_info):
        self.server.stop()
        self.target.server.close()

    def resolve(self, name, incarnation):
        known = (name, incarnation) == self.entry.key
        if self.refusal or not known:
            return self.refusal or 'unknown'
        return self.entry.address

    def learn(self, name, incarnation, head):
        self.heads.append((name, head.status, head.get(b'retry-after')))

    async def open(self, lifetime=2):
        return await self.client.open(self.entry, 1, lifetime)

    async def exchange(self):
        conn = await self.open()
        conn.send(REQUEST)
        head = await conn.read_head(1)
        body = await conn.read_body(1)
        self.pool.release(conn)
        return head, body


async def test_response_comes_unchanged():
    async with World() as world:
        head, body = await world.exchange()
        assert (head.status, body) == (200, b'ok')
        assert world.target.received == REQUEST


async def test_response_without_length_ends_with_its_target():
    async with World() as world:
        world.target.response, world.target.ending = UNFRAMED, 'close'
        _, body = await world.exchange()
        assert body == b'ok'


async def test_whole_response_reaches_a_slow_member_although_its_target_resets():
    body = b'x' * 200_000
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    async with World() as world:
        world.target.response, world.target.ending = head + body, 'reset'
        (listener,) = world.server._listener.sockets
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        conn = await world.open()
        conn._transport.pause_reading()
        sock = conn._transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        conn.send(REQUEST)
        await asyncio.sleep(0.4)
        conn._transport.resume_reading()
        assert (await conn.read_head(1)).status == 200
        assert await conn.read_body(1) == body


async def test_response_without_length_that_is_reset_is_lost():
    async with World() as world:
        world.target.response, world.target.ending = UNFRAMED, 'reset'
        with pytest.raises(ResponseLost):
            await world.exchange()


async def test_response_without_length_that_loses_its_member_is_lost():
    async with World() as world:
        world.target.response = UNFRAMED
        conn = await world.open()
        conn.send(REQUEST)
        await conn.read_head(1)
        assert await conn.read_chunk(1) == b'ok'
        # The kernel of a killed process closes its connections in order.
        for side in tuple(world.server.sides):
            side.transport.close()
        with pytest.raises(ResponseLost):
            await conn.read_chunk(1)


async def test_path_carries_one_request():
    async with World() as world:
        await world.exchange()
        await asyncio.wait_for(world.target.is_closed.wait(), 1)
        assert not world.pool._idle


async def test_target_sees_that_the_caller_has_left():
    async with World() as world:
        world.target.response = b''
        conn = await world.open()
        conn.send(REQUEST)
        await asyncio.sleep(0.05)
        conn.abort()
        await asyncio.wait_for(world.target.is_closed.wait(), 1)


async def test_refused_path_is_a_request_that_was_not_sent():
    async with World() as world:
        world.refusal = 't1 leaves'
        with pytest.raises(RequestNotSent, match='t1 leaves'):
            await world.open()
        assert not world.target.received


async def test_member_without_the_key_gets_no_path():
    async with World() as world:
        world.key = b'other'
        with pytest.raises(RequestNotSent, match='proof'):
            await world.open()


async def test_second_member_is_asked_when_the_first_is_gone():
    async with World() as world:
        world.helpers.insert(0, ('127.0.0.1', 1))
        await world.open()


async def test_member_that_stays_silent_costs_little_and_is_asked_last():
    async with World() as world:
        silent = await asyncio.start_server(
            lambda *streams: asyncio.sleep(5), '127.0.0.1', 0
        )
        world.helpers.insert(0, silent.sockets[0].getsockname())
        await world.open()
        begin = asyncio.get_running_loop().time()
        await world.open()
        assert asyncio.get_running_loop().time() < begin + 0.1
        silent.close()


async def test_member_that_reaches_no_target_says_so():
    async with World() as world:
        world.target.server.close()
        with pytest.raises(RequestNotSent, match='no connection'):
            await world.open()


async def test_target_that_closes_at_once_gives_no_path():
    async with World() as world:
        connect = world.server.connect

        async def connect_and_lose(side, address, seconds):
            await connect(side, address, seconds)
            side.transport.abort()
            await asyncio.sleep(0.05)

        world.server.connect = connect_and_lose
        with pytest.raises(RequestNotSent, match='closed'):
            await world.open()


async def test_bytes_before_the_path_is_open_end_it():
    async with World() as world:
        connect = world.server.connect

        async def connect_later(side, address, seconds):
            await asyncio.sleep(0.2)
            await connect(side, address, seconds)

        world.server.connect = connect_later
        opening = asyncio.create_task(world.open())
        await asyncio.sleep(0.1)
        (side,) = world.server.sides
        side.data_received(REQUEST)
        with pytest.raises(RequestNotSent):
            await opening
        assert not world.target.received


async def test_nothing_is_passed_on_after_the_time_of_the_request():
    async with World() as world:
        conn = await world.open(lifetime=0.2)
        # A suspended process reads what arrived meanwhile before its timers.
        (side,) = world.server.sides
        side._timer.cancel()
        await asyncio.sleep(0.3)
        conn.send(REQUEST)
        with pytest.raises(ResponseLost):
            await conn.read_head(1)
        assert not world.target.received


async def test_path_ends_with_the_time_of_its_request():
    async with World() as world:
        world.target.response = b''
        conn = await world.open(lifetime=0.2)
        conn.send(REQUEST)
        with pytest.raises(ResponseLost):
            await conn.read_head(1)


async def test_large_response_is_not_held_by_the_member():
    async with World() as world:
        size = 32 << 20
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
        world.target.response = head + b'x' * size
        conn = await world.open(lifetime=20)
        conn.send(REQUEST)
        await conn.read_head(1)
        await asyncio.sleep(0.3)
        (side,) = world.server.sides
        assert side.transport.get_write_buffer_size() < 2 << 20
        received = 0
        while chunk := await conn.read_chunk(5):
            received += len(chunk)
        assert received == size


async def test_member_learns_from_the_head_of_a_response():
    async with World() as world:
        world.target.response = (
            b'HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n'
        )
        await world.exchange()
        assert world.heads == [('t1', 503, b'2')]


@pytest.mark.parametrize(
    'sent',
    [b'\xff' * 8, b'\x00\x00\x00\x02\x91\x91', b'GET / HTTP/1.1\r\n\r\n'],
)
async def test_invalid_request_for_a_path_costs_its_connection(sent):
    async with World() as world:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', world.server.port
        )
        writer.write(sent)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
        await world.exchange()


def test_head_without_end_is_not_kept_by_the_member():
    # Guards against: bytes that no member reads fill the helper's memory.
    heads = []
    reader = _HeadReader(heads.append, 4096)
    reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    tracemalloc.start()
    reader.feed(b'HTTP/1.1 200 OK\r\nX-Long: ')
    for _ in range(8000):
        reader.feed(b'x' * 1000)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert len(heads) == 1
    assert peak < 1 << 20


@pytest.mark.parametrize('line', [b'000', b'099 Odd', b'101 Odd', b'600 Odd'])
def test_nothing_is_learned_after_a_status_that_is_none(line):
    heads = []
    reader = _HeadReader(heads.append, 4096)
    odd = b'HTTP/1.1 ' + line + b'\r\nContent-Length: 2\r\n\r\nok'
    reader.feed(odd + WHOLE)
    reader.feed(WHOLE)
    assert not heads


async def wait_for(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def early_answer(part, ending):
    """A world whose target answers before it has read a request."""
    early = EarlyServer(b'x' * part, ending)
    async with World() as world, early as server:
        world.entry = decode_target(
            'servers/t1',
            encode({**ENTRY, 'addr': '{0}:{1}'.format(*server.address)}),
        )
        yield world


async def ask_early(world):
    size = 16 << 20
    conn = await world.open(lifetime=8)
    conn.send(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n' % size
        + b'u' * size
    )
    try:
        await conn.read_head(5)
        return await conn.read_body(5)
    finally:
        world.pool.release(conn)


@pytest.mark.parametrize('ending', BREAKING)
@pytest.mark.parametrize('part', [16, 960 << 10])
async def test_answer_that_is_reset_amid_the_request_is_lost(ending, part):
    async with early_answer(part, ending) as world:
        async with asyncio.timeout(8):
            with pytest.raises(ResponseLost):
                await ask_early(world)


@pytest.mark.parametrize('ending', ENDING)
@pytest.mark.parametrize('part', [16, 960 << 10])
async def test_answer_whose_target_reads_the_request_to_its_end_is_whole(
    ending, part
):
    async with early_answer(part, ending) as world:
        assert await ask_early(world) == b'x' * part


class BudgetWorld(World):
    """A member that draws on a small budget, and small kernel buffers."""

    async def __aenter__(self):
        await super().__aenter__()
        self.front = CallerServer(
            None, MessageLimits(), Logger('test'), ByteBudget(BUDGET_BYTES)
        )
        self.budget = self.front.budget
        self.server.draw_on(self.budget, self.front.relieve)
        (listener,) = self.server._listener.sockets
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        return self

    async def send_unread(self, size, raw=REQUEST):
        """Ask for a response without length, and read nothing of it."""
        self.target.response = UNFRAMED + b'x' * size
        conn = await self.open()
        sock = conn._transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        conn._transport.pause_reading()
        conn.send(raw)
        return conn


async def test_response_for_a_slow_member_is_counted():
    """Guards against bytes that are passed on and nothing counts."""
    async with BudgetWorld() as world:
        world.budget.limit = 10 * BUDGET_BYTES
        conn = await world.send_unread(200_000)
        await wait_for(lambda: world.budget.kinds[HeldKind.path] > 100_000)
        conn.abort()
        await wait_for(lambda: not world.server.sides)
        assert world.budget.total == 0


async def test_request_for_a_slow_target_is_counted():
    """Guards against request bodies that wait at a member uncounted."""
    async with BudgetWorld() as world:
        world.budget.limit = 1000 * BUDGET_BYTES
        may_read = asyncio.Event()

        async def serve(reader, writer):
            reader._transport.pause_reading()
            await may_read.wait()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()
        world.server._resolver = lambda *key: address
        conn = await world.open()
        conn.send(REQUEST + b'b' * 20_000_000)
        await wait_for(lambda: world.budget.kinds[HeldKind.path] > 100_000)
        conn.abort()
        await wait_for(lambda: not world.server.sides)
        await wait_for(lambda: not world.budget.total)
        may_read.set()
        server.close()


async def test_path_that_is_given_up_loses_its_response():
    """Guards against a part of a response that is taken for the whole."""
    async with BudgetWorld() as world:
        conn = await world.send_unread(400_000)
        await wait_for(lambda: world.budget.closed['memory_path'])
        assert world.budget.total <= BUDGET_BYTES
        conn._transport.resume_reading()
        with pytest.raises(ResponseLost):
            await conn.read_head(1)
            await conn.read_body(1)
        await wait_for(lambda: not world.server.sides)
        assert world.budget.total == 0


async def test_path_whose_target_side_is_given_up_loses_its_response():
    """Guards against the end that a target gives in order."""
    async with BudgetWorld() as world:
        world.target.response = UNFRAMED
        conn = await world.open()
        conn.send(REQUEST)
        assert (await conn.read_head(1)).status == 200
        (side,) = world.server.sides
        side.peer.give_up(HeldKind.path, 'memory_path')
        with pytest.raises(ResponseLost):
            await conn.read_body(1)


async def test_path_is_refused_while_the_budget_is_exceeded():
    """Guards against paths that use memory which others lack."""
    async with BudgetWorld() as world:
        world.budget.add(HeldKind.request, BUDGET_BYTES + 1)
        with pytest.raises(RequestNotSent):
            await world.open()
        world.budget.remove(HeldKind.request, BUDGET_BYTES + 1)
        _, body = await world.exchange()
        assert body == b'ok'


async def test_path_is_opened_once_the_budget_has_been_counted_again():
    """Guards against refusing paths for what callers have read long ago."""
    async with BudgetWorld() as world:
        key = ('holder', HeldKind.response)
        world.budget.hold(key, BUDGET_BYTES + 1, 0, has_moved=True)
        world.server.relieve = lambda: world.budget.release(key)
        _, body = await world.exchange()
        assert body == b'ok'
