"""A server that answers before it has read a long request."""

import asyncio
import contextlib
import socket
import struct

_NO_LINGER = struct.pack('ii', 1, 0)
_READ_BYTES = 65536
# Seconds between the end of an answer and what follows it.
_PAUSE = 0.05

# Ways to end an answer that break it off amid the request.
BREAKING = [
    'reset',
    'reset after a pause',
    'close',
    'close after a pause',
    'end, close',
    'end, reset',
    'end, close after a pause',
]
# Ways that do not: the rest of the request is read.
ENDING = ['end, read on', 'end, read on after a pause']


class EarlyServer:
    """Answers without a length once it has read the start of a request.

    Requests whose start begins with one of `passed` go to `behind` instead.
    """

    def __init__(self, body, ending, behind=None, passed=()):
        self.body = body
        self.ending = ending
        self.answers = 0
        self._behind = behind
        self._passed = passed
        self._tasks = set()

    async def __aenter__(self):
        self._sock = socket.create_server(('127.0.0.1', 0))
        self._sock.setblocking(False)
        self.address = self._sock.getsockname()
        self._add(self._accept())
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._sock.close()

    def _add(self, served):
        self._tasks.add(asyncio.ensure_future(served))

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(self._sock)
            conn.setblocking(False)
            self._add(self._serve(conn))

    async def _serve(self, conn):
        loop = asyncio.get_running_loop()
        with conn, contextlib.suppress(OSError):
            start = await loop.sock_recv(conn, 4096)
            if start.startswith(self._passed):
                await self._pass_on(conn, start)
                return
            self.answers += 1
            await loop.sock_sendall(conn, _head(start) + self.body)
            await self._end(conn)

    async def _end(self, conn):
        if self.ending.startswith('end'):
            conn.shutdown(socket.SHUT_WR)
        if self.ending.endswith('stay'):
            await asyncio.sleep(30)
        if self.ending.endswith('pause'):
            await asyncio.sleep(_PAUSE)
        if 'reset' in self.ending:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        if 'read on' in self.ending:
            loop = asyncio.get_running_loop()
            while await loop.sock_recv(conn, _READ_BYTES):
                await asyncio.sleep(0)

    async def _pass_on(self, conn, start):
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection(*self._behind)
        back = asyncio.ensure_future(_copy(reader, conn))
        try:
            while start:
                writer.write(start)
                start = await loop.sock_recv(conn, _READ_BYTES)
        finally:
            back.cancel()
            writer.close()


async def _copy(reader, conn):
    while chunk := await reader.read(_READ_BYTES):
        await asyncio.get_running_loop().sock_sendall(conn, chunk)


def _head(start):
    """Return the head of an answer to the request that starts so."""
    lines = start.split(b'\r\n\r\n')[0].split(b'\r\n')[1:]
    ids = [each for each in lines if each.lower().startswith(b'x-request-id:')]
    kind = b'Content-Type: text/event-stream'
    fields = [b'X-Response-Stamp: s1', kind, *ids]
    return b'\r\n'.join((b'HTTP/1.1 200 OK', *fields, b'', b''))
