"""Callers of a soak: the requests that they send and the outcomes."""

import asyncio
import random
import time
from dataclasses import dataclass, field, replace

ROUTES = {
    'live': b'/lohu930/x',
    'batch': b'/pufi791/x',
    'order': b'/puxa403/x',
    'lookup': b'/cufi504/x',
}
EVENTS = 3
PAUSE_SECONDS = 0.03
# Adapters that are asked for: fewer than the engines have room for, and more
# while orders come late, so that there are orders.
ADAPTERS = 7
MANY_ADAPTERS = 20
# Pause between requests for many adapters, and how many of them may wait.
ASKING_PAUSE_SECONDS = 0.05
MOST_ASKING = 60
# Share of requests that crash engines, while there are any.
CRASHING_SHARE = 0.15
RESPONSE_SECONDS = 8
# How often a caller takes a broken stream up again, and after which pause.
MAX_RESUMPTIONS = 4
RESUMPTION_PAUSE_SECONDS = 0.4
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


@dataclass(frozen=True)
class FirstTry:
    """The first attempt of a request, when it was sent and when it ended."""

    instance: object
    sent_at: float
    ended_at: float
    is_served: bool


@dataclass
class Callers:
    """Callers that send random requests until `is_stopped` is set."""

    world: object
    rnd: random.Random
    outcomes: list = field(default_factory=list)
    first_tries: list = field(default_factory=list)
    sent: int = 0
    is_stopped: bool = False

    @property
    def sent_to(self):
        """Return the instance that each request was sent to."""
        return self.world.sent_to

    async def run(self, callers=6):
        """Send requests from several callers at once until stopped."""
        await asyncio.gather(
            self._ask_for_many_adapters(),
            *(self._send_until_stopped() for _ in range(callers)),
        )

    async def is_served(self, kind):
        """Send one request; return whether it was served in full."""
        outcome = await self._send_request(
            kind, self.rnd.choice(self.world.instances)
        )
        return outcome.status == 200 and outcome.is_whole

    async def _send_until_stopped(self):
        while not self.is_stopped:
            if self.world.crash_part and self.rnd.random() < CRASHING_SHARE:
                await self._send_crashing()
                continue
            if self.world.crash_body and self.rnd.random() < CRASHING_SHARE:
                await self._send_deadly()
                continue
            kind = self.rnd.choice(list(ROUTES))
            instance = self.rnd.choice(self.world.instances)
            outcome = await self._try_first(kind, instance)
            if kind == 'batch' and not outcome.is_whole:
                outcome = await self._resume(outcome)
            self.outcomes.append(outcome)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _ask_for_many_adapters(self):
        """Let orders be due while they come late.

        Unlike the callers, this does not wait for suspended instances.
        """
        asking = set()
        while not self.is_stopped:
            if self.world.are_orders_late and len(asking) < MOST_ASKING:
                task = asyncio.create_task(self._ask_for_one_of_many())
                asking.add(task)
                task.add_done_callback(asking.discard)
            await asyncio.sleep(ASKING_PAUSE_SECONDS)
        await asyncio.gather(*asking)

    async def _ask_for_one_of_many(self):
        instance = self.rnd.choice(self.world.instances)
        outcome = await self._send_request(
            'live', instance, adapters=MANY_ADAPTERS
        )
        self.outcomes.append(outcome)

    async def _try_first(self, kind, instance):
        """Send a request and record how its first attempt ended."""
        sent_at = time.monotonic()
        outcome = await self._send_request(kind, instance)
        is_served = outcome.status == 200 and outcome.is_whole
        self.first_tries.append(
            FirstTry(instance, sent_at, time.monotonic(), is_served)
        )
        return outcome

    async def _send_crashing(self):
        """Send a request that crashes engines; its outcome is not judged."""
        prefix = b'X-Prompt-Prefix: aa01:60,%b:30,%x:10' % (
            self.world.crash_part,
            self.sent,
        )
        await self._send_request(
            self.rnd.choice(('live', 'batch')),
            self.rnd.choice(self.world.instances),
            (prefix,),
        )
        await asyncio.sleep(PAUSE_SECONDS)

    async def _send_deadly(self):
        """Send the request that crashes targets; its outcome is not judged."""
        await self._send_request(
            self.world.crash_kind,
            self.rnd.choice(self.world.instances),
            body=self.world.crash_body,
        )
        await asyncio.sleep(PAUSE_SECONDS)

    async def _resume(self, broken):
        """Resume a broken stream at any instance, several times if needed."""
        outcome = broken
        for _ in range(MAX_RESUMPTIONS):
            events, separator, _ = outcome.body.rpartition(b'\n\n')
            if not separator:
                return outcome
            received = events + separator
            resumed = await self._send_request(
                broken.kind,
                self.rnd.choice(self.world.instances),
                (
                    b'Last-Event-Id: %d' % received.count(b'id: '),
                    b'Resumes: ' + broken.request.encode(),
                ),
            )
            if resumed.status != 200:
                received, resumed = outcome.body, replace(resumed, body=b'')
            outcome = replace(resumed, body=received + resumed.body)
            if outcome.status == 200 and outcome.is_whole:
                return outcome
            await asyncio.sleep(RESUMPTION_PAUSE_SECONDS)
        return outcome

    async def _send_request(
        self, kind, instance, extra=(), body=b'', adapters=ADAPTERS
    ):
        self.sent += 1
        request = f'r{self.sent}'
        self.sent_to[request] = instance
        if not any(line.startswith(b'X-Prompt-Prefix') for line in extra):
            part = self.rnd.randrange(20)
            prefix = b'X-Prompt-Prefix: aa01:60,cc%02d:30,%x:10'
            extra = (*extra, prefix % (part, self.sent))
        try:
            async with asyncio.timeout(RESPONSE_SECONDS):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1',
                    instance.front,
                )
                writer.write(
                    self._encode_request(kind, request, extra, body, adapters)
                )
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

    def _encode_request(self, kind, request, extra, body, adapters):
        adapter = self.rnd.randrange(1, adapters + 1)
        method = b'GET' if kind == 'lookup' else b'POST'
        if kind != 'lookup':
            body = body or request.encode()
        lines = [
            b'%b %b HTTP/1.1' % (method, ROUTES[kind]),
            b'Host: ficu95.example',
            b'X-Request-Id: %b' % request.encode(),
            b'X-Model: daka/a%d' % adapter,
            b'X-Token-Counts: 100,10',
            b'X-Deadline-Ms: 2500',
            b'Authorization: Token key-1',
            b'Content-Length: %d' % len(body),
            *extra,
        ]
        return b'\r\n'.join((*lines, b'', body))
