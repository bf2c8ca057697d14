"""Limits on callers' requests, and what happens when callers disconnect."""

import asyncio
import socket
from dataclasses import replace

import pytest

from mintlanding.core.exceptions import ResponseAlreadyBegun
from mintlanding.core.logs import Logger
from mintlanding.http1 import server
from mintlanding.http1.models import MessageLimits
from mintlanding.http1.server import CallerServer

GET = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'


class World:
    """A server with a given handler, and connections to it."""

    def __init__(self, handler=None, **limits):
        self.seen = []
        self.handler = handler or self.echo
        self.limits = replace(MessageLimits(), **limits)

    async def echo(self, req):
        self.seen.append(req)
        req.respond(200, [], req.method + b' ' + req.target + b' ' + req.body)

    async def __aenter__(self):
        self.server = CallerServer(self.handler, self.limits, Logger('test'))
        await self.server.start('127.0.0.1', 0)
        return self

    async def __aexit__(self, *exc_info):
        self.server.stop()

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.server.port)

    async def request(self, raw):
        reader, writer = await self.connect()
        writer.write(raw)
        try:
            return await read_response(reader)
        finally:
            writer.close()


async def read_response(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split()[1])
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return status, await reader.readexactly(length)


async def test_requests_on_one_connection_are_answered_in_order():
    async with World() as world:
        reader, writer = await world.connect()
        writer.write(GET + GET.replace(b'/x', b'/y'))
        assert await read_response(reader) == (200, b'GET /x ')
        assert await read_response(reader) == (200, b'GET /y ')
        writer.close()


async def test_chunked_body_is_joined():
    raw = (
        b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
    )
    async with World() as world:
        assert await world.request(raw) == (200, b'POST /x abc')


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (b'NONSENSE\r\n\r\n', 400),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            400,
        ),
        (b'GET / HTTP/1.1\r\nX: ' + b'a' * 500 + b'\r\n\r\n', 431),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n', 413),
    ],
)
async def test_invalid_or_oversized_request_is_refused(raw, status):
    async with World(header_bytes=400, body_bytes=100) as world:
        assert (await world.request(raw))[0] == status
        assert world.server.refusals == {status: 1}
        assert not world.seen


async def test_slow_caller_gets_a_timeout():
    async with World(header_timeout=0.05) as world:
        assert (await world.request(b'GET / HT'))[0] == 408


async def test_idle_connection_is_closed():
    async with World(idle_timeout=0.05) as world:
        reader, _ = await world.connect()
        assert await reader.read() == b''


async def test_handler_is_cancelled_when_its_caller_disconnects():
    cancelled = asyncio.Event()

    async def handler(req):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with World(handler) as world:
        _, writer = await world.connect()
        writer.write(GET)
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(1):
            await cancelled.wait()


async def test_handler_may_outlive_its_caller():
    ended = asyncio.Event()

    async def handler(req):
        req.outlives_caller = True
        await asyncio.sleep(0.1)
        req.respond(200, [], b'')
        ended.set()

    async with World(handler) as world:
        _, writer = await world.connect()
        writer.write(GET)
        await asyncio.sleep(0.03)
        writer.close()
        async with asyncio.timeout(1):
            await ended.wait()


async def test_aborted_response_is_seen_as_incomplete():
    async def handler(req):
        req.begin(200, [])
        req.write(b'part')
        req.abort()

    async with World(handler) as world:
        reader, writer = await world.connect()
        writer.write(GET)
        raw = await reader.read()
        assert raw.endswith(b'part\r\n')
        writer.close()


async def test_handler_that_raises_costs_one_request():
    async def fail_first(req):
        if req.target == b'/x':
            raise RuntimeError('a mistake')
        req.respond(200, [], b'')

    async with World(fail_first) as world:
        reader, writer = await world.connect()
        writer.write(GET + GET.replace(b'/x', b'/y'))
        assert await read_response(reader) == (500, b'')
        assert await read_response(reader) == (200, b'')
        writer.close()


async def test_handler_that_raises_amid_its_response_closes_the_connection():
    async def fail(req):
        req.begin(200, [])
        req.write(b'a part')
        raise RuntimeError('a mistake')

    async with World(fail) as world:
        reader, writer = await world.connect()
        writer.write(GET)
        assert not (await reader.read()).endswith(b'0\r\n\r\n')
        writer.close()


async def test_draining_server_declares_the_close():
    async with World() as world:
        world.server.is_draining = True
        reader, writer = await world.connect()
        writer.write(GET)
        head = await reader.readuntil(b'\r\n\r\n')
        assert b'connection: close' in head
        writer.close()


