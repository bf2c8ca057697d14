"""Fakes of the platform's store and targets, as far as tests need them."""

import asyncio
import base64
import contextlib
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import msgspec

from mintlanding.core.logs import Logger
from mintlanding.core.tests.ports import free_port
from mintlanding.http1.models import MessageLimits
from mintlanding.http1.server import CallerServer, head_bytes
from mintlanding.platform.tests.samples import ENTRY, encode

JSON_HEADERS = [(b'content-type', b'application/json')]
STAMP = b'x-response-stamp'


@dataclass
class StoreFaults:
    """Faults of the store: lost responses, refused calls, lost history."""

    lose_answers: int = 0
    refuse: bool = False
    silent: bool = False
    oldest_revision: int = 0
    cut_watches: bool = False
    # A response is sent again on its connection before the next one.
    repeat_answers: bool = False


class StoreStandin:
    """Serves keys, leases and a history of changes over HTTP."""

    def __init__(self):
        self.faults = StoreFaults()
        self.era = 1
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.calls = []
        # The last response by connection.
        self.answers = {}
        self.server = CallerServer(
            self.handle, MessageLimits(), Logger('store')
        )

    async def start(self):
        await self.server.start('127.0.0.1', free_port())
        self.address = ('127.0.0.1', self.server.port)
        return self

    def stop(self):
        self.server.stop()

    def put(self, key, content, lease=0):
        """Write a key as an operator or a target would."""
        self.revision += 1
        self.items[key] = (content, self.revision, lease)
        self.history.append((self.revision, key, content, lease))
        self._wake()

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None, 0))
            self._wake()

    def revoke_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, held in self.items.items() if held[2] == lease]:
            self.remove(key)

    def copy(self):
        """Return what a copy made now holds."""
        return (
            self.revision,
            dict(self.items),
            list(self.history),
            dict(self.leases),
        )

    def restore(self, saved):
        """Return from a copy, in a new era; what was written since is lost."""
        self.revision, items, history, leases = saved
        self.items, self.history = dict(items), list(history)
        self.leases = dict(leases)
        self.era += 1
        self._wake()

    async def handle(self, req):
        """Respond to a call."""
        parts = urlsplit(req.target.decode())
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        self._expire()
        if self.faults.silent:
            await asyncio.sleep(30)
        if self.faults.refuse:
            req.respond(503, [], b'')
            return
        name = parts.path.removeprefix('/v1/').partition('/')[0]
        handler = getattr(self, '_' + name.replace('-', '_'))
        status, response = await handler(parts, query, req.body)
        if self.faults.lose_answers and req.method != b'GET':
            self.faults.lose_answers -= 1
            req.abort()
            return
        body = msgspec.json.encode(response)
        if self.faults.repeat_answers:
            req.conn.write(self.answers.get(req.conn, b''))
        headers = [(b'store-era', b'%d' % self.era)] if self.era else []
        length = (b'content-length', b'%d' % len(body))
        self.answers[req.conn] = head_bytes(status, [length, *headers]) + body
        req.respond(status, [*JSON_HEADERS, *headers], body)

    async def _kv_range(self, parts, query, body):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page = [self._item(key) for key in keys[:5]]
        more = len(keys) > 5
        response = {'items': page, 'truncated': more, 'as_of': self.revision}
        return 200, response

    async def _kv_watch(self, parts, query, body):
        after = int(query['after'])
        if after < self.faults.oldest_revision:
            return 410, {}
        wait = int(query['wait_ms']) / 1000
        # A change may come between the end of the time and the answer.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                while self.revision <= after:
                    await self.changed.wait()
        events = [
            self._event(*row)
            for row in self.history
            if row[0] > after and row[1].startswith(query.get('prefix', ''))
        ]
        return 200, {'events': events, 'as_of': self.revision}

    async def _kv_txn(self, parts, query, body):
        txn = msgspec.json.decode(body)
        for row in txn['expected']:
            held = self.items.get(row['key'])
            if (held[1] if held else 0) != row['rev']:
                return 412, {'items': []}
        for row in txn['set_keys']:
            if row['lease'] and row['lease'] not in self.leases:
                return 404, {}
        for row in txn['set_keys']:
            content = base64.b64decode(row['value'])
            self.put(row['key'], content, row['lease'])
        for key in txn['delete']:
            self.remove(key)
        return 200, {'rev': self.revision}

    async def _kv_lease(self, parts, query, body):
        seconds = msgspec.json.decode(body)['ttl_ms'] / 1000
        lease = 1000 + len(self.calls)
        self.leases[lease] = (seconds, self._now() + seconds)
        return 200, {'lease': lease, 'ttl_ms': seconds * 1000}

    async def _kv_keep(self, parts, query, body):
        lease = int(parts.path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        seconds, _ = self.leases[lease]
        self.leases[lease] = (seconds, self._now() + seconds)
        return 200, {'ttl_ms': seconds * 1000}

    async def _kv_lease_end(self, parts, query, body):
        self.revoke_lease(int(parts.path.rpartition('/')[2]))
        return 200, {}

    def _item(self, key):
        content, revision, lease = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'rev': revision,
            'create_rev': revision,
            'lease': lease,
        }

    def _event(self, revision, key, content, lease):
        if content is None:
            return {'key': key, 'rev': revision, 'removed': True}
        return {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'rev': revision,
            'create_rev': revision,
            'lease': lease,
        }

    def _expire(self):
        now = self._now()
        for lease in [k for k, held in self.leases.items() if held[1] <= now]:
            self.revoke_lease(lease)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _now(self):
        return asyncio.get_running_loop().time()


