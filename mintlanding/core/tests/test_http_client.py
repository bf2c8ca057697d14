"""Calls go out once, and every answer is that of its own call."""

import asyncio
import socket
import threading
from contextlib import asynccontextmanager

import pytest

from mintlanding.core.exceptions import (
    AnswerInvalid,
    CallLost,
    CallNotSent,
    CallTimeout,
)
from mintlanding.core.http_client import HttpCall, HttpClient


@asynccontextmanager
async def raw_server(answer):
    """Serve with `answer(path, writer)`; yield the URL and what was seen."""
    seen = []

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                method, path = head.decode().split(' ')[:2]
                seen.append((method, path))
                await answer(path, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            return

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    yield f'http://127.0.0.1:{port}', seen
    server.close()


async def _echo(path, writer):
    head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(path)}\r\n\r\n{path}'
    writer.write(head.encode())


async def _drop_put(path, writer):
    if path == '/put':
        writer.close()
        return
    await _echo(path, writer)


async def _slow(path, writer):
    if path == '/slow':
        await asyncio.sleep(0.03)
    await _echo(path, writer)


@pytest.mark.parametrize('method', ['PUT', 'DELETE', 'POST', 'GET'])
async def test_dropped_call_is_not_sent_again(method):
    client = HttpClient.from_config()
    async with raw_server(_drop_put) as (url, seen):
        await client.call(HttpCall('GET', f'{url}/warm'))
        with pytest.raises(CallLost):
            await client.call(HttpCall(method, f'{url}/put'))
    assert seen == [('GET', '/warm'), (method, '/put')]


async def test_late_answer_never_reaches_the_next_call():
    client = HttpClient.from_config()
    async with raw_server(_slow) as (url, _):
        await client.call(HttpCall('GET', f'{url}/warm'))
        with pytest.raises(CallTimeout):
            await client.call(HttpCall('GET', f'{url}/slow', answer=0.005))
        answer = await client.call(HttpCall('GET', f'{url}/mine'))
    assert answer.body == b'/mine'


async def test_refused_connection_is_not_sent():
    async with raw_server(_echo) as (url, _):
        pass
    with pytest.raises(CallNotSent):
        await HttpClient.from_config().call(HttpCall('POST', url))


async def test_waiting_connection_is_probed():
    async with raw_server(_echo) as (url, _):
        opened = await HttpClient.from_config().open(
            HttpCall('GET', f'{url}/x')
        )
        sock = opened._connection.writer.get_extra_info('socket')
        probed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        opened.close()
    assert probed and idle == 5


async def test_calls_start_no_thread():
    before = set(threading.enumerate())
    async with raw_server(_echo) as (url, _):
        await HttpClient.from_config().call(HttpCall('GET', f'{url}/x'))
    assert not set(threading.enumerate()) - before


@pytest.mark.parametrize('host', ['localhost', 'engine.example', '[::1', ''])
async def test_call_to_no_ip_number_is_not_sent(host):
    call = HttpCall('GET', f'http://{host}:1/')
    with pytest.raises(CallNotSent):
        await HttpClient.from_config().call(call)


@pytest.mark.parametrize('header', [('x', 'a\r\nb'), ('x y', 'a'), ('x', '\0')])
async def test_header_that_cannot_be_written_is_not_sent(header):
    async with raw_server(_echo) as (url, seen):
        with pytest.raises(CallNotSent):
            await HttpClient.from_config().call(
                HttpCall('POST', f'{url}/x', [header]),
            )
    assert not seen


async def test_environment_proxies_are_ignored(monkeypatch):
    monkeypatch.setenv('HTTP_PROXY', 'http://127.0.0.1:9')
    monkeypatch.setenv('http_proxy', 'http://127.0.0.1:9')
    async with raw_server(_echo) as (url, _):
        answer = await HttpClient.from_config().call(
            HttpCall('GET', f'{url}/x')
        )
    assert answer.body == b'/x'


@pytest.mark.parametrize(
    ('raw', 'error'),
    [
        (b'garbage\r\n\r\n', AnswerInvalid),
        (b'HTTP/1.1 200 OK\r\n\r\nunbounded', AnswerInvalid),
        (b'HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n', AnswerInvalid),
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort', CallLost),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
            CallLost,
        ),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab',
            CallLost,
        ),
        (b'HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n', AnswerInvalid),
        (b'HTTP/1.1 200 OK\r\nx: ' + b'y' * 200_000, AnswerInvalid),
    ],
)
async def test_broken_answer_is_a_clear_error(raw, error):
    async def answer(path, writer):
        writer.write(raw)
        await writer.drain()
        if error is CallLost:
            writer.close()

    async with raw_server(answer) as (url, _):
        with pytest.raises(error) as caught:
            await HttpClient.from_config().call(HttpCall('GET', f'{url}/x'))
    assert caught.type is error
