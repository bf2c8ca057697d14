"""Callers on kept connections late in a planned stop, and callers that leave.

Both record what they saw; what reached targets is in the targets' records.
"""

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass

from soak.callers import ROUTES

DEADLINE_SECONDS = 5.0
# Seconds of an event of the streams asked for, and tokens in it.
EVENT_SECONDS = 0.05
EVENT_TOKENS = 4
# Events of a stream that keeps its connection busy into the stop, of a usual
# stream and of a large one.
BRIDGE_EVENTS = (40, 95)
USUAL_EVENTS = (2, 12)
LARGE_EVENTS = (20, 95)
# Usual streams on each connection before the stop.
USUAL_STREAMS = 4
# Seconds after which callers leave.
PATIENCE_SECONDS = (0.05, 0.6)

_numbers = itertools.count(1)


@dataclass
class LateStream:
    """A stream asked for in a planned stop.

    `disruption` is that of the stop itself. Without an answer `status` is 0.
    `is_last`: the answer announced the close of its connection.
    """

    request: str
    instance: object
    disruption: list
    sent_at: float
    ended_at: float = float('inf')
    status: int = 0
    is_whole: bool = False
    is_last: bool = False

    @property
    def used(self):
        """Return the seconds until it ended."""
        return self.ended_at - self.sent_at


@dataclass(frozen=True)
class Departure:
    """A request whose caller has left without an answer."""

    request: str
    kind: str
    instance: object
    left_at: float


class KeptConnection:
    """A connection on which one stream follows another."""

    def __init__(self, world, instance):
        self._world = world
        self._instance = instance
        self._reader = self._writer = None

    async def open(self):
        """Connect to the instance."""
        self._reader, self._writer = await asyncio.open_connection(
            '127.0.0.1', self._instance.front
        )

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def stream(self, events, disruption=None):
        """Ask for a stream; return its record."""
        request = f'late{next(_numbers)}'
        self._world.sent_to[request] = self._instance
        found = LateStream(
            request, self._instance, disruption, time.monotonic()
        )
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 1):
                self._writer.write(_encode('live', request, events))
                await self._read(found)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        found.ended_at = time.monotonic()
        return found

    async def _read(self, found):
        head = (await self._reader.readuntil(b'\r\n\r\n')).lower()
        found.status = int(head.split()[1])
        found.is_last = b'connection: close' in head
        if b'transfer-encoding: chunked' not in head:
            length = head.partition(b'content-length: ')[2].split()[0]
            await self._reader.readexactly(int(length))
            found.is_whole = True
            return
        while size := int(await self._reader.readuntil(b'\n'), 16):
            await self._reader.readexactly(size)
            await self._reader.readuntil(b'\n')
        await self._reader.readuntil(b'\n')
        found.is_whole = True


async def stream_into_stop(world, instance, rnd, stopping):
    """Stream on one connection from before a stop until it is closed.

    `stopping` is set to the disruption of the stop when that begins.
    """
    conn = KeptConnection(world, instance)
    with contextlib.suppress(OSError):
        await conn.open()
        for _ in range(USUAL_STREAMS):
            await conn.stream(rnd.randint(*USUAL_EVENTS))
        await asyncio.sleep(rnd.uniform(0, 0.5))
        bridge = asyncio.create_task(conn.stream(rnd.randint(*BRIDGE_EVENTS)))
        disruption = await stopping
        is_open = (await bridge).is_whole
        while is_open:
            sizes = rnd.choice((USUAL_EVENTS, LARGE_EVENTS))
            found = await conn.stream(rnd.randint(*sizes), disruption)
            world.late_streams.append(found)
            is_open = found.is_whole and not found.is_last
    conn.close()


async def leave_early(world, instance, rnd, kind):
    """Send a request, and leave unless it is answered in a short time."""
    request = f'gone{next(_numbers)}'
    world.sent_to[request] = instance
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', instance.front
        )
        writer.write(_encode(kind, request, 1))
        try:
            async with asyncio.timeout(rnd.uniform(*PATIENCE_SECONDS)):
                await reader.readuntil(b'\r\n\r\n')
        except TimeoutError:
            world.departures.append(
                Departure(request, kind, instance, time.monotonic())
            )
        except asyncio.IncompleteReadError:
            pass
        writer.close()


def _encode(kind, request, events):
    lines = [
        b'POST %b HTTP/1.1' % ROUTES[kind],
        b'Host: ficu95.example',
        b'X-Request-Id: %b' % request.encode(),
        b'X-Model: daka/a1',
        b'X-Token-Counts: 100,%d' % (events * EVENT_TOKENS),
        b'X-Events: %d,%g' % (events, EVENT_SECONDS),
        b'X-Deadline-Ms: %d' % (DEADLINE_SECONDS * 1000),
        b'Authorization: Token key-1',
        b'Content-Length: 1',
    ]
    return b'\r\n'.join((*lines, b'', b'x'))
