"""Calls between members over real sockets on loopback."""

import asyncio
import contextlib

import msgspec
import pytest

from mintlanding.core.clock import ManualClock
from mintlanding.core.exceptions import (
    ConfigurationError,
    PeerRefused,
    PeerUnavailable,
)
from mintlanding.core.tests.ports import free_port
from mintlanding.peers.auth import NonceWindow, PeerKeyring
from mintlanding.peers.client import PeerClient
from mintlanding.peers.messages import Method
from mintlanding.peers.server import PeerServer


class Request(msgspec.Struct, frozen=True):
    word: str = ''


class RequestOfNextRelease(msgspec.Struct, frozen=True):
    word: str = ''
    colour: str = 'green'
    nested: dict[str, list[int]] = {}


class Reply(msgspec.Struct, frozen=True):
    word: str
    sender: str = ''


ECHO = Method('test', 'Echo', Request, Reply, max_bytes=1000)
COUNT = Method('test', 'Count', Request, Reply, streaming=True)
SLOW = Method('test', 'Slow', Request, Reply)
BROKEN = Method('test', 'Broken', Request, Reply)
LARGE = Method('test', 'Large', Request, Reply, max_bytes=1000)
UNKNOWN = Method('test', 'Unknown', Request, Reply)


class Bench:
    def __init__(self, clock=None):
        self.clock = clock
        self.server = PeerServer(keyring('server', 'one'), clock)
        self.client = self.make_client('one')
        self.release = asyncio.Event()
        self.slow_calls = 0
        self.address = ''

    def make_client(self, *secrets):
        return PeerClient(keyring('client', *secrets), self.clock)

    async def start(self):
        self.server.add(ECHO, self.echo)
        self.server.add(SLOW, self.slow)
        self.server.add(BROKEN, self.broken)
        self.server.add(LARGE, self.large)
        self.server.add_stream(COUNT, self.count)
        port = free_port()
        self.address = f'127.0.0.1:{port}'
        await self.server.start('127.0.0.1', port)

    async def echo(self, req, sender):
        return Reply(req.word, sender)

    async def slow(self, req, sender):
        self.slow_calls += 1
        await self.release.wait()
        return Reply(req.word)

    async def broken(self, req, sender):
        raise KeyError('an error in the handler')

    async def large(self, req, sender):
        return Reply('x' * 2000)

    async def count(self, req, sender):
        for number in range(3):
            yield Reply(str(number))
        await self.release.wait()
        yield Reply('last')

    async def call(
        self, method=ECHO, req=Request('hello'), timeout=5, client=None
    ):
        client = client or self.client
        return await client.call(self.address, method, req, timeout)


def keyring(sender, *secrets):
    return PeerKeyring.from_config(sender, list(secrets))


@pytest.fixture
async def bench():
    bench = Bench()
    await bench.start()
    yield bench
    bench.release.set()
    bench.client.close()
    await bench.server.stop(grace=0)


async def test_handler_receives_the_sender_of_a_call(bench):
    assert await bench.call() == Reply('hello', 'client')


async def test_stream_yields_until_its_end(bench):
    bench.release.set()
    stream = bench.client.stream(bench.address, COUNT, Request(), 5)
    words = [reply.word async for reply in stream]
    assert words == ['0', '1', '2', 'last']


async def test_stream_fails_after_a_gap_between_replies(bench):
    words = []
    with pytest.raises(PeerUnavailable):
        async for reply in bench.client.stream(
            bench.address, COUNT, Request(), 0.05
        ):
            words.append(reply.word)
    assert words == ['0', '1', '2']


async def test_caller_with_an_unknown_secret_is_refused(bench):
    stranger = bench.make_client('another')
    with pytest.raises(PeerRefused):
        await bench.call(client=stranger)
    stranger.close()


async def test_message_over_the_limit_is_refused_on_both_sides(bench):
    with pytest.raises(PeerRefused):
        await bench.call(req=Request('x' * 2000))
    unbounded = Method('test', 'Echo', Request, Reply)
    with pytest.raises(PeerRefused):
        await bench.call(unbounded, Request('x' * 2000))
    with pytest.raises(PeerUnavailable):
        await bench.call(LARGE)
    assert await bench.call() == Reply('hello', 'client')


async def test_unknown_method_is_unavailable(bench):
    with pytest.raises(PeerUnavailable):
        await bench.call(UNKNOWN)
    assert await bench.call() == Reply('hello', 'client')


async def test_exception_in_a_handler_leaves_the_server_running(bench):
    with pytest.raises(PeerUnavailable):
        await bench.call(BROKEN)
    assert await bench.call() == Reply('hello', 'client')


async def test_field_of_a_later_release_is_skipped(bench):
    later = Method('test', 'Echo', RequestOfNextRelease, Reply)
    req = RequestOfNextRelease('hello', 'blue', {'a': [1]})
    assert await bench.call(later, req) == Reply('hello', 'client')


async def test_message_of_the_wrong_type_is_refused(bench):
    class Wrong(msgspec.Struct):
        word: int

    wrong = Method('test', 'Echo', Wrong, Reply)
    with pytest.raises(PeerRefused):
        await bench.call(wrong, Wrong(1))


async def test_timed_out_call_leaves_running_streams_alone(bench):
    stream = bench.client.stream(bench.address, COUNT, Request(), 5)
    assert (await anext(stream)).word == '0'
    with pytest.raises(PeerUnavailable):
        await bench.call(SLOW, timeout=0.05)
    bench.release.set()
    words = [reply.word async for reply in stream]
    assert words == ['1', '2', 'last']


