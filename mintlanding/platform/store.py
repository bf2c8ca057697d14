"""HTTP client of the platform's store."""

import base64
import binascii
from dataclasses import dataclass
from typing import Annotated, Any, Self, TypeVar
from urllib.parse import urlencode

import msgspec

from mintlanding.coordination.store_era import NO_ERA, StoreEra
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
from mintlanding.core.borders import ValueBounds, border
from mintlanding.core.bounds import MAX_STORE_NUMBER
from mintlanding.core.exceptions import (
    PlatformError,
    PlatformUnavailable,
    RequestNotSent,
    ResponseLost,
)
from mintlanding.core.numbers import parse_count
from mintlanding.http1.client import Address, ClientConnection, ConnectionPool
from mintlanding.http1.models import ClientOptions, ResponseHead
from mintlanding.node.clock import boot_seconds

_MILLISECONDS = 1000
# Seconds for a call other than a watch or a listing. The store responds in
# milliseconds, and up to sixty times slower under a disruption.
_CALL_SECONDS = 0.8
# Seconds for a page of a listing, which may be a megabyte.
_PAGE_SECONDS = 2.5
# Seconds by which the response to a watch call may exceed its wait.
_WATCH_GRACE = 0.6
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_REFUSED = frozenset((429, 503))
_ERA = b'store-era'
# Characters of a key.
_MAX_KEY = 1000
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_STORE_NUMBER)]


class _Row(msgspec.Struct):
    key: Annotated[str, msgspec.Meta(max_length=_MAX_KEY)]
    rev: _Number
    # Base64, checked for each row.
    value: Any = ''
    lease: _Number | None = 0
    removed: bool = False


class _Page(msgspec.Struct):
    as_of: _Number
    items: list[_Row]
    truncated: bool = False


class _Events(msgspec.Struct):
    as_of: _Number
    events: list[_Row]


class _Committed(msgspec.Struct):
    rev: _Number


class _Granted(msgspec.Struct):
    lease: _Number


_Response = TypeVar('_Response', _Page, _Events, _Committed, _Granted)


@dataclass(frozen=True, slots=True)
class _Reply:
    """Response to a call; the era may have changed since the call was sent."""

    status: int
    body: bytes
    era: int
    is_era_unchanged: bool


