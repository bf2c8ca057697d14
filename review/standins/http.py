"""A minimal HTTP/1.1 server and client."""

import asyncio
import contextlib
import json
import os
import socket
from dataclasses import dataclass, field

REASONS = {
    200: 'OK',
    202: 'Accepted',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


@dataclass
class Request:
    """One request; headers by lower-case name."""

    method: str
    target: str
    headers: dict
    body: bytes
    writer: asyncio.StreamWriter

    def header(self, name):
        return self.headers.get(name, '')


@dataclass
class Response:
    """One response with its whole body."""

    status: int = 200
    headers: dict = field(default_factory=dict)
    body: bytes = b''

    @classmethod
    def json(cls, status, value, headers=None):
        head = {'Content-Type': 'application/json', **(headers or {})}
        return cls(status, head, json.dumps(value).encode())


def head_bytes(status, headers):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


async def read_head(reader):
    """Return the first line and the headers, None at the end of the input."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, separator, text = line.partition(':')
        if separator:
            headers.setdefault(name.strip().lower(), text.strip())
    return first, headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        body = b''
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get('content-length') or 0))


class Server:
    """Serve requests one after the other on each connection."""

    def __init__(self, handler, host, port=0):
        self.handler = handler
        self.host, self.port = host, port
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """Refuse connections and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        set_nodelay(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(' ', 2)
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body, writer)
                response = await self.handler(request)
                if response is not None:
                    length = {'Content-Length': len(response.body)}
                    full = {**response.headers, **length}
                    writer.write(head_bytes(response.status, full))
                    writer.write(response.body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


@dataclass
class Answer:
    """What a client got; status 0 without a complete head."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False


def request_bytes(method, target, headers, body=b''):
    lines = [f'{method} {target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def read_answer(reader):
    answer = Answer()
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
        head = await read_head(reader)
        if head is None:
            return answer
        answer.status = int(head[0].split()[1])
        answer.headers = head[1]
        answer.body = await read_body(reader, head[1])
        answer.is_whole = True
    return answer


async def ask(address, payload, seconds=10):
    """Send one request on a new connection and return the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            set_nodelay(writer)
            writer.write(payload)
            answer = await read_answer(reader)
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


def set_nodelay(writer):
    sock = writer.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def free_range(host, count):
    """Return the first of some free ports in a row.

    Runs at the same time begin to look at different ports.
    """
    places = 8000 // count
    for place in range(places):
        first = 21000 + (place + os.getpid()) % places * count
        socks = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                socks.append(sock)
                sock.bind((host, port))
        except OSError:
            continue
        else:
            return first
        finally:
            for each in socks:
                each.close()
    raise OSError('no free ports in a row')
