"""Workers: model workers that stream events, and plain ones."""

import asyncio
import json
import time

from review.standins2.http import Server

BORN = 1_700_000_000_000


class Worker:
    """A worker of a service; `record` gets one row for each arrival and end."""

    def __init__(self, name, service, zone, record, slots):
        self.name, self.service, self.zone = name, service, zone
        self.record = record
        self.slots = slots
        self.state = 'ready'
        self.seq = 0
        self.born = BORN + abs(hash(name)) % 1000
        self.running = 0
        self.server = Server(self._handle)

    async def start(self, host='127.0.0.1'):
        await self.server.start(host)
        return self

    def stop(self):
        self.server.stop()

    def entry(self):
        """Return what the worker writes into the store."""
        return {
            'service': self.service,
            'addr': '{}:{}'.format(*self.server.address),
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_ms': 0,
            'seq': self.seq,
            'born': self.born,
            'models': self.models(),
        }

    def models(self):
        return []

    async def _handle(self, req):
        path = req.target.partition('?')[0]
        if path == '/v1/order':
            self.order(req)
        elif path == '/v1/report':
            self.report(req)
        else:
            await self._request(req)

    async def _request(self, req):
        request_id = req.headers.get('x-request-id', '')
        self.record(
            'arrives', request=request_id, worker=self.name, path=req.target
        )
        expected = req.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            req.respond(421, [('X-Instance-Id', self.name)])
            return
        if await self.refuses(req, request_id):
            return
        self.running += 1
        self.record('runs', request=request_id, worker=self.name)
        closed = asyncio.ensure_future(_until_closed(req))
        work = asyncio.ensure_future(self.work(req, self.head(request_id)))
        try:
            await asyncio.wait(
                (closed, work), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                work.cancel()
                self.record('dropped', request=request_id, worker=self.name)
                return
            work.result()
            self.record('done', request=request_id, worker=self.name)
        except ConnectionError:
            self.record('dropped', request=request_id, worker=self.name)
        finally:
            closed.cancel()
            self.running -= 1

    def head(self, request_id):
        return [
            ('X-Request-Id', request_id),
            ('X-Response-Stamp', f'{self.name}.{request_id}'),
            ('X-Instance-Id', self.name),
            ('X-Server-Load', f'{self.running},0,{self.slots}'),
        ]

    async def refuses(self, req, request_id):
        """Refuse a request that finds no place; return whether it did."""
        if self.running < self.slots:
            return False
        self.record('refused', request=request_id, worker=self.name)
        req.respond(503, [('X-Not-Run', '1'), ('X-Request-Id', request_id)])
        return True

    def order(self, req):
        req.respond(400)

    def report(self, req):
        req.respond(404)


class PlainWorker(Worker):
    """Works for a fixed time and answers with a body."""

    work_seconds = 0.09

    async def work(self, req, headers):
        await asyncio.sleep(self.work_seconds)
        req.respond(200, headers, b'x' * 800)


class ModelWorker(Worker):
    """Streams events at a fixed pace; all adapters fit its places."""

    model = 'm0'
    places = 17

    def __init__(self, *args, pace=0.1, tokens_per_event=5):
        super().__init__(*args)
        self.pace, self.tokens_per_event = pace, tokens_per_event
        self.adapters = {}

    def models(self):
        names = [f'{name}@{no}' for name, no in self.adapters.items()]
        return [{'name': self.model, 'version': 1, 'adapters': names}]

    def order(self, req):
        body = json.loads(req.body)
        self.record(
            'order',
            worker=self.name,
            holder=body.get('holder'),
            fence=body.get('fence'),
            op=body.get('op'),
            adapter=body.get('adapter', ''),
        )
        adapter = body.get('adapter', '')
        if 'expected' in body and body['expected'] != self.seq:
            req.respond(409)
            return
        if not adapter:
            req.respond(200)
            return
        self.seq += 1
        if body['op'] == 'unload':
            self.adapters.pop(adapter, None)
            req.respond(200)
            return
        self.adapters[adapter] = body.get('version', 1)
        req.respond(202)

    def report(self, req):
        body = {
            'stage': 'both',
            'models': self.models(),
            'busy': False,
            'seq': self.seq,
            'born': self.born,
            'queued': 0,
            'inflight': self.running,
            'kv_used': 0,
            'kv_total': 240000,
            'handles': 0,
            'coming': [],
        }
        headers = [('Content-Type', 'application/json')]
        req.respond(200, headers, json.dumps(body).encode())

    async def work(self, req, headers):
        tokens = int(req.headers['x-token-counts'].partition(',')[2])
        events = max(1, tokens // self.tokens_per_event)
        last = int(req.headers.get('last-event-id') or 0)
        req.begin(200, [('Content-Type', 'text/event-stream'), *headers])
        for number in range(last + 1, events + 1):
            await asyncio.sleep(self.pace)
            req.chunk(b'id: %d\ndata: %b\n\n' % (number, b'y' * 40))
        req.end()


async def _until_closed(req):
    """Return once the peer has closed its connection."""
    while not req.is_gone:
        await asyncio.sleep(0.01)
        # An end of the connection is seen only when the reader is fed.
        if req.writer.transport.is_closing():
            return


def now():
    return time.monotonic()
