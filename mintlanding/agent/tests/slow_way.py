"""A way to an engine on which orders are held up and then go on."""

import asyncio

_CHUNK_BYTES = 1 << 16
_ORDER = b'POST '


class SlowWay:
    """Forwards connections; holds those that bring orders while told to.

    A held order goes on when it is released, so that later ones overtake it.
    """

    def __init__(self, address):
        self.is_holding = False
        self.held = []
        self._address = address
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{self.port}'
        return self

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def release(self):
        held, self.held = self.held, []
        for event in held:
            event.set()

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        first = await reader.read(_CHUNK_BYTES)
        if self.is_holding and first.startswith(_ORDER):
            event = asyncio.Event()
            self.held.append(event)
            await event.wait()
        source, sink = await asyncio.open_connection(*self._address)
        sink.write(first)
        await asyncio.gather(_forward(reader, sink), _forward(source, writer))


async def _forward(source, sink):
    try:
        while chunk := await source.read(_CHUNK_BYTES):
            sink.write(chunk)
    except OSError:
        sink.transport.abort()
    finally:
        sink.close()