async def test_requests_that_were_read_before_a_stop_are_answered():
    # Guards against: those behind another one are dropped by a planned stop.
    async with World() as world:
        reader, writer = await world.connect()
        writer.write(GET * 3)
        async with asyncio.timeout(2):
            while not any(
                each.has_pending for each in world.server.connections
            ):
                await asyncio.sleep(0)
        world.server.is_draining = True
        heads = []
        for _ in range(3):
            heads.append(await reader.readuntil(b'\r\n\r\n'))
            await reader.readexactly(len(b'GET /x '))
        assert [b'close' in head for head in heads] == [False, False, True]
        assert await reader.read() == b''
        writer.close()


async def test_invalid_second_request_does_not_cost_the_first_its_response():
    async def slow(req):
        await asyncio.sleep(0.2)
        req.respond(200, [], b'first')

    async with World(slow) as world:
        reader, writer = await world.connect()
        writer.write(GET)
        await asyncio.sleep(0.05)
        writer.write(b'no HTTP\r\n\r\n')
        assert await read_response(reader) == (200, b'first')
        assert (await read_response(reader))[0] == 400
        assert await reader.read() == b''
        writer.close()


async def test_requests_beyond_the_pipelined_ones_are_refused_in_turn():
    async def slow(req):
        await asyncio.sleep(0.01)
        req.respond(200, [], b'')

    async with World(slow) as world:
        reader, writer = await world.connect()
        writer.write(GET * 40)
        statuses = []
        while not statuses or statuses[-1] == 200:
            statuses.append((await read_response(reader))[0])
        assert statuses == [200] * 17 + [503]
        assert await reader.read() == b''
        writer.close()


async def test_as_many_pipelined_requests_as_allowed_are_answered_in_turn():
    async def slow(req):
        await asyncio.sleep(0.01)
        req.respond(200, [], b'')

    async with World(slow) as world:
        reader, writer = await world.connect()
        writer.write(GET * 17)
        for _ in range(17):
            assert (await read_response(reader))[0] == 200
        writer.write(GET)
        assert (await read_response(reader))[0] == 200
        writer.close()


@pytest.mark.parametrize(
    'raw',
    [
        b'POST /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n'
        b'Upgrade: h2c\r\nContent-Length: 5\r\n\r\nhello',
        b'CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n',
    ],
)
async def test_change_of_the_protocol_is_refused_and_not_handled(raw):
    async with World() as world:
        reader, writer = await world.connect()
        writer.write(raw)
        assert (await read_response(reader))[0] == 400
        assert await reader.read() == b''
        assert not world.seen
        writer.close()


