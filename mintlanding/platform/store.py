"""HTTP client of the platform's store."""

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
# Seconds for a call other than a watch or a listing. The store responds in
# milliseconds, and up to sixty times slower under a disruption.
_CALL_SECONDS = 0.8
# Seconds for a page of a listing, which may be a megabyte.
_PAGE_SECONDS = 2.5
# Seconds by which the response to a watch call may exceed its wait.
_WATCH_GRACE = 0.6
_BODY = msgspec.json.Decoder()
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_REFUSED = frozenset((429, 503))


class PlatformStore:
    """Client of the store with persistent connections; it never retries.

    A connection with an incomplete response is closed.
    """

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        """Take the address of the store and a connection pool."""
        self.calls = 0
        # Highest revision and last lease that the store has told.
        self._revision = 0
        self._lease = 0
        self._address = address
        self._host = '{0}:{1}'.format(*address).encode()
        self._pool = pool

    @classmethod
    def from_config(cls, address: Address) -> Self:
        """Create a client of the store at an address."""
        return cls(address, ConnectionPool(ClientOptions(idle_timeout=30)))

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all items under a prefix, read page by page.

        The revision is that of the first page, since later pages may be newer:
        the changes after it must be read, too.
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
        """Return changes after a revision, waiting up to `wait` seconds.

        Raise HistoryLost if the store no longer has them all.
        """
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(int(wait * _MILLISECONDS)),
        }
        seconds = wait + _WATCH_GRACE
        page = await self._get('/v1/kv-watch', query, seconds)
        changes = tuple(_decode_change(each) for each in page['events'])
        revision = int(page['as_of'])
        self._revision = max(self._revision, revision)
        return Changes(changes, revision)

    async def commit(self, transaction: Transaction) -> Committed | Rejected:
        """Commit a transaction, unless an expected revision has changed."""
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
        before = self._revision
        status, response = await self._call('POST', '/v1/kv-txn', body)
        if status == _OK:
            revision = int(response['rev'])
            # Deletions of missing keys need not change the revision.
            is_new = revision > before or not transaction.writes
            self._check_new(is_new, f'revision {revision}')
            self._revision = max(self._revision, revision)
            return Committed(revision)
        if status in {_CONFLICT, _NOT_FOUND}:
            return Rejected(lease_ended=status == _NOT_FOUND)
        raise PlatformError(f'transaction failed: the store responded {status}')

    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease."""
        body = {'ttl_ms': int(seconds * _MILLISECONDS)}
        status, response = await self._call('POST', '/v1/kv-lease', body)
        if status != _OK:
            raise PlatformError(
                f'lease not granted: the store responded {status}'
            )
        lease = int(response['lease'])
        self._check_new(lease != self._lease, f'lease {lease}')
        self._lease = lease
        return lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return false if it has ended."""
        status, _ = await self._call('POST', f'/v1/kv-keep/{lease}', None)
        if status not in {_OK, _NOT_FOUND}:
            raise PlatformError(
                f'lease not renewed: the store responded {status}'
            )
        return status == _OK

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease."""
        await self._call('DELETE', f'/v1/kv-lease-end/{lease}', None)

    def prune(self) -> None:
        """Close connections that have been idle for too long."""
        self._pool.prune()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    def _check_new(self, is_new: bool, what: str) -> None:
        """Raise PlatformUnavailable for a response to an earlier call."""
        if is_new:
            return
        # The response to the call itself may still come on an idle connection.
        self._pool.close()
        raise PlatformUnavailable(
            f'the store told {what} before; the call may have taken effect',
        )

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        seconds: float,
    ) -> dict[str, Any]:
        target = f'{path}?{urlencode(query)}'
        status, response = await self._call('GET', target, None, seconds)
        if status == _GONE:
            raise HistoryLost('the store no longer has the history')
        if status != _OK:
            raise PlatformError(f'{path} failed: the store responded {status}')
        return response

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
            raise StoreBusy(f'the store refused a call with {status}')
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
        response = _BODY.decode(raw)
    except msgspec.DecodeError as exc:
        raise PlatformUnavailable(
            f'the response of the store is not JSON: {exc}',
        ) from exc
    return response if isinstance(response, dict) else {}


def _decode_item(raw: dict[str, Any]) -> Item:
    try:
        content = base64.b64decode(raw.get('value') or '', validate=True)
    except (binascii.Error, ValueError, TypeError):
        # Replace a value that is not base64; its decoder will reject it.
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
