"""The platform's store: keys, leases, a history, and returns from a copy."""

import asyncio
import base64
import contextlib
import copy
import json
import time
from urllib.parse import parse_qs, urlsplit

from standins.http import Response, Server

COPY_SECONDS = 0.05
PAGE_ITEMS = 500
ANSWER_SECONDS = 0.004


class Store:
    """Linearizable; every answer names the era, which a return raises."""

    def __init__(self, record):
        self.era = 1
        self.revision = 400
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 77120
        self.first_revision = self.revision
        self.copies = []
        self.record = record
        self.changed = asyncio.Event()
        self.server = Server(self.handle, '127.0.0.1')
        self._copier = None

    @property
    def address(self):
        return '127.0.0.1', self.server.port

    async def start(self):
        await self.server.start()
        self._copier = asyncio.ensure_future(self._keep_copies())
        return self

    def stop(self):
        self._copier.cancel()
        self.server.stop()

    def go_away(self):
        """Refuse and reset all connections."""
        self.record('store', 'away', revision=self.revision)
        self._away_at = time.monotonic()
        self.server.stop()

    async def come_back(self, seconds_old=None):
        """Return as it was; or as it was so long before it went away."""
        if seconds_old is not None:
            wanted = self._away_at - seconds_old
            saved_at, state = [c for c in self.copies if c[0] <= wanted][-1]
            lost = self.revision
            items, history, leases, self.revision = copy.deepcopy(state)
            self.items, self.history = items, history
            now = time.monotonic()
            self.leases = {
                lease: [ttl, now + left]
                for lease, (ttl, left) in leases.items()
            }
            self.era += 1
            self.record(
                'store',
                'back from a copy',
                era=self.era,
                seconds_old=round(self._away_at - saved_at, 2),
                revision_lost=lost,
                revision=self.revision,
            )
        else:
            now = time.monotonic()
            for row in self.leases.values():
                row[1] += now - self._away_at
            self.record('store', 'back', revision=self.revision)
        self.copies.clear()
        self._wake()
        await self.server.start()

    def put(self, key, value, lease=0):
        """Write a key; return its revision."""
        self.revision += 1
        before = self.items.get(key)
        created = before['create_rev'] if before else self.revision
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.revision,
            'create_rev': created,
            'lease': lease,
        }
        self.history.append(self.items[key])
        self.record('store', 'put', key=key, rev=self.revision)
        self._wake()
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            row = {'key': key, 'rev': self.revision, 'removed': True}
            self.history.append(row)
            self.record('store', 'removed', key=key, rev=self.revision)
            self._wake()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item['value'])

    async def handle(self, req):
        parts = urlsplit(req.target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        await asyncio.sleep(ANSWER_SECONDS)
        self._expire()
        name, _, last = parts.path.removeprefix('/v1/').partition('/')
        body = json.loads(req.body) if req.body else {}
        call = getattr(self, '_' + name.replace('-', '_'))
        status, value = await call(query, body, last)
        return Response.json(status, value, {'Store-Era': self.era})

    async def _kv_key(self, query, body, last):
        item = self.items.get(query['key'])
        return (
            (404, {})
            if item is None
            else (200, {**item, 'as_of': self.revision})
        )

    async def _kv_range(self, query, body, last):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return 200, {
            'items': [self.items[k] for k in keys[:PAGE_ITEMS]],
            'truncated': len(keys) > PAGE_ITEMS,
            'as_of': self.revision,
        }

    async def _kv_watch(self, query, body, last):
        after, prefix = int(query['after']), query.get('prefix', '')
        if not self.first_revision <= after <= self.revision:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while not self._events(prefix, after):
                    await self.changed.wait()
        return 200, {
            'events': self._events(prefix, after),
            'as_of': self.revision,
        }

    def _events(self, prefix, after):
        return [
            row
            for row in self.history
            if row['rev'] > after and row['key'].startswith(prefix)
        ]

    async def _kv_txn(self, query, body, last):
        expected = body.get('expected', [])
        now = {r['key']: self.items.get(r['key']) for r in expected}
        for row in expected:
            held = now[row['key']]
            if (held['rev'] if held else 0) != row['rev']:
                return 412, {'items': [i for i in now.values() if i]}
        for row in body.get('set_keys', []):
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
            if row['key'].startswith(('op/', 'servers/')):
                return 403, {}
        for row in body.get('set_keys', []):
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row.get('lease', 0))
        for key in body.get('delete', []):
            self.remove(key)
        return 200, {'rev': self.revision}

    async def _kv_lease(self, query, body, last):
        self.next_lease += 1
        ttl = body['ttl_ms'] / 1000
        self.leases[self.next_lease] = [ttl, time.monotonic() + ttl]
        return 200, {'lease': self.next_lease, 'ttl_ms': body['ttl_ms']}

    async def _kv_keep(self, query, body, last):
        row = self.leases.get(int(last))
        if row is None:
            return 404, {}
        row[1] = time.monotonic() + row[0]
        return 200, {'ttl_ms': int(row[0] * 1000)}

    async def _kv_lease_end(self, query, body, last):
        self._end_lease(int(last))
        return 200, {}

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)

    def _expire(self):
        now = time.monotonic()
        for lease in [k for k, row in self.leases.items() if row[1] <= now]:
            self._end_lease(lease)

    async def _keep_copies(self):
        """Keep the states of the last ten seconds, while it is up."""
        while True:
            if self.server._server is not None:
                self._expire()
                now = time.monotonic()
                leases = {
                    k: (ttl, end - now) for k, (ttl, end) in self.leases.items()
                }
                state = (self.items, self.history, leases, self.revision)
                self.copies.append((now, copy.deepcopy(state)))
                self.copies = [c for c in self.copies if c[0] > now - 10]
            await asyncio.sleep(COPY_SECONDS)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Operator:
    """Writes the configuration and versions; again after a return."""

    def __init__(self, store):
        self.store = store
        self.wanted = {}

    def write(self, key, value):
        """Write a record, or keep it until the store is back."""
        self.wanted[key] = json.dumps(value).encode()
        return self.store.put(key, self.wanted[key])

    def rewrite(self):
        """Write again what the store has not, the configuration first."""
        for key in sorted(self.wanted):
            if self.store.value(key) != self.wanted[key]:
                self.store.put(key, self.wanted[key])

    async def rewrite_in_turn(self):
        """Do so with one call after the other."""
        for key in sorted(self.wanted):
            if self.store.value(key) != self.wanted[key]:
                await asyncio.sleep(ANSWER_SECONDS)
                self.store.put(key, self.wanted[key])