@dataclass(frozen=True)
class OddAnswer:
    """A response to a request that goes on with a stream."""

    status: int = 200
    media_type: bytes = b'text/event-stream'
    body: bytes = b''
    # 'length', 'chunked', or 'close' with the end of its connection.
    framing: str = 'length'
    signed: bool = True

    def send(self, req, headers):
        headers = [(b'content-type', self.media_type), *headers]
        if not self.signed:
            headers = [each for each in headers if each[0] != STAMP]
        if self.framing == 'chunked':
            req.begin(self.status, headers)
            if self.body:
                req.write(self.body)
            req.end()
        elif self.framing == 'close':
            write, end = _begin_unframed(req, headers, self.status)
            write(self.body)
            end()
        else:
            req.respond(self.status, headers, self.body)


@dataclass(frozen=True)
class StaleResponse:
    """A response that is written once more on its kept connection."""

    status: int = 503
    # It bears the id of the request before; without, it names none.
    is_named: bool = True
    # It comes with the answer to the next request, else before that runs.
    is_late: bool = False
    headers: tuple = ()

    def bytes_after(self, request_id):
        headers = [(b'content-length', b'0'), *self.headers]
        if self.is_named:
            headers.append((b'x-request-id', request_id))
        return head_bytes(self.status, headers)


@dataclass
class TargetFaults:
    """Faults of a target."""

    fail: int = 0
    lose_answers: int = 0
    # An answer is sent again on its connection before the one to the next call.
    repeat_answers: bool = False
    # The same for responses to orders.
    repeat_orders: bool = False
    shed: int = 0
    # Seconds before it turns such a request away.
    shed_delay: float = 0
    # The body of such a refusal never comes.
    shed_stalls: bool = False
    break_after: int = 0
    # Responses have neither length nor chunks and end with the connection.
    unframed: bool = False
    # Event after which the target crashes, without a reset of its connections.
    crash_after: int = 0
    # Event after which a stream brings single bytes and no further event.
    drip_after: int = 0
    # Event after which a stream pauses for a second.
    silent_after: int = 0
    mute: bool = False
    # Seconds after each event of a stream.
    event_pause: float = 0.005
    # Bodies of plain responses, or those of reports, never end.
    endless: bool = False
    # The same in an event of a stream.
    endless_event: bool = False
    endless_reports: bool = False
    conflicts: int = 0
    # Written before the answer to each but the first request on a connection.
    stale: StaleResponse | None = None
    # Share of the head of a response after which its connection is closed.
    broken_head: float = 0
    # What follows the version in the status lines of its responses.
    status_line: bytes = b''
    # Status of its responses without a body, 0 for others.
    bare_status: int = 0
    # Response to a request that goes on with a stream.
    on_resume: OddAnswer | None = None
    # Requests per second that its responses name as its limit.
    limit: float | None = None
    # Seconds of the pause that it asks for when it turns a request away.
    pause: float = 0
    # Its responses say that it leaves.
    leaving: bool = False
    # Requests that run at once and those that may wait for them; None for any.
    slots: int | None = None
    waiting_room: int = 0
    # Refusals per second for want of room that it bears, as its responses say;
    # with more of them it crashes.
    brittle: int | None = None
    # Load that its responses report; empty for none.
    load: bytes = b''
    # Part of a prompt under which the target crashes as it begins to write.
    crash_part: bytes = b''
    # Body of a request under which the target crashes.
    crash_body: bytes = b''
    # Seconds until it crashes under such a request.
    crash_delay: float = 0
    # Seconds until it runs again, as a new incarnation under its id.
    restart_after: float = 0.3


