"""A loopback proxy that delays, drops, refuses or resets connections."""

import asyncio
import contextlib
import random
import socket
import struct
import time
from dataclasses import dataclass
from enum import StrEnum

from mintlanding.core.tests.ports import free_port
from mintlanding.platform.tests.order_proxy import deliver, is_order


class Mode(StrEnum):
    """What the proxy does to bytes and to new connections.

    `silent` drops all bytes, `one_way` those from the upstream address.
    """

    passing = 'passing'
    delaying = 'delaying'
    refusing = 'refusing'
    silent = 'silent'
    one_way = 'one_way'


class NewConnections(StrEnum):
    """What a cut path does to new connections."""

    hang = 'hang'
    refuse = 'refuse'
    reset = 'reset'


class OldConnections(StrEnum):
    """What a cut path does to the connections that were open before."""

    reset = 'reset'
    silent = 'silent'
    live_on = 'live_on'


@dataclass(eq=False)
class LateOrders:
    """Shares of the orders on a path that come late, and that come twice."""

    rnd: random.Random
    late_share: float
    double_share: float
    least_seconds: float = 0.2
    most_seconds: float = 1.6
    # An order that a slow machine holds back for longer is lost. This is less
    # than the wait between the orders of two holders.
    lost_after: float = 3.0

    def draw(self):
        """Return whether an order passes now, and the delay of a late one.

        The delay is 0 if nothing comes later.
        """
        number = self.rnd.random()
        if number >= self.late_share + self.double_share:
            return True, 0
        delay = self.rnd.uniform(self.least_seconds, self.most_seconds)
        return number >= self.late_share, delay


class Proxy:
    """Forwards connections to one address, subject to its mode."""

    DELAY_SECONDS = 0.1
    _CHUNK_BYTES = 1 << 16

    def __init__(self, address, host='127.0.0.1'):
        self.mode = Mode.passing
        # What happens to orders; the last one counts.
        self.late_orders = []
        self._address = address
        self._host = host
        self._new = self._old = None
        # Listener without room, and the connection that takes its room.
        self._full = ()
        self._tasks = set()
        self._writers = set()

    async def start(self, port=None):
        """Listen on a port, by default one that nobody else is given."""
        await self._listen(free_port() if port is None else port)
        self.address = self._server.sockets[0].getsockname()
        return self

    async def listen(self):
        """Accept connections again, unless new ones are cut."""
        if self._new in {None, NewConnections.reset}:
            await self._listen(self.address[1])

    async def cut(self, new, old):
        """Cut the path until it is healed."""
        self._new, self._old = new, old
        if old is OldConnections.reset:
            self.reset()
        if new is not NewConnections.reset:
            self._server.close()
        if new is NewConnections.hang:
            self._full = _listen_without_room(self.address)

    async def heal(self):
        """Pass everything on again; bytes that were dropped end connections."""
        new, old = self._new, self._old
        self._new = self._old = None
        if old is OldConnections.silent:
            self.reset()
        for each in self._full:
            each.close()
        self._full = ()
        if new is not NewConnections.reset and self._is_up:
            await self.listen()

    def refuse(self):
        """Refuse connections, as after the end of a process."""
        self._is_up = False
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

    async def _listen(self, port):
        self._is_up = True
        self._server = await asyncio.start_server(
            self._accept, self._host, port
        )

    async def _accept(self, reader, writer):
        if self._new is NewConnections.reset:
            _close_with_reset(writer)
            return
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
            self._begin(self._forward(source, sink, is_response))

    def _begin(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, source, sink, is_response):
        try:
            has_gap = await self._forward_bytes(source, sink, is_response)
        except OSError:
            # Reset the other side as well, as a router does.
            sink.transport.abort()
            has_gap = False
        if has_gap:
            # No end arrives after bytes that did not; a reset follows.
            return
        self._writers.discard(sink)
        sink.close()

    async def _forward_bytes(self, source, sink, is_response):
        """Pass bytes on until they end; return whether some were dropped."""
        has_gap = False
        while chunk := await source.read(self._CHUNK_BYTES):
            if self.mode is Mode.delaying:
                await asyncio.sleep(self.DELAY_SECONDS)
            if self._is_dropped(is_response):
                has_gap = True
            elif is_response or self._passes_now(chunk):
                sink.write(chunk)
        return has_gap or self._is_dropped(is_response)

    def _passes_now(self, chunk):
        """Tell whether bytes for the upstream pass; a late order comes later."""
        if not self.late_orders or not is_order(chunk):
            return True
        late = self.late_orders[-1]
        passes, delay = late.draw()
        if delay:
            self._begin(self._deliver_later(chunk, delay, late.lost_after))
        return passes

    async def _deliver_later(self, payload, delay, lost_after):
        sent_at = time.monotonic()
        await asyncio.sleep(delay)
        held = time.monotonic() - sent_at
        if held > lost_after:
            return
        # The upstream may be down by now.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await deliver(self._address, payload, held)

    def _is_dropped(self, is_response):
        """Tell whether bytes in one direction are dropped."""
        if self._old is OldConnections.silent:
            return True
        return self.mode is Mode.silent or (
            self.mode is Mode.one_way and is_response
        )


def _listen_without_room(address):
    """Return a listener to which connections hang, and one that fills it."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(0)
    filler = socket.socket()
    filler.setblocking(False)
    filler.connect_ex(address)
    return listener, filler


def _close_with_reset(writer):
    connection = writer.get_extra_info('socket')
    if connection is not None and connection.fileno() >= 0:
        no_linger = struct.pack('ii', 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()
