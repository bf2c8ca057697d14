"""Requests are sent at most once, and responses match their requests."""

import asyncio
import socket
import threading
from contextlib import asynccontextmanager

import pytest

from mintlanding.core.exceptions import (
    InvalidResponse,
    RequestNotSent,
    ResponseLost,
    ResponseTimeout,
)
from mintlanding.core.http_client import HttpClient, HttpRequest


@asynccontextmanager
async def raw_server(respond):
    """Serve with `respond(path, writer)`; yield the URL and the requests."""
    seen = []

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                method, path = head.decode().split(' ')[:2]
                seen.append((method, path))
                await respond(path, writer)
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
async def test_dropped_request_is_not_sent_again(method):
    client = HttpClient.from_config()
    async with raw_server(_drop_put) as (url, seen):
        await client.call(HttpRequest('GET', f'{url}/warm'))
        with pytest.raises(ResponseLost):
            await client.call(HttpRequest(method, f'{url}/put'))
    assert seen == [('GET', '/warm'), (method, '/put')]


async def test_late_response_is_never_returned_for_the_next_request():
    client = HttpClient.from_config()
    async with raw_server(_slow) as (url, _):
        await client.call(HttpRequest('GET', f'{url}/warm'))
        with pytest.raises(ResponseTimeout):
            await client.call(
                HttpRequest('GET', f'{url}/slow', response_timeout=0.005)
            )
        response = await client.call(HttpRequest('GET', f'{url}/mine'))
    assert response.body == b'/mine'


async def test_refused_connection_raises_request_not_sent():
    async with raw_server(_echo) as (url, _):
        pass
    with pytest.raises(RequestNotSent):
        await HttpClient.from_config().call(HttpRequest('POST', url))


async def test_connection_uses_keepalive_probes():
    async with raw_server(_echo) as (url, _):
        opened = await HttpClient.from_config().open(
            HttpRequest('GET', f'{url}/x')
        )
        sock = opened._connection.writer.get_extra_info('socket')
        probed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        opened.close()
    assert probed and idle == 5


async def test_requests_start_no_thread():
    before = set(threading.enumerate())
    async with raw_server(_echo) as (url, _):
        await HttpClient.from_config().call(HttpRequest('GET', f'{url}/x'))
    assert not set(threading.enumerate()) - before


@pytest.mark.parametrize('host', ['localhost', 'engine.example', '[::1', ''])
async def test_request_to_a_host_name_is_not_sent(host):
    call = HttpRequest('GET', f'http://{host}:1/')
    with pytest.raises(RequestNotSent):
        await HttpClient.from_config().call(call)


@pytest.mark.parametrize('header', [('x', 'a\r\nb'), ('x y', 'a'), ('x', '\0')])
async def test_request_with_an_invalid_header_is_not_sent(header):
    async with raw_server(_echo) as (url, seen):
        with pytest.raises(RequestNotSent):
            await HttpClient.from_config().call(
                HttpRequest('POST', f'{url}/x', [header]),
            )
    assert not seen


async def test_environment_proxies_are_ignored(monkeypatch):
    monkeypatch.setenv('HTTP_PROXY', 'http://127.0.0.1:9')
    monkeypatch.setenv('http_proxy', 'http://127.0.0.1:9')
    async with raw_server(_echo) as (url, _):
        response = await HttpClient.from_config().call(
            HttpRequest('GET', f'{url}/x')
        )
    assert response.body == b'/x'


@pytest.mark.parametrize(
    ('raw', 'error'),
    [
        (b'garbage\r\n\r\n', InvalidResponse),
        (b'HTTP/1.1 200 OK\r\n\r\nunbounded', InvalidResponse),
        (b'HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n', InvalidResponse),
        (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort', ResponseLost),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
            ResponseLost,
        ),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab',
            ResponseLost,
        ),
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n',
            InvalidResponse,
        ),
        (b'HTTP/1.1 200 OK\r\nx: ' + b'y' * 200_000, InvalidResponse),
    ],
)
async def test_invalid_response_raises_a_specific_error(raw, error):
    async def respond(path, writer):
        writer.write(raw)
        await writer.drain()
        if error is ResponseLost:
            writer.close()

    async with raw_server(respond) as (url, _):
        with pytest.raises(error) as caught:
            await HttpClient.from_config().call(HttpRequest('GET', f'{url}/x'))
    assert caught.type is error


@pytest.mark.parametrize(
    'line',
    [
        '1.1 000 Odd',
        '1.1 000',
        '1.1 099 Odd',
        '1.1 101 Switching Protocols',
        '1.1 600 Odd',
        '1.1 20 OK',
        '1.1 2000 OK',
        '1.1 200OK',
        '7 200 OK',
    ],
)
async def test_status_that_is_none_is_an_invalid_response(line):
    """Guards against passing it on to a caller."""

    async def respond(path, writer):
        head = f'HTTP/{line}\r\ncontent-length: 2\r\n\r\nok'
        writer.write(head.encode())

    async with raw_server(respond) as (url, _):
        with pytest.raises(InvalidResponse):
            await HttpClient.from_config().call(HttpRequest('GET', f'{url}/x'))


@pytest.mark.parametrize('line', ['200 OK', '200', '200 ', '418 I am', '599 x'])
async def test_final_status_is_taken_with_any_reason(line):
    async def respond(path, writer):
        head = f'HTTP/1.1 {line}\r\ncontent-length: 2\r\n\r\nok'
        writer.write(head.encode())

    async with raw_server(respond) as (url, _):
        response = await HttpClient.from_config().call(
            HttpRequest('GET', f'{url}/x')
        )
    assert (response.status, response.body) == (int(line[:3]), b'ok')