class PlatformStore:
    """Client of the store; it never retries.

    Reads and renewals use persistent connections; one with an incomplete
    response is closed. Each write has a connection of its own, since responses
    do not name their call: on one that was used before, an earlier response
    that comes once more would be taken for that to the write.
    """

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        """Take the address of the store and a connection pool."""
        self.calls = 0
        self.era = StoreEra()
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
        the changes after it must be read, too. All pages are of one era.
        """
        items: list[Item] = []
        revision = 0
        era = NO_ERA
        after = ''
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            reply = await self._get('/v1/kv-range', query, _PAGE_SECONDS)
            page = _decode(_Page, reply.body)
            era = era if after else reply.era
            if reply.era != era:
                raise PlatformUnavailable(
                    f'the listing began in era {era} of the store, the page '
                    f'after {after!r} is of era {reply.era}'
                )
            revision = revision or page.as_of
            items.extend(_decode_item(each) for each in page.items)
            if not page.truncated or not page.items:
                return Snapshot(tuple(items), revision, era)
            if items[-1].key <= after:
                raise PlatformUnavailable(
                    f'the page after {after!r} ends at {items[-1].key!r}'
                )
            after = items[-1].key

    async def changes(self, prefix: str, after: int, wait: float) -> Changes:
        """Return changes after a revision, waiting up to `wait` seconds.

        Raise HistoryLost if the store no longer has them all, or has returned
        in another era meanwhile.
        """
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(int(wait * _MILLISECONDS)),
        }
        seconds = wait + _WATCH_GRACE
        reply = await self._get('/v1/kv-watch', query, seconds)
        if not reply.is_era_unchanged:
            raise HistoryLost(f'the store is in era {reply.era} now')
        page = _decode(_Events, reply.body)
        changes = tuple(_decode_change(each) for each in page.events)
        return Changes(changes, page.as_of, reply.era)

    async def commit(self, transaction: Transaction) -> Committed | Rejected:
        """Commit a transaction, unless an expected revision has changed.

        Raise StoreBusy for revisions of another era than the current one.
        """
        if transaction.era not in {NO_ERA, self.era.number}:
            raise StoreBusy(
                f'the expected revisions are of era {transaction.era}, the '
                f'store is in era {self.era.number}'
            )
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
        reply = await self._write('POST', '/v1/kv-txn', body)
        if reply.status == _OK:
            return Committed(_decode(_Committed, reply.body).rev)
        if reply.status in {_CONFLICT, _NOT_FOUND}:
            return Rejected(lease_ended=reply.status == _NOT_FOUND)
        raise PlatformError(
            f'transaction failed: the store responded {reply.status}'
        )

    async def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease."""
        body = {'ttl_ms': int(seconds * _MILLISECONDS)}
        reply = await self._write('POST', '/v1/kv-lease', body)
        if reply.status != _OK:
            raise PlatformError(
                f'lease not granted: the store responded {reply.status}'
            )
        return _decode(_Granted, reply.body).lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return false if it has ended.

        An earlier response can be taken for this one, but not twice in
        succession: its connection is closed when the other one comes.
        """
        reply = await self._call('POST', f'/v1/kv-keep/{lease}', None)
        _require_one_era(reply)
        if reply.status not in {_OK, _NOT_FOUND}:
            raise PlatformError(
                f'lease not renewed: the store responded {reply.status}'
            )
        return reply.status == _OK

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease."""
        await self._write('DELETE', f'/v1/kv-lease-end/{lease}', None)

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
    ) -> _Reply:
        target = f'{path}?{urlencode(query)}'
        reply = await self._call('GET', target, None, seconds)
        if reply.status == _GONE:
            raise HistoryLost('the store no longer has the history')
        if reply.status != _OK:
            raise PlatformError(
                f'{path} failed: the store responded {reply.status}'
            )
        return reply

    async def _write(
        self, method: str, target: str, body: dict[str, Any] | None
    ) -> _Reply:
        reply = await self._call(method, target, body, is_write=True)
        _require_one_era(reply)
        return reply

    async def _call(
        self,
        method: str,
        target: str,
        body: dict[str, Any] | None,
        seconds: float = _CALL_SECONDS,
        *,
        is_write: bool = False,
    ) -> _Reply:
        self.calls += 1
        era_before, sent_at = self.era.number, boot_seconds()
        payload = b'' if body is None else msgspec.json.encode(body)
        head_lines = (
            f'{method} {target} HTTP/1.1\r\n'
            f'Content-Length: {len(payload)}\r\n'
            'Content-Type: application/json\r\n'
        ).encode()
        request = b'%bHost: %b\r\n\r\n%b' % (head_lines, self._host, payload)
        try:
            conn = await self._pool.acquire(self._address, is_fresh=is_write)
        except RequestNotSent as exc:
            raise PlatformUnavailable(str(exc)) from exc
        try:
            head, content = await _exchange(conn, request, seconds)
        except (ResponseLost, RequestNotSent) as exc:
            raise PlatformUnavailable(str(exc)) from exc
        finally:
            self._give_back(conn, is_write=is_write)
        era = _read_era(head) or self.era.number
        if not self.era.record(era, sent_at, boot_seconds()):
            raise PlatformUnavailable(
                f'the response is of era {era}, the store has been in era '
                f'{self.era.number}'
            )
        if head.status in _REFUSED:
            raise StoreBusy(f'the store refused a call with {head.status}')
        return _Reply(head.status, content, era, era_before in {NO_ERA, era})

    def _give_back(self, conn: ClientConnection, *, is_write: bool) -> None:
        """Keep a connection, but not for a response to a write to come."""
        if is_write:
            conn.abort()
        else:
            self._pool.release(conn)


async def _exchange(
    conn: ClientConnection,
    request: bytes,
    seconds: float,
) -> tuple[ResponseHead, bytes]:
    conn.send(request)
    head = await conn.read_head(seconds)
    return head, await conn.read_body(seconds)


def _read_era(head: ResponseHead) -> int:
    return parse_count(head.get(_ERA).decode('latin-1')) or NO_ERA


def _require_one_era(reply: _Reply) -> None:
    """Raise PlatformUnavailable if the era has changed during a call."""
    if not reply.is_era_unchanged:
        raise PlatformUnavailable(
            f'the store has returned in era {reply.era} during the call'
        )


@border('store', PlatformUnavailable, ValueBounds(MAX_STORE_NUMBER))
def _decode(kind: type[_Response], raw: bytes) -> _Response:
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise PlatformUnavailable(
            f'the response of the store is invalid: {exc}',
        ) from exc


def _decode_item(row: _Row) -> Item:
    try:
        content = base64.b64decode(row.value or '', validate=True)
    except (binascii.Error, ValueError, TypeError):
        # Replace a value that is not base64; its decoder will reject it.
        content = b''
    return Item(row.key, content, row.rev, row.lease or 0)


def _decode_change(row: _Row) -> Change:
    if row.removed:
        return Change(row.key, row.rev)
    return Change(row.key, row.rev, _decode_item(row))
