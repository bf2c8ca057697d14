"""How a response that has started ends when its request fails."""

import asyncio

import pytest

from mintlanding.core.http_server import TRANSPORT_KEY, HttpServer
from mintlanding.core.results import Failed, ResultCode
from mintlanding.entry.exchange import Exchange

FAILURE = Failed.of(ResultCode.target_timeout)


async def ask(content_type):
    """Return what a caller gets of a response that fails after a chunk."""

    async def app(scope, receive, send):
        assert TRANSPORT_KEY in scope
        exchange = Exchange(scope, receive, send)
        await exchange.start(200, {'content-type': content_type})
        await exchange.send_chunk(b'{"part":')
        await exchange.fail(FAILURE)

    server = HttpServer.from_config(app, '127.0.0.1', 0)
    await server.start()
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
    received = await reader.read(-1)
    writer.close()
    await server.stop()
    return received


async def test_failed_json_response_is_seen_as_incomplete():
    # An error event was appended to the JSON and the response ended normally.
    received = await ask('application/json')
    assert b'"part"' in received
    assert b'data: ' not in received
    assert not received.endswith(b'0\r\n\r\n')


async def test_failed_stream_ends_with_an_error_event():
    received = await ask('text/event-stream')
    assert b'data: {"error"' in received
    assert b'[DONE]' not in received


@pytest.mark.parametrize('code', [ResultCode.internal, ResultCode.no_target])
async def test_failure_before_the_start_is_a_json_error(code):
    sent = []

    async def send(message):
        sent.append(message)

    scope = {
        'type': 'http',
        'method': 'GET',
        'path': '/',
        'query_string': b'',
        'headers': [],
    }
    await Exchange(scope, None, send).fail(Failed.of(code))
    assert sent[0]['status'] >= 400
    assert sent[-1]['body'].startswith(b'{"error"')
