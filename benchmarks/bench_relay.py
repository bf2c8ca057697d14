"""Measure the processor time of the relay for each streamed chunk.

Run as `python -m benchmarks.bench_relay [streams] [tokens]`. The server that
writes the chunks runs in the same process. The table therefore also gives the
time of the server with a plain read of the same bytes, which is subtracted
from the other columns.
"""

import asyncio
import sys
import time

from mintlanding.core.http_client import HttpClient, HttpRequest
from mintlanding.engines.client import EngineClient
from mintlanding.engines.models import GenerateRequest
from mintlanding.placement.messages import AdapterRef

_REF = AdapterRef('tiles', '3')
_EVENT = (
    'id: {number}\ndata: {{"id":"{name}","object":"chat.completion.chunk",'
    '"created":0,"model":"tiles@3","choices":[{{"index":0,'
    '"finish_reason":null,"delta":{{"content":"token "}}}}]}}\n\n'
)
_HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)


def _chunk(raw):
    return b'%x\r\n%b\r\n' % (len(raw), raw)


def _server(tokens, burst):
    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        name = 'r'
        for line in head.decode().split('\r\n'):
            if line.lower().startswith('x-request-id:'):
                name = line.partition(':')[2].strip()
        writer.write(_HEAD)
        for number in range(1, tokens + 1):
            event = _EVENT.format(number=number, name=name).encode()
            writer.write(_chunk(event))
            if number % burst == 0:
                await asyncio.sleep(0)
        writer.write(_chunk(b'data: [DONE]\n\n') + b'0\r\n\r\n')
        await writer.drain()
        writer.close()

    return serve


async def _read_plain(port, name):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(f'GET / HTTP/1.1\r\nx-request-id: {name}\r\n\r\n'.encode())
    while await reader.read(65536):
        pass
    writer.close()


async def _read_with_library(port, name):
    request = HttpRequest(
        'GET', f'http://127.0.0.1:{port}/', [('x-request-id', name)]
    )
    response = await HttpClient.from_config().open(request)
    async for _ in response.iter_chunks():
        pass
    response.close()


async def _read_through_relay(port, name):
    client = EngineClient.from_config(f'http://127.0.0.1:{port}')
    req = GenerateRequest(b'{}', '/v1/completions', _REF, name)
    outcome = await client.generate(req)
    async for _ in outcome.value.chunks():
        pass


async def _measure(read, port, streams):
    started = time.process_time()
    await asyncio.gather(*(read(port, f'r-{n}') for n in range(streams)))
    return time.process_time() - started


async def main(streams, tokens):
    """Print the processor time per chunk in microseconds."""
    print('together  read  library  relay  (us a chunk above plain read)')
    for burst in (1, 8):
        server = await asyncio.start_server(
            _server(tokens, burst), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        chunks = streams * tokens
        times = []
        for read in (_read_plain, _read_with_library, _read_through_relay):
            best = min([await _measure(read, port, streams) for _ in range(7)])
            times.append(best / chunks * 1e6)
        plain, library, relay = times
        print(
            f'{burst:8} {plain:5.1f} {library - plain:8.1f}'
            f' {relay - plain:6.1f}',
        )
        server.close()


if __name__ == '__main__':
    asyncio.run(main(*(int(each) for each in sys.argv[1:] or ('40', '1000'))))
