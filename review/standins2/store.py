"""The platform's store: items, leases, watches and transactions."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from review.standins2.http import Server

PAGE = 400
# Seconds that an answer takes.
ANSWER_SECONDS = 0.004


class Store:
    """Linearizable, loses nothing; answers after a few milliseconds."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.era = 1
        self.next_lease = 5000
        self.changed = asyncio.Event()
        self.server = Server(self._handle)
        # Called with the caller's address, method, path and body; returns
        # seconds by which the answer is late, or a status that refuses it.
        self.trouble = None

    async def start(self, host='127.0.0.1'):
        await self.server.start(host)
        self._expiry = asyncio.ensure_future(self._expire_leases())
        return self

    def stop(self):
        self._expiry.cancel()
        self.server.stop()

    def put(self, key, content, lease=0):
        """Write as the operator or a worker does."""
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.revision += 1
        before = self.items.get(key)
        created = before[2] if before else self.revision
        self.items[key] = (content, self.revision, created, lease)
        self.history.append((self.revision, key, self.items[key]))
        self._wake()
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, key, None))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v[3] == lease]:
            self.remove(key)

    async def _handle(self, req):
        parts = urlsplit(req.target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        await asyncio.sleep(ANSWER_SECONDS)
        name, _, rest = parts.path.removeprefix('/v1/').partition('/')
        handler = getattr(self, '_' + name.replace('-', '_'), None)
        if handler is None:
            req.respond(404)
            return
        status, body = await handler(query, rest, req.body)
        headers = [
            ('Content-Type', 'application/json'),
            ('Store-Era', str(self.era)),
        ]
        req.respond(status, headers, json.dumps(body).encode())

    def _row(self, key, item):
        content, revision, created, lease = item
        return {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'rev': revision,
            'create_rev': created,
            'lease': lease,
        }

    async def _kv_key(self, query, rest, body):
        key = query.get('key', '')
        if key not in self.items:
            return 404, {'as_of': self.revision}
        return 200, {**self._row(key, self.items[key]), 'as_of': self.revision}

    async def _kv_range(self, query, rest, body):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        rows = [self._row(k, self.items[k]) for k in keys[:PAGE]]
        return 200, {
            'items': rows,
            'truncated': len(keys) > PAGE,
            'as_of': self.revision,
        }

    async def _kv_watch(self, query, rest, body):
        prefix, after = query.get('prefix', ''), int(query['after'])
        deadline = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            rows = [
                self._row(key, item)
                if item is not None
                else {'key': key, 'rev': revision, 'removed': True}
                for revision, key, item in self.history
                if revision > after and key.startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, {'events': rows, 'as_of': self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _kv_txn(self, query, rest, body):
        txn = json.loads(body)
        for row in txn.get('expected', ()):
            held = self.items.get(row['key'])
            if (held[1] if held else 0) != row['rev']:
                found = [
                    self._row(each['key'], self.items[each['key']])
                    for each in txn['expected']
                    if each['key'] in self.items
                ]
                return 412, {'items': found}
        writes = txn.get('set_keys', ())
        for row in writes:
            if row['key'].startswith(('op/', 'servers/')):
                return 403, {}
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        for row in writes:
            content = base64.b64decode(row['value'])
            self.put(row['key'], content, row.get('lease') or 0)
        for key in txn.get('delete', ()):
            self.remove(key)
        return 200, {'rev': self.revision}

    async def _kv_lease(self, query, rest, body):
        ttl = json.loads(body)['ttl_ms']
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {'lease': self.next_lease, 'ttl_ms': ttl}

    async def _kv_keep(self, query, rest, body):
        lease = int(rest)
        if lease not in self.leases:
            return 404, {}
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {'ttl_ms': ttl}

    async def _kv_lease_end(self, query, rest, body):
        self._end_lease(int(rest))
        return 200, {}
