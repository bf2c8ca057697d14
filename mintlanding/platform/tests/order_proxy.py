"""A way to a target on which orders can be held back and arrive later."""

import asyncio

from mintlanding.platform.tests.samples import encode
from mintlanding.platform.tests.standins import TargetStandin

_CHUNK_BYTES = 1 << 16
_ORDER = b'POST /v1/order '
# Header of an order that was held back: for how many seconds.
HELD_HEADER = b'x-held-seconds'


def is_order(chunk):
    """Tell whether bytes from a sender are an order."""
    return chunk.startswith(_ORDER)


async def deliver(address, payload, held=0.0):
    """Let an order arrive, after some seconds; return once it is answered.

    The connection is not that of its sender, who may have closed it.
    """
    line, separator, rest = payload.partition(b'\r\n')
    header = b'%b: %.3f\r\n' % (HELD_HEADER, held)
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(line + separator + header + rest)
        await reader.readuntil(b'\r\n\r\n')
    finally:
        writer.close()


class OrderProxy:
    """Forwards connections to a target; holds orders while told to.

    A held order is one whose sender gets no answer. It stays on its way, also
    after the sender has closed the connection, until it is released.
    """

    def __init__(self, address):
        self.is_holding = False
        # Bytes of the held orders.
        self.held = []
        self._address = address
        self._tasks = set()
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def release(self):
        """Let the held orders arrive; return once they are answered."""
        held, self.held = self.held, []
        for payload in held:
            await deliver(self._address, payload)

    async def _accept(self, reader, writer):
        upstream = await asyncio.open_connection(*self._address)
        self._writers |= {writer, upstream[1]}
        for source, sink in ((reader, upstream[1]), (upstream[0], writer)):
            task = asyncio.create_task(self._forward(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, source, sink):
        try:
            while chunk := await source.read(_CHUNK_BYTES):
                if self.is_holding and is_order(chunk):
                    self.held.append(chunk)
                else:
                    sink.write(chunk)
        except OSError:
            sink.transport.abort()
        finally:
            self._writers.discard(sink)
            sink.close()


class ProxiedTarget(TargetStandin):
    """A target whose entry names a proxy."""

    async def start(self):
        await super().start()
        self.proxy = await OrderProxy(self.address).start()
        return self

    def entry(self, state='ready'):
        own = encode(f'127.0.0.1:{self.server.port}')
        proxy = encode(f'127.0.0.1:{self.proxy.port}')
        return super().entry(state).replace(own, proxy)

    def stop(self):
        self.proxy.stop()
        super().stop()
