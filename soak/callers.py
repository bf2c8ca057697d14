"""Callers of a soak: the requests that they send and the outcomes."""

import asyncio
import random
from dataclasses import dataclass, field

ROUTES = {
    'live': b'/lohu930/x',
    'batch': b'/pufi791/x',
    'order': b'/puxa403/x',
    'lookup': b'/cufi504/x',
}
EVENTS = 3
PAUSE_SECONDS = 0.03
RESPONSE_SECONDS = 8
# Statuses that state that the request has not run and never will.
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True)
class Outcome:
    """One request and its response; status 0 means that none arrived."""

    request: str
    kind: str
    status: int
    body: bytes = b''
    is_whole: bool = False


@dataclass
class Callers:
    """Callers that send random requests until `is_stopped` is set."""

    world: object
    rnd: random.Random
    outcomes: list = field(default_factory=list)
    sent: int = 0
    is_stopped: bool = False

    async def run(self, callers=6):
        """Send requests from several callers at once until stopped."""
        await asyncio.gather(
            *(self._send_until_stopped() for _ in range(callers))
        )

    async def is_served(self, kind):
        """Send one request; return whether it was served in full."""
        outcome = await self._send_request(
            kind, self.rnd.choice(self.world.instances)
        )
        return outcome.status == 200 and outcome.is_whole

    async def _send_until_stopped(self):
        while not self.is_stopped:
            kind = self.rnd.choice(list(ROUTES))
            instance = self.rnd.choice(self.world.instances)
            self.outcomes.append(await self._send_request(kind, instance))
            await asyncio.sleep(PAUSE_SECONDS)

    async def _send_request(self, kind, instance):
        self.sent += 1
        request = f'r{self.sent}'
        try:
            async with asyncio.timeout(RESPONSE_SECONDS):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1',
                    instance.front,
                )
                writer.write(self._encode_request(kind, request))
                return await self._read(reader, writer, request, kind)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return Outcome(request, kind, 0)

    async def _read(self, reader, writer, request, kind):
        status, body = 0, b''
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
            status = int(head.split()[1])
            if b'transfer-encoding: chunked' not in head:
                length = head.partition(b'content-length: ')[2].split()[0]
                body = await reader.readexactly(int(length))
                return Outcome(request, kind, status, body, is_whole=True)
            while size := int(await reader.readuntil(b'\n'), 16):
                body += await reader.readexactly(size)
                await reader.readuntil(b'\n')
        except (OSError, asyncio.IncompleteReadError):
            return Outcome(request, kind, status, body)
        finally:
            writer.close()
        return Outcome(request, kind, status, body, is_whole=True)

    def _encode_request(self, kind, request):
        adapter = self.rnd.randrange(1, 8)
        method = b'GET' if kind == 'lookup' else b'POST'
        body = b'' if kind == 'lookup' else request.encode()
        lines = [
            b'%b %b HTTP/1.1' % (method, ROUTES[kind]),
            b'Host: ficu95.example',
            b'X-Request-Id: %b' % request.encode(),
            b'X-Model: daka/a%d' % adapter,
            b'X-Token-Counts: 100,10',
            b'X-Deadline-Ms: 2500',
            b'Authorization: Token key-1',
            b'Content-Length: %d' % len(body),
        ]
        return b'\r\n'.join((*lines, b'', body))
