"""A loopback proxy that delays, drops, refuses or resets connections."""

import asyncio
import socket
import struct
from enum import StrEnum

from mintlanding.core.tests.ports import free_port


class Mode(StrEnum):
    """What the proxy does to bytes and to new connections.

    `silent` drops all bytes, `one_way` those from the upstream address.
    """

    passing = 'passing'
    delaying = 'delaying'
    refusing = 'refusing'
    silent = 'silent'
    one_way = 'one_way'


class Proxy:
    """Forwards connections to one address, subject to its mode."""

    DELAY_SECONDS = 0.1
    _CHUNK_BYTES = 1 << 16

    def __init__(self, address):
        self.mode = Mode.passing
        self._address = address
        self._tasks = set()
        self._writers = set()

    async def start(self):
        """Listen on a port that nobody else is given while it is closed."""
        await self.listen(free_port())
        self.address = self._server.sockets[0].getsockname()
        return self

    async def listen(self, port):
        """Accept connections on a port."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', port
        )

    def refuse(self):
        """Refuse connections, as after the end of a process."""
        self._server.close()
        self._close_connections()

    def reset(self):
        """Reset all open connections.

        A plain close would look like the end of a response without length.
        """
        for writer in tuple(self._writers):
            _close_with_reset(writer)

    def _close_connections(self):
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        self._close_connections()
        for task in tuple(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer):
        if self.mode is Mode.refusing:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(*self._address)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        for source, sink, is_response in (
            (reader, upstream[1], False),
            (upstream[0], writer, True),
        ):
            task = asyncio.create_task(self._forward(source, sink, is_response))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, source, sink, is_response):
        try:
            while chunk := await source.read(self._CHUNK_BYTES):
                if self.mode is Mode.delaying:
                    await asyncio.sleep(self.DELAY_SECONDS)
                is_cut = self.mode is Mode.one_way and is_response
                if self.mode is not Mode.silent and not is_cut:
                    sink.write(chunk)
        except OSError:
            # Reset the other side as well, as a router does.
            sink.transport.abort()
        finally:
            self._writers.discard(sink)
            sink.close()


def _close_with_reset(writer):
    connection = writer.get_extra_info('socket')
    if connection is not None and connection.fileno() >= 0:
        no_linger = struct.pack('ii', 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()