async def test_stop_lets_running_calls_end(bench):
    running = asyncio.create_task(bench.call(SLOW))
    while not bench.slow_calls:
        await asyncio.sleep(0)
    stopping = asyncio.create_task(bench.server.stop())
    await asyncio.sleep(0.01)
    late = bench.make_client('one')
    with pytest.raises(PeerUnavailable):
        await bench.call(client=late)
    late.close()
    bench.release.set()
    assert await running == Reply('hello')
    await stopping


async def test_stop_cancels_calls_after_the_grace_period(bench):
    running = asyncio.create_task(bench.call(SLOW))
    while not bench.slow_calls:
        await asyncio.sleep(0)
    await bench.server.stop(grace=0.01)
    with pytest.raises(PeerUnavailable):
        await running


async def test_calls_to_an_unresponsive_peer_time_out_on_separate_connections():
    accepted = []
    listener = await asyncio.start_server(
        lambda reader, writer: accepted.append(writer), '127.0.0.1', 0
    )
    port = listener.sockets[0].getsockname()[1]
    client = PeerClient(keyring('client', 'one'))
    for _ in range(2):
        with pytest.raises(PeerUnavailable):
            await client.call(f'127.0.0.1:{port}', ECHO, Request(), 0.05)
    client.close()
    assert len(accepted) == 2
    for writer in accepted:
        writer.close()
    listener.close()


async def test_peer_that_sends_garbage_is_unavailable():
    async def answer(reader, writer):
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
        writer.close()

    listener = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    client = PeerClient(keyring('client', 'one'))
    with pytest.raises(PeerUnavailable):
        await client.call(f'127.0.0.1:{port}', ECHO, Request(), 1)
    client.close()
    listener.close()


@pytest.mark.parametrize(
    'garbage',
    [
        b'',
        b'\x00' * 100,
        b'GET / HTTP/1.1\r\n\r\n',
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + b'\xff' * 64,
    ],
)
async def test_garbage_on_a_connection_leaves_the_server_running(
    bench, garbage
):
    host, _, port = bench.address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(garbage)
    writer.write_eof()
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(0.5):
            await reader.read()
    writer.close()
    assert await bench.call() == Reply('hello', 'client')


async def test_replayed_call_is_refused(bench, monkeypatch):
    fixed = bench.client._keyring.sign(
        ECHO.path,
        bench.client._clock.wall(),
        msgspec.msgpack.encode(Request('x')),
    )
    monkeypatch.setattr(PeerKeyring, 'sign', lambda *args: fixed)
    assert (await bench.call(req=Request('x'))).word == 'x'
    with pytest.raises(PeerRefused, match='before'):
        await bench.call(req=Request('x'))


async def test_signed_headers_do_not_fit_another_message(bench, monkeypatch):
    fixed = bench.client._keyring.sign(
        ECHO.path,
        bench.client._clock.wall(),
        msgspec.msgpack.encode(Request('x')),
    )
    monkeypatch.setattr(PeerKeyring, 'sign', lambda *args: fixed)
    with pytest.raises(PeerRefused, match='signed'):
        await bench.call(req=Request('y'))


async def test_secrets_rotate_without_downtime(bench):
    steps = [('one', 'two'), ('two', 'one'), ('two',)]
    before = ('one',)
    for after in steps:
        for served, called in ((before, after), (after, before)):
            bench.server.set_keyring(keyring('server', *served))
            bench.client.set_keyring(keyring('client', *called))
            assert (await bench.call()).word == 'hello'
        before = after
    bench.client.set_keyring(keyring('client', 'one'))
    bench.server.set_keyring(keyring('server', 'two'))
    with pytest.raises(PeerRefused):
        await bench.call()


HEADER_FAULTS = [
    {'mint-token': ''},
    {'mint-token': 'ü'},
    {'mint-sender': 'other'},
    {'mint-time': 'soon'},
    {'mint-time': 'nan'},
    {'mint-time': '0'},
    {'mint-nonce': '00'},
    {'mint-body': '00'},
]


@pytest.mark.parametrize('fault', HEADER_FAULTS)
def test_any_changed_header_is_refused(fault):
    ring = keyring('client', 'one')
    headers = ring.sign(ECHO.path, 1000, b'body')
    assert ring.verify(ECHO.path, headers, 1000) == 'client'
    with pytest.raises(PeerRefused):
        ring.verify(ECHO.path, {**headers, **fault}, 1000)


def test_token_of_another_method_is_refused():
    ring = keyring('client', 'one')
    headers = ring.sign(ECHO.path, 1000)
    with pytest.raises(PeerRefused):
        ring.verify(SLOW.path, headers, 1000)


@pytest.mark.parametrize('skew', [-61, 61])
def test_old_and_early_tokens_are_refused(skew):
    ring = keyring('client', 'one')
    headers = ring.sign(ECHO.path, 1000)
    with pytest.raises(PeerRefused):
        ring.verify(ECHO.path, headers, 1000 + skew)


def test_nonces_are_kept_for_the_lifetime_of_tokens_only():
    window = NonceWindow(lifetime=10)
    assert window.accept('a', 0)
    assert not window.accept('a', 9)
    assert not window.accept('a', 15)
    assert window.accept('b', 15)
    assert window.accept('a', 100)
    assert window.accept('b', 200)


def test_nonces_are_bounded_in_number():
    window = NonceWindow(lifetime=1000, limit=10)
    for number in range(1000):
        assert window.accept(str(number), 0)
    assert len(window._newer) + len(window._older) <= 20


def test_keyring_without_secret_is_refused():
    for secrets in ([], ['']):
        with pytest.raises(ConfigurationError):
            PeerKeyring.from_config('client', secrets)


def test_tokens_use_the_given_time():
    clock = ManualClock(50)
    ring = keyring('client', 'one')
    headers = ring.sign(ECHO.path, clock.wall())
    assert ring.verify(ECHO.path, headers, clock.wall()) == 'client'