@dataclass
class TargetStandin:
    """A target: an engine if it has a model, else a plain one."""

    name: str
    service: str = 'engines'
    zone: str = 'z1'
    build: str = 'v1'
    events: int = 3
    # Data of each event.
    text: bytes = b'x'
    model: str = 'daka'
    places: int = 3
    delay: float = 0.0
    # How much longer it stays cold, in milliseconds.
    cold_ms: int = 0
    faults: TargetFaults = field(default_factory=TargetFaults)
    adapters: dict = field(default_factory=dict)
    runs: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    arrivals: int = 0
    # Times at which requests arrived, on the monotonic clock.
    arrived_at: list = field(default_factory=list)
    orders_taken: int = 0
    left: int = 0
    # Bytes of endless bodies that were sent.
    endless_bytes: int = 0
    crashes: int = 0
    last_answer: bytes = b''
    # Ids of the last requests that ran, by connection.
    last_ids: dict = field(default_factory=dict)
    stale_sent: int = 0
    # Statuses of the last responses to orders, by connection.
    last_orders: dict = field(default_factory=dict)
    most_adapters: int = 0
    is_down: bool = False
    # Requests with `crash_part` that arrived.
    crash_requests: int = 0
    # Times at which requests with `crash_body` arrived.
    crashed_at: list = field(default_factory=list)
    on_restart: Callable[['TargetStandin'], None] = lambda target: None
    # Requests that run or wait, and the times of refusals for want of room.
    held: int = 0
    full_at: list = field(default_factory=list)
    slot_freed: asyncio.Condition = field(default_factory=asyncio.Condition)
    running: int = 0
    # How often it crashed; requests of an earlier run hold nothing.
    runs_begun: int = 0

    async def start(self):
        self.server = CallerServer(
            self.handle,
            MessageLimits(),
            Logger('target'),
        )
        # Nobody else is given its port while it is down.
        await self.server.start('127.0.0.1', free_port())
        return self

    @property
    def address(self):
        return ('127.0.0.1', self.server.port)

    def stop(self):
        self.server.stop()

    async def crash(self, after=0):
        """Crash after some seconds, unless something else crashes it first."""
        await asyncio.sleep(after)
        if not self.is_down:
            await self.crash_now()

    async def crash_now(self):
        """Close everything and lose all state; start again a while later."""
        self.is_down = True
        port = self.server.port
        self.server.stop()
        self.crashes += 1
        await asyncio.sleep(self.faults.restart_after)
        self.adapters.clear()
        self.orders_taken = 0
        self.held = self.running = 0
        self.runs_begun += 1
        await self.server.start('127.0.0.1', port)
        self.is_down = False
        self.on_restart(self)

    @property
    def born(self):
        """Return the incarnation, which changes with each start."""
        return ENTRY['born'] + self.crashes

    def entry(self, state='ready'):
        """Return the entry that the target writes into the store."""
        models = [{'name': self.model, 'version': 1, 'adapters': []}]
        return encode(
            {
                **ENTRY,
                'service': self.service,
                'addr': f'127.0.0.1:{self.server.port}',
                'zone': self.zone,
                'version': self.build,
                'state': state,
                'slots': self.faults.slots or ENTRY['slots'],
                'seq': self.orders_taken,
                'born': self.born,
                'cold_ms': self.cold_ms,
                'models': models if self.model else [],
            },
        )

    async def handle(self, req):
        """Respond to an order, a request for a report or a caller's request."""
        if req.target == b'/v1/order':
            self._order(req)
            return
        if req.target == b'/v1/report':
            if self.faults.endless_reports:
                await self._send_endless(req, [])
            self._report(req)
            return
        if self.faults.slots is None:
            await self._run(req)
            return
        await self._run_in_room(req)

    async def _run_in_room(self, req):
        """Run a request in a slot, refuse it without room to wait for one."""
        room = self.faults.slots + self.faults.waiting_room
        if self.held >= room:
            self._refuse_full(req)
            return
        began = self.runs_begun
        self.held += 1
        has_slot = False
        try:
            async with self.slot_freed:
                await self.slot_freed.wait_for(
                    lambda: self.running < (self.faults.slots or math.inf)
                )
                self.running += 1
                has_slot = True
            await self._run(req)
        finally:
            if began == self.runs_begun:
                self.held -= 1
                self.running -= has_slot
            asyncio.ensure_future(self._free_slot())

    async def _free_slot(self):
        async with self.slot_freed:
            self.slot_freed.notify_all()

    def _refuse_full(self, req):
        now = time.monotonic()
        self.arrived_at.append(now)
        self.full_at.append(now)
        headers = [(b'x-not-run', b'full'), *self._own_headers()]
        req.respond(503, headers, b'')
        bears = self.faults.brittle
        recent = sum(at > now - 1 for at in self.full_at)
        if bears is not None and recent > bears and not self.is_down:
            self.is_down = True
            self.crashing = asyncio.ensure_future(self.crash_now())

    def _order(self, req):
        body = msgspec.json.decode(req.body)
        self.orders.append(body)
        if self.faults.repeat_orders and req.conn in self.last_orders:
            self.stale_sent += 1
            status = self.last_orders[req.conn]
            req.conn.write(head_bytes(status, [(b'content-length', b'0')]))
        self.last_orders[req.conn] = self._carry_out(body)
        req.respond(self.last_orders[req.conn], self._own_headers(), b'')

    def _carry_out(self, body):
        """Carry out an order; return the status of the response."""
        if self.faults.conflicts or body['expected'] != self.orders_taken:
            self.faults.conflicts = max(0, self.faults.conflicts - 1)
            return 409
        adapter = body['adapter']
        self.orders_taken += 1
        if body['op'] == 'unload':
            self.adapters.pop(adapter, None)
            return 200
        self.adapters[adapter] = body.get('version', 1)
        self.most_adapters = max(self.most_adapters, len(self.adapters))
        assert len(self.adapters) <= self.places
        return 202

    def _report(self, req):
        names = [f'{name}@{number}' for name, number in self.adapters.items()]
        report = {
            'seq': self.orders_taken,
            'born': self.born,
            'models': [{'name': self.model, 'version': 1, 'adapters': names}],
            'coming': [],
        }
        headers = [*JSON_HEADERS, *self._own_headers()]
        req.respond(200, headers, msgspec.json.encode(report))

    async def _run(self, req):
        self.arrivals += 1
        self.arrived_at.append(time.monotonic())
        faults = self.faults
        parts = req.get(b'x-prompt-prefix')
        is_crashing = faults.crash_part and faults.crash_part in parts
        self.crash_requests += bool(is_crashing)
        request_id = req.get(b'x-request-id')
        if req.get(b'x-expect-instance') != self.name.encode():
            self._refuse(req)
            return
        adapter = req.get(b'x-model').decode('latin-1').partition('/')[2]
        if self.model and adapter and adapter not in self.adapters:
            self._refuse(req)
            return
        if faults.shed:
            headers = [(b'x-not-run', b'1'), *self._own_headers()]
            faults.shed -= 1
            await asyncio.sleep(faults.shed_delay)
            if faults.shed_stalls:
                req.begin(503, headers)
                await asyncio.sleep(30)
            req.respond(503, headers, b'')
            return
        self.runs.append(
            (request_id.decode('latin-1'), req.body, dict(req.headers))
        )
        before = self.last_ids.get(req.conn)
        self.last_ids[req.conn] = request_id
        stale = faults.stale if before is not None else None
        if stale and not stale.is_late:
            self.stale_sent += 1
            req.conn.write(stale.bytes_after(before))
        headers = [
            (b'x-request-id', request_id),
            (STAMP, b's1'),
            *self._own_headers(),
        ]
        try:
            await asyncio.sleep(30 if faults.mute else self.delay)
        except asyncio.CancelledError:
            self.left += 1
            raise
        if stale and stale.is_late:
            self.stale_sent += 1
            req.conn.write(stale.bytes_after(before))
        if faults.crash_body and req.body == faults.crash_body:
            self.crashed_at.append(time.monotonic())
            self.crashing = asyncio.ensure_future(
                self.crash(after=faults.crash_delay)
            )
            await asyncio.sleep(faults.crash_delay + 1)
            return
        await self._respond(req, headers, is_crashing)

    def _own_headers(self):
        headers = []
        if self.faults.limit is not None:
            headers.append((b'server-limit', b'%g' % self.faults.limit))
        if self.faults.brittle is not None:
            headers.append((b'server-brittle', b'%d' % self.faults.brittle))
        if self.faults.load:
            headers.append((b'x-server-load', self.faults.load))
        if self.faults.leaving:
            headers.append((b'server-leaving', b'1'))
        if self.faults.shed and self.faults.pause:
            headers.append((b'retry-after', b'%g' % self.faults.pause))
        return headers

    def _refuse(self, req):
        headers = [(b'x-instance-id', self.name.encode()), *self._own_headers()]
        req.respond(421, headers, b'')

    async def _respond(self, req, headers, is_crashing):
        faults = self.faults
        if faults.fail:
            faults.fail -= 1
            req.respond(500, headers, b'failed')
        elif faults.lose_answers:
            faults.lose_answers -= 1
            req.abort()
        elif faults.endless:
            await self._send_endless(req, headers)
        elif faults.endless_event:
            kind = (b'content-type', b'text/event-stream')
            await self._send_endless(req, [kind, *headers])
        elif is_crashing:
            req.begin(200, [(b'content-type', b'text/event-stream'), *headers])
            await asyncio.sleep(0.01)
            self.crashing = asyncio.ensure_future(self.crash())
        elif faults.broken_head:
            _break_head(req, headers, faults.broken_head)
        elif faults.bare_status or faults.status_line:
            _send_odd_status(req, headers, faults)
        elif faults.on_resume and req.get(b'last-event-id'):
            faults.on_resume.send(req, headers)
        elif self.service == 'engines':
            await self._stream(req, headers)
        else:
            self._answer(req, headers)

    def _answer(self, req, headers):
        body = b'done ' + req.body
        if self.faults.repeat_answers:
            req.conn.write(self.last_answer)
        length = (b'content-length', b'%d' % len(body))
        self.last_answer = head_bytes(200, [*headers, length]) + body
        req.respond(200, headers, body)

    async def _send_endless(self, req, headers):
        req.begin(200, headers)
        while True:
            req.write(b'x' * 65536)
            self.endless_bytes += 65536
            await req.conn.drain()
            await asyncio.sleep(0)

    def _size(self, req):
        """Return the events of a stream and the seconds after each of them.

        A request may name its own in `X-Events`.
        """
        events, _, pause = req.get(b'x-events').partition(b',')
        if not events:
            return self.events, self.faults.event_pause
        return int(events), float(pause)

    async def _stream(self, req, headers):
        first = int(req.get(b'last-event-id') or b'0')
        events, pause = self._size(req)
        headers = [(b'content-type', b'text/event-stream'), *headers]
        write, end = req.write, req.end
        if self.faults.unframed:
            write, end = _begin_unframed(req, headers)
        else:
            req.begin(200, headers)
        for number in range(first + 1, events + 1):
            if self.faults.break_after and number > self.faults.break_after:
                self.faults.break_after = 0
                write(b'id: %d\nda' % number)
                await asyncio.sleep(0.01)
                if self.faults.unframed:
                    end()
                else:
                    req.abort()
                return
            write(b'id: %d\ndata: %b\n\n' % (number, self.text))
            await asyncio.sleep(pause)
            if number == self.faults.silent_after:
                await asyncio.sleep(1)
            if number == self.faults.drip_after:
                await _drip_bytes(req)
            if number == self.faults.crash_after:
                self.crashing = asyncio.ensure_future(self.crash())
                await asyncio.sleep(1)
        end()


def _break_head(req, headers, share):
    whole = head_bytes(200, [*headers, (b'content-length', b'1000')])
    req.conn.write(whole[: int(share * len(whole))])
    req.is_answered = True
    req.conn.close()


def _send_odd_status(req, headers, faults):
    """Respond with a status line as given, and keep the connection."""
    if not faults.status_line:
        req.respond(faults.bare_status, headers, b'')
        return
    _, _, fields = head_bytes(
        200, [*headers, (b'content-length', b'2')]
    ).partition(b'\r\n')
    req.conn.write(b'HTTP/1.1 ' + faults.status_line + b'\r\n' + fields + b'ok')
    req.is_answered = True


async def _drip_bytes(req):
    while not req.is_disconnected:
        req.write(b':')
        await asyncio.sleep(0.05)


def _begin_unframed(req, headers, status=200):
    """Begin a response that ends with its connection; return write and end."""
    req.conn.write(head_bytes(status, [*headers, (b'connection', b'close')]))

    def end():
        req.is_answered = True
        req.conn.close()

    return req.conn.write, end
