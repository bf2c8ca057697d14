"""Workers: plain ones, and engines that take orders."""

import asyncio
import json
import time

from standins.http import Response, Server, head_bytes

HEARTBEAT_SECONDS = 1.2
STAMP = 'X-Response-Stamp'


class Worker:
    """A worker; it runs what names it, and writes its entry by itself."""

    def __init__(
        self,
        name,
        service,
        store,
        record,
        *,
        zone='z1',
        model='',
        work=0.02,
        events=5,
        event_pause=0.02,
        slots=64,
    ):
        self.name, self.service, self.zone = name, service, zone
        self.store, self.record = store, record
        self.model, self.slots = model, slots
        self.work, self.events, self.event_pause = work, events, event_pause
        self.adapters = {}
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.is_leaving = False
        self.writes_entry = True
        self.runs = []
        self.orders = []
        self.server = Server(self.handle, '127.0.0.1')
        self._beat = None

    async def start(self):
        await self.server.start()
        self._beat = asyncio.ensure_future(self._heartbeats())
        return self

    def stop(self):
        self._beat.cancel()
        self.server.stop()

    @property
    def key(self):
        return f'servers/{self.name}'

    def entry(self):
        adapters = [f'{n}@{v}' for n, v in sorted(self.adapters.items())]
        held = [{'name': self.model, 'version': 1, 'adapters': adapters}]
        return json.dumps(
            {
                'service': self.service,
                'addr': f'127.0.0.1:{self.server.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'cold_ms': 0,
                'stage': 'both',
                'models': held if self.model else [],
                'seq': self.seq,
                'born': self.born,
            }
        ).encode()

    async def _heartbeats(self):
        """Keep the entry as it is to be, while the store can be reached."""
        while True:
            if self.store.server._server is not None:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def write_entry(self):
        if not self.writes_entry:
            self.store.remove(self.key)
        elif self.store.value(self.key) != self.entry():
            self.store.put(self.key, self.entry())

    def leave_unannounced(self):
        """Leave without `draining`: the entry goes, answers say it."""
        self.is_leaving = True
        self.writes_entry = False
        self.record('worker', 'leaves', worker=self.name)
        self.write_entry()

    def _headers(self, req=None):
        headers = {'X-Instance-Id': self.name}
        if req is not None:
            headers['X-Request-Id'] = req.header('x-request-id')
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        return headers

    async def handle(self, req):
        if req.target == '/v1/order':
            return self._order(req)
        if req.target == '/v1/report':
            return Response.json(200, self._report(), self._headers())
        if req.target == '/health':
            status = 503 if self.is_leaving else 200
            return Response(status, self._headers())
        return await self._run(req)

    async def _run(self, req):
        named = req.header('x-expect-instance')
        adapter = req.header('x-model').partition('/')[2]
        is_missing = self.model and adapter and adapter not in self.adapters
        if (named and named != self.name) or is_missing:
            return Response(421, self._headers(req))
        name = req.header('x-request-id')
        self.runs.append((time.monotonic(), name))
        self.record(
            'run',
            name,
            worker=self.name,
            key=req.header('authorization'),
            tenant=req.header('x-tenant'),
            path=req.target,
        )
        await asyncio.sleep(self.work)
        headers = {**self._headers(req), STAMP: f's-{name}'}
        if self.model:
            await self._stream(req, headers)
            return None
        return Response(200, headers, b'done ' + name.encode())

    async def _stream(self, req, headers):
        headers = {
            **headers,
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        req.writer.write(head_bytes(200, headers))
        first = int(req.header('last-event-id') or 0)
        for number in range(first + 1, self.events + 1):
            event = f'id: {number}\ndata: {self.name}\n\n'.encode()
            req.writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await req.writer.drain()
            await asyncio.sleep(self.event_pause)
        req.writer.write(b'0\r\n\r\n')

    def _report(self):
        adapters = [f'{n}@{v}' for n, v in sorted(self.adapters.items())]
        return {
            'stage': 'both',
            'busy': False,
            'seq': self.seq,
            'queued': 0,
            'inflight': 0,
            'kv_used': 0,
            'kv_total': 247252,
            'handles': 0,
            'born': self.born,
            'coming': [],
            'models': [
                {'name': self.model, 'version': 1, 'adapters': adapters}
            ],
        }

    def _order(self, req):
        order = json.loads(req.body)
        if req.header('x-expect-instance') not in {'', self.name}:
            return Response(421, self._headers())
        self.orders.append(
            (
                time.monotonic(),
                order['holder'],
                order['fence'],
            )
        )
        status = self._carry_out(order)
        self.record(
            'order',
            order['op'],
            worker=self.name,
            status=status,
            holder=order['holder'],
            fence=order['fence'],
            adapter=order.get('adapter', ''),
            expected=order.get('expected'),
        )
        return Response.json(status, {}, self._headers())

    def _carry_out(self, order):
        if 'expected' in order and order['expected'] != self.seq:
            return 409
        adapter = order.get('adapter', '')
        if order['op'] == 'unload':
            self.adapters.pop(adapter, None)
            self.seq += 1
            return 200
        version = order.get('version') or 1
        if self.adapters.get(adapter) == version:
            return 200
        self.adapters[adapter] = version
        self.seq += 1
        return 202