@pytest.mark.parametrize('second', ['respond', 'begin'])
async def test_second_response_to_a_request_is_not_written(second):
    raised = []

    async def respond_twice(req):
        req.begin(200, [])
        req.write(b'part')
        try:
            getattr(req, second)(500, [], *([b''] * (second == 'respond')))
        except ResponseAlreadyBegun as exc:
            raised.append(str(exc))
        req.end()
        with pytest.raises(ResponseAlreadyBegun):
            req.respond(500, [], b'failed')

    async with World(respond_twice) as world:
        reader, writer = await world.connect()
        writer.write(GET.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'))
        received = await reader.read()
        writer.close()
    assert received.endswith(b'\r\n\r\n4\r\npart\r\n0\r\n\r\n')
    assert received.count(b'HTTP/1.1') == 1
    assert "b'GET' b'/x'" in raised[0]


async def test_continue_is_not_sent_amid_an_earlier_response():
    begun = asyncio.Event()
    done = asyncio.Event()

    async def respond(req):
        if req.target == b'/y':
            req.respond(200, [], req.body)
            return
        req.begin(200, [])
        req.write(b'part')
        begun.set()
        await done.wait()
        req.end()

    expecting = (
        b'POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )
    async with World(respond) as world:
        reader, writer = await world.connect()
        writer.write(GET)
        await begun.wait()
        writer.write(expecting)
        await asyncio.sleep(0.05)
        done.set()
        stream = await reader.readuntil(b'0\r\n\r\n')
        assert b'100 Continue' not in stream
        async with asyncio.timeout(1):
            interim = await reader.readuntil(b'\r\n\r\n')
        assert interim.startswith(b'HTTP/1.1 100')
        writer.write(b'body')
        assert await read_response(reader) == (200, b'body')
        writer.close()


@pytest.mark.parametrize('status', [204, 304])
async def test_response_without_a_body_declares_no_length(status):
    async def respond(req):
        req.respond(status, [], b'')

    async with World(respond) as world:
        reader, writer = await world.connect()
        writer.write(GET)
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
    assert b'content-length' not in head.lower()


@pytest.mark.parametrize('size', [1, 20, 50])
async def test_request_begun_behind_another_one_is_not_idle(size):
    second = b'POST /y HTTP/1.1\r\nContent-Length: 9\r\n\r\n012345678'
    async with World(idle_timeout=0.05, header_timeout=5) as world:
        reader, writer = await world.connect()
        writer.write(GET + second[:size])
        assert (await read_response(reader))[0] == 200
        (conn,) = world.server.connections
        assert not conn.is_idle
        await asyncio.sleep(0.15)
        writer.write(second[size:])
        async with asyncio.timeout(2):
            response = await read_response(reader)
        assert response == (200, b'POST /y 012345678')
        writer.close()


async def test_slow_request_behind_another_one_gets_a_timeout():
    async with World(header_timeout=0.05) as world:
        reader, writer = await world.connect()
        writer.write(GET + b'GET /y HT')
        assert (await read_response(reader))[0] == 200
        async with asyncio.timeout(2):
            assert (await read_response(reader))[0] == 408
        writer.close()


async def test_empty_line_behind_a_request_begins_none():
    async with World(header_timeout=0.05, idle_timeout=0.2) as world:
        reader, writer = await world.connect()
        writer.write(GET)
        assert (await read_response(reader))[0] == 200
        writer.write(b'\r\n')
        async with asyncio.timeout(2):
            assert await reader.read() == b''
        writer.close()


async def ended_within(reader, seconds):
    try:
        async with asyncio.timeout(seconds):
            return await reader.read() == b''
    except TimeoutError:
        return False


async def test_idle_connections_follow_a_longer_limit():
    async with World(idle_timeout=0.2) as world:
        fresh, _ = await world.connect()
        used, writer = await world.connect()
        writer.write(GET)
        assert (await read_response(used))[0] == 200
        world.server.set_limits(replace(world.limits, idle_timeout=0.8))
        assert not await ended_within(fresh, 0.4)
        assert not await ended_within(used, 0.05)
        assert await ended_within(fresh, 0.8)
        assert await ended_within(used, 0.2)


async def test_idle_connections_follow_a_shorter_limit():
    async with World(idle_timeout=30) as world:
        fresh, _ = await world.connect()
        await asyncio.sleep(0.3)
        world.server.set_limits(replace(world.limits, idle_timeout=0.2))
        # Its caller may still use it for a while.
        assert not await ended_within(fresh, 0.1)
        assert await ended_within(fresh, 0.5)


async def test_slow_caller_follows_changed_limits():
    async with World(header_timeout=0.1) as world:
        reader, writer = await world.connect()
        writer.write(b'GET / HT')
        await asyncio.sleep(0.05)
        world.server.set_limits(replace(world.limits, header_timeout=5))
        await asyncio.sleep(0.2)
        writer.write(b'TP/1.1\r\n\r\n')
        assert (await read_response(reader))[0] == 200
        writer.close()


async def test_changed_limits_leave_a_request_that_is_served():
    begun = asyncio.Event()
    go_on = asyncio.Event()

    async def handler(req):
        begun.set()
        await go_on.wait()
        req.respond(200, [], b'')

    async with World(handler) as world:
        reader, writer = await world.connect()
        writer.write(GET)
        await begun.wait()
        world.server.set_limits(
            replace(world.limits, idle_timeout=0.05, header_timeout=0.05)
        )
        await asyncio.sleep(0.2)
        go_on.set()
        assert (await read_response(reader))[0] == 200
        assert await ended_within(reader, 1)
        writer.close()


LARGE = b'x' * (8 << 20)


async def large(req):
    req.respond(200, [], LARGE)


async def read_whole_response_amid_requests(world, raw):
    """Read a large response slowly, and send further requests meanwhile."""
    reader, writer = await world.connect()
    writer.write(raw)
    start = await reader.readexactly(1000)
    writer.write(GET * 50_000)
    await asyncio.sleep(0.2)
    world.server.close_idle()
    async with asyncio.timeout(8):
        rest = await reader.read()
    writer.close()
    return start + rest


@pytest.mark.parametrize('count', [1, 2])
async def test_last_response_is_whole_although_requests_follow(count):
    seen = []

    async def handler(req):
        seen.append(req)
        await large(req)

    async with World(handler) as world:
        world.server.is_draining = True
        got = await read_whole_response_amid_requests(world, GET * count)
    assert got.count(b'HTTP/1.1') == count
    assert got.count(b'\r\n\r\n' + LARGE) == count
    assert got.endswith(b'\r\n\r\n' + LARGE)
    assert got.count(b'connection: close') == 1
    assert len(seen) == count


async def test_response_before_a_refusal_is_whole_although_bytes_follow():
    async with World(large) as world:
        raw = GET + b'garbage\r\n\r\n'
        got = await read_whole_response_amid_requests(world, raw)
    first, _, second = got.partition(LARGE)
    assert first.startswith(b'HTTP/1.1 200')
    assert second.startswith(b'HTTP/1.1 400')


async def test_refusal_reaches_a_caller_that_is_still_sending():
    body = b'x' * (32 << 20)
    head = b'POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(body)
    async with World() as world:
        reader, writer = await world.connect()
        writer.write(head + body)
        async with asyncio.timeout(5):
            status, _ = await read_response(reader)
        writer.close()
    assert status == 413


async def test_connection_of_a_caller_that_never_closes_ends():
    async with World() as world:
        world.server.is_draining = True
        reader, writer = await world.connect()
        writer.write(GET)
        assert (await read_response(reader))[0] == 200
        assert await ended_within(reader, 0.3)
        # The caller keeps its own side open.
        async with asyncio.timeout(3):
            while world.server.connections:
                await asyncio.sleep(0.02)
        writer.close()


@pytest.mark.parametrize(
    ('refused', 'status'),
    [
        (b'POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n' + b'x' * 200, 413),
        (b'GET / HTTP/1.1\r\nX: ' + b'a' * 500 + b'\r\n\r\n', 431),
    ],
)
async def test_refused_connection_ends_although_a_request_follows(
    refused, status
):
    limits = {'header_bytes': 400, 'body_bytes': 100, 'header_timeout': 0.2}
    async with World(**limits) as world:
        reader, writer = await world.connect()
        # The caller keeps its own side open.
        writer.write(refused + GET)
        assert (await read_response(reader))[0] == status
        async with asyncio.timeout(3):
            while world.server.connections:
                await asyncio.sleep(0.02)
        writer.close()
    assert not world.seen


async def answer_to(sock):
    """Return the status of the response that a socket receives."""
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(3):
        raw = await loop.sock_recv(sock, 1000)
    return int(raw.split()[1])


def send_at_once(port, raw=GET):
    """Connect and send while the event loop does nothing else."""
    sock = socket.create_connection(('127.0.0.1', port))
    sock.sendall(raw)
    return sock


async def test_connections_that_wait_to_be_accepted_at_the_stop_are_served():
    async with World() as world:
        port = world.server.port
        clients = [send_at_once(port) for _ in range(20)]
        world.server.close_listener()
        world.server.close_idle()
        for client in clients:
            assert await answer_to(client) == 200
            client.close()
        with pytest.raises(ConnectionRefusedError):
            send_at_once(port)


async def test_request_that_has_arrived_at_the_stop_is_answered():
    async with World() as world:
        client = send_at_once(world.server.port)
        assert await answer_to(client) == 200
        client.sendall(GET)
        world.server.close_idle()
        assert await answer_to(client) == 200
        client.close()


async def test_request_that_came_while_the_loop_was_busy_is_answered():
    # Guards against: the idle limit closes a connection with a request unread.
    async with World(idle_timeout=0.05) as world:
        client = send_at_once(world.server.port)
        assert await answer_to(client) == 200
        (conn,) = world.server.connections
        # Its timer runs before the loop looks at the sockets again.
        client.sendall(GET)
        conn._expire()
        assert await answer_to(client) == 200
        client.close()


async def test_first_request_of_a_new_connection_is_waited_for(monkeypatch):
    monkeypatch.setattr(server, '_FIRST_REQUEST_SECONDS', 0.2)
    async with World() as world:
        reader, writer = await world.connect()
        idle_reader, _ = await world.connect()
        await asyncio.sleep(0.05)
        world.server.close_idle()
        writer.write(GET)
        assert (await read_response(reader))[0] == 200
        await asyncio.sleep(0.2)
        world.server.close_idle()
        async with asyncio.timeout(1):
            assert await idle_reader.read() == b''
            assert await reader.read() == b''
