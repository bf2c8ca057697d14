"""Clients of the platform's services over HTTP.

The protocols are described in docs/reference/platform-protocols.md.
"""

from typing import Any, Self, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from mintlanding.coordination.instances import InstanceRecord
from mintlanding.coordination.keyvalue import (
    Entry,
    Listing,
    conflict,
    too_large,
)
from mintlanding.core.exceptions import (
    PlatformUnavailable,
    RequestNotSent,
    ResponseLost,
)
from mintlanding.core.http_client import HttpClient, HttpRequest, HttpResponse
from mintlanding.core.results import Done, Outcome

ReplyT = TypeVar('ReplyT')

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_CONNECT_SECONDS = 1


class IndexReply(msgspec.Struct, frozen=True):
    """The response to a write: the new index."""

    index: int


class LeaseReply(msgspec.Struct, frozen=True):
    """The response to a grant: the id of the lease."""

    lease: str


class _HttpService:
    """Base class for clients of one service; requests are never retried."""

    def __init__(self, client: HttpClient, url: str, timeout: float) -> None:
        """Store the base URL and the timeout of a request in seconds."""
        self._client = client
        self._url = url.rstrip('/')
        self._timeout = timeout

    @classmethod
    def from_config(cls, url: str, timeout: float) -> Self:
        """Create a client of the service at `url`."""
        return cls(HttpClient.from_config(), url, timeout)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        extra_timeout: float = 0,
    ) -> HttpResponse:
        call = HttpRequest(
            method,
            self._url + path,
            body=body,
            connect=min(_CONNECT_SECONDS, self._timeout),
            response_timeout=self._timeout + extra_timeout,
        )
        try:
            return await self._client.call(call)
        except (RequestNotSent, ResponseLost) as exc:
            raise PlatformUnavailable(f'{method} {path}: {exc}') from exc


class HttpKeyValueService(_HttpService):
    """Client of a key-value service over HTTP."""

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        response = await self._call('GET', _key_path(key))
        if response.status == _NOT_FOUND:
            return None
        return _decode(response, Entry)

    async def list(self, prefix: str) -> Listing:
        """Return all entries under a prefix."""
        query = urlencode({'prefix': prefix})
        return _decode(await self._call('GET', f'/kv?{query}'), Listing)

    async def put(
        self,
        key: str,
        value: bytes,  # noqa: WPS110
        expected: int | None = None,
        lease: str = '',
    ) -> Outcome[int]:
        """Write if the key's index is `expected` (0: it must not exist)."""
        path = _key_path(key, expected, lease)
        response = await self._call('PUT', path, value)
        return _write_outcome(key, response)

    async def delete(
        self,
        key: str,
        expected: int | None = None,
    ) -> Outcome[int]:
        """Delete if the key's index is `expected`."""
        response = await self._call('DELETE', _key_path(key, expected))
        return _write_outcome(key, response)

    async def wait(self, prefix: str, after: int, seconds: float) -> Listing:
        """Return the listing when its index exceeds `after`, or on timeout."""
        query = urlencode(
            {'prefix': prefix, 'after': after, 'seconds': seconds},
        )
        response = await self._call(
            'GET', f'/kv?{query}', extra_timeout=seconds
        )
        return _decode(response, Listing)

    async def grant_lease(self, seconds: float) -> str:
        """Create a lease and return its id."""
        query = urlencode({'seconds': seconds})
        response = await self._call('POST', f'/leases?{query}')
        return _decode(response, LeaseReply).lease

    async def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has ended."""
        response = await self._call('PUT', f'/leases/{quote(lease, safe="")}')
        return _was_found(response)

    async def revoke_lease(self, lease: str) -> bool:
        """End a lease and delete its entries."""
        path = f'/leases/{quote(lease, safe="")}'
        return _was_found(await self._call('DELETE', path))


class HttpInstanceList(_HttpService):
    """Client of an instance list over HTTP."""

    async def fetch(self) -> tuple[InstanceRecord, ...]:
        """Return the listed instances; raise PlatformUnavailable."""
        response = await self._call('GET', '/instances')
        return _decode(response, tuple[InstanceRecord, ...])


def _key_path(key: str, expected: int | None = None, lease: str = '') -> str:
    fields: dict[str, Any] = {}
    if expected is not None:
        fields['expected'] = expected
    if lease:
        fields['lease'] = lease
    query = f'?{urlencode(fields)}' if fields else ''
    return f'/kv/{quote(key)}{query}'


def _write_outcome(key: str, response: HttpResponse) -> Outcome[int]:
    if response.status == _CONFLICT:
        return conflict(key)
    if response.status == _TOO_LARGE:
        return too_large(key)
    return Done(_decode(response, IndexReply).index)


def _was_found(response: HttpResponse) -> bool:
    if response.status == _NOT_FOUND:
        return False
    _check_status(response)
    return True


def _decode(response: HttpResponse, reply_type: type[ReplyT]) -> ReplyT:
    _check_status(response)
    try:
        return msgspec.msgpack.decode(response.body, type=reply_type)
    except msgspec.DecodeError as exc:
        raise PlatformUnavailable(f'invalid response: {exc}') from exc


def _check_status(response: HttpResponse) -> None:
    if response.status != _OK:
        raise PlatformUnavailable(f'unexpected status {response.status}')
