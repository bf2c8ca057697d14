"""A small HTTP/1.1 server and client for stand-ins, on asyncio streams."""

import asyncio
import contextlib
from dataclasses import dataclass, field

LINE_LIMIT = 1 << 20


@dataclass
class Request:
    """A request that was read whole; header names are lower case."""

    method: str
    target: str
    headers: dict
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    data: dict = field(default_factory=dict)

    def respond(self, status, headers=(), body=b'', reason='Status'):
        """Write a whole response."""
        lines = [f'HTTP/1.1 {status} {reason}']
        lines += [f'{name}: {value}' for name, value in headers]
        lines += [f'Content-Length: {len(body)}', '', '']
        self.writer.write('\r\n'.join(lines).encode('latin-1') + body)

    def begin(self, status, headers=()):
        """Write the head of a chunked response."""
        lines = [f'HTTP/1.1 {status} OK']
        lines += [f'{name}: {value}' for name, value in headers]
        lines += ['Transfer-Encoding: chunked', '', '']
        self.writer.write('\r\n'.join(lines).encode('latin-1'))

    def chunk(self, data):
        """Write a chunk."""
        self.writer.write(b'%x\r\n%b\r\n' % (len(data), data))

    def end(self):
        """End a chunked response."""
        self.writer.write(b'0\r\n\r\n')

    @property
    def is_gone(self):
        """Tell whether the peer has closed its connection."""
        return self.reader.at_eof() or self.writer.is_closing()


def parse_head(raw):
    """Return the first line and the headers of a head."""
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, sep, value = line.partition(':')
        if sep:
            headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def read_chunked(reader):
    """Return a chunked body."""
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        if not size:
            await reader.readuntil(b'\r\n')
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader, writer):
    """Return the next request, None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
        first, headers = parse_head(raw)
        method, target, _ = first.split(' ', 2)
        body = b''
        if 'chunked' in headers.get('transfer-encoding', '').lower():
            body = await read_chunked(reader)
        elif headers.get('content-length'):
            body = await reader.readexactly(int(headers['content-length']))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body, reader, writer)


class Server:
    """Serves each connection's requests in order with a coroutine."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.address = None
        self._server = None

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=LINE_LIMIT, backlog=1024
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    def stop(self):
        """Stop listening and close all connections at once."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                req = await read_request(reader, writer)
                if req is None:
                    return
                task = asyncio.ensure_future(self.handler(req))
                await task
                with contextlib.suppress(ConnectionError):
                    await writer.drain()
                if writer.is_closing():
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass
class Response:
    """What came back: `is_whole` tells whether the response was complete."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    error: str = ''


async def read_response(reader, response):
    """Read a response into `response`; raise when it breaks off."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, response.headers = parse_head(raw)
    response.status = int(first.split()[1])
    headers = response.headers
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            if not size:
                await reader.readuntil(b'\r\n')
                break
            response.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif headers.get('content-length'):
        size = int(headers['content-length'])
        response.body += await reader.readexactly(size)
    response.is_whole = True


class Connection:
    """A consumer's connection, kept for several requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.is_open = True

    @classmethod
    async def open(cls, address, seconds=1.0):
        async with asyncio.timeout(seconds):
            return cls(
                *await asyncio.open_connection(*address, limit=LINE_LIMIT)
            )

    async def ask(self, method, target, headers, body=b'', seconds=10.0):
        """Send a request and return the response, whole or not."""
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        payload = '\r\n'.join((*lines, '', '')).encode('latin-1') + body
        response = Response()
        try:
            self.writer.write(payload)
            async with asyncio.timeout(seconds):
                await read_response(self.reader, response)
        except (asyncio.IncompleteReadError, ConnectionError) as exc:
            response.error = type(exc).__name__
        except TimeoutError:
            response.error = 'timeout'
        said = response.headers.get('connection', '').lower()
        if not response.is_whole or 'close' in said:
            self.close()
        return response

    def close(self):
        self.is_open = False
        self.writer.close()
