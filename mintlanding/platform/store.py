"""The platform's store over HTTP."""

import base64
import binascii
from typing import Any, Self
from urllib.parse import urlencode

import msgspec

from mintlanding.coordination.transactional_store import (
    Change,
    Changes,
    Committed,
    HistoryLost,
    Item,
    Rejected,
    Snapshot,
    StoreBusy,
    Transaction,
)
from mintlanding.core.exceptions import (
    PlatformError,
    PlatformUnavailable,
    RequestNotSent,
    ResponseLost,
)
from mintlanding.http1.client import Address, ClientConnection, ConnectionPool
from mintlanding.http1.models import ClientOptions

_MILLISECONDS = 1000
# Seconds for a plain call; the store answers in milliseconds, and up to
# sixty times slower when it is disturbed.
_CALL_SECONDS = 0.8
# Seconds for a page of a listing, which may be a megabyte.
_PAGE_SECONDS = 2.5
# Seconds that the answer to a waiting call may come late.
_WATCH_GRACE = 0.6
_BODY = msgspec.json.Decoder()
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_REFUSED = frozenset((429, 503))


class PlatformStore:
    """Calls of the store on kept connections; no call is sent twice.

    A connection on which an answer is missing is closed.
    """

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        """Take where the store is."""
        self.calls = 0
        self._address = address
        self._host = '{0}:{1}'.format(*address).encode()
        self._pool = pool

    @classmethod
    def from_config(cls, address: Address) -> Self:
        """Build the client of the store at an address."""
        return cls(address, ConnectionPool(ClientOptions(idle_timeout=30)))

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all items under a prefix, page by page.

        Pages are not of one moment: changes are to be read from the first.
        """
        items: list[Item] = []
        revision = 0
        after = ''
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page = await self._get('/v1/kv-range', query, _PAGE_SECONDS)
            revision = revision or int(page['as_of'])
            items.extend(_decode_item(each) for each in page['items'])
            if not page.get('truncated') or not page['items']:
                return Snapshot(tuple(items), revision)
            after = items[-1].key

    async def changes(self, prefix: str, after: int, wait: float) -> Changes:
        """Wait for changes."""
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(int(wait * _MILLISECONDS)),
        }
        seconds = wait + _WATCH_GRACE
        page = await self._get('/v1/kv-watch', query, seconds)
        changes = tuple(_decode_change(each) for each in page['events'])
        return Changes(changes, int(page['as_of']))

    async def commit(self, transaction: Transaction) -> Committed | Rejected:
        """Carry out a transaction."""
        body = {
            'expected': [
                {'key': key, 'rev': revision}
                for key, revision in transaction.expected.items()
            ],
            'set_keys': [
                {
                    'key': write.key,
                    'value': base64.b64encode(write.content).decode(),
                    'lease': write.lease,
                }
                for write in transaction.writes
            ],
            'delete': list(transaction.deletes),
        }
        status, answer = await self._call('POST', '/v1/kv-txn', body)
        if status == _OK:
            return Committed(int(answer['rev']))
        if status in {_CONFLICT, _NOT_FOUND}:
            return Rejected(lease_ended=status == _NOT_FOUND)
        raise PlatformError(f'the store answered a transaction with {status}')

    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease."""
        body = {'ttl_ms': int(seconds * _MILLISECONDS)}
        status, answer = await self._call('POST', '/v1/kv-lease', body)
        if status != _OK:
            raise PlatformError(f'the store answered a lease with {status}')
        return int(answer['lease'])

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease."""
        status, _ = await self._call('POST', f'/v1/kv-keep/{lease}', None)
        if status not in {_OK, _NOT_FOUND}:
            raise PlatformError(f'the store answered a renewal with {status}')
        return status == _OK

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self._call('DELETE', f'/v1/kv-lease-end/{lease}', None)

    def prune(self) -> None:
        """Close connections that have been idle for too long."""
        self._pool.prune()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        seconds: float,
    ) -> dict[str, Any]:
        target = f'{path}?{urlencode(query)}'
        status, answer = await self._call('GET', target, None, seconds)
        if status == _GONE:
            raise HistoryLost('the store dropped its history')
        if status != _OK:
            raise PlatformError(f'the store answered {path} with {status}')
        return answer

    async def _call(
        self,
        method: str,
        target: str,
        body: dict[str, Any] | None,
        seconds: float = _CALL_SECONDS,
    ) -> tuple[int, dict[str, Any]]:
        self.calls += 1
        payload = b'' if body is None else msgspec.json.encode(body)
        head = (
            f'{method} {target} HTTP/1.1\r\n'
            f'Content-Length: {len(payload)}\r\n'
            'Content-Type: application/json\r\n'
        ).encode()
        request = b'%bHost: %b\r\n\r\n%b' % (head, self._host, payload)
        try:
            conn = await self._pool.acquire(self._address)
        except RequestNotSent as exc:
            raise PlatformUnavailable(str(exc)) from exc
        try:
            status, raw = await _exchange(conn, request, seconds)
        except (ResponseLost, RequestNotSent) as exc:
            raise PlatformUnavailable(str(exc)) from exc
        finally:
            self._pool.release(conn)
        if status in _REFUSED:
            raise StoreBusy(f'the store refused with {status}')
        return status, _decode_body(raw)


async def _exchange(
    conn: ClientConnection,
    request: bytes,
    seconds: float,
) -> tuple[int, bytes]:
    conn.send(request)
    head = await conn.read_head(seconds)
    return head.status, await conn.read_body(seconds)


def _decode_body(raw: bytes) -> dict[str, Any]:
    if not raw:
        return {}
    try:
        answer = _BODY.decode(raw)
    except msgspec.DecodeError as exc:
        raise PlatformUnavailable(f'the store answered no JSON: {exc}') from exc
    return answer if isinstance(answer, dict) else {}


def _decode_item(raw: dict[str, Any]) -> Item:
    try:
        content = base64.b64decode(raw.get('value') or '', validate=True)
    except (binascii.Error, ValueError, TypeError):
        # Bytes that are not base64 are handed on for the reader to refuse.
        content = b''
    return Item(
        key=str(raw['key']),
        content=content,
        revision=int(raw['rev']),
        lease=int(raw.get('lease') or 0),
    )


def _decode_change(raw: dict[str, Any]) -> Change:
    revision = int(raw['rev'])
    if raw.get('removed'):
        return Change(str(raw['key']), revision)
    return Change(str(raw['key']), revision, _decode_item(raw))
