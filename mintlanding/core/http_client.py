"""HTTP client that opens a new connection for each request.

aiosonic resends a request when a reused connection drops, and it reuses a
connection whose request was cancelled while the response is still to come. A
new connection for each request avoids both, and a connection that no longer
works affects one request only.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any, Self

from aiosonic import HTTPClient, Timeouts
from aiosonic.exceptions import AiosonicError, HttpParsingError
from httptools import HttpParserError

from mintlanding.core.exceptions import (
    InvalidResponse,
    MintlandingError,
    RequestNotSent,
    ResponseLost,
    ResponseTimeout,
)
from mintlanding.core.http_transport import (
    Attempt,
    ChunkedBody,
    build_connector,
    current_attempt,
)

MAX_BODY_BYTES = 8 << 20
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))
_NO_BODY_STATUSES = frozenset((204, 304))
_INVALID_RESPONSE_ERRORS = (
    HttpParsingError,
    ValueError,
    asyncio.LimitOverrunError,
)
_REQUEST_ERRORS = (
    AiosonicError,
    OSError,
    EOFError,
    HttpParserError,
    *_INVALID_RESPONSE_ERRORS,
)
_READ_BYTES = 1 << 16
# Timeouts are applied here and in http_transport instead.
_NO_TIMEOUTS = Timeouts(None, None, None, None)

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; timeouts are in seconds.

    `response_timeout` limits the time until the headers arrive, in
    `HttpClient.call` until the whole response has arrived.
    """

    method: str
    url: str
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    connect: float = 1
    response_timeout: float = 30


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes


class StreamedResponse:
    """A response whose body is read in chunks as it arrives."""

    def __init__(self, response: Any) -> None:
        """Wrap a response of aiosonic."""
        self.status: int = response.status_code
        self.headers: Headers = list(response.raw_headers)
        self._response = response
        self._connection: Any = response._connection

    def header(self, name: str) -> str:
        """Return the value of a header, '' if it is missing."""
        found = self._response.headers.get(name, '')
        return str(found)

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise ResponseLost if it is cut off.

        HTTP chunks that arrive together are joined.
        """
        response = self._response
        chunks = (
            self._decode_chunks()
            if response.chunked
            else response.read_chunks()
        )
        try:
            async for chunk in chunks:
                yield chunk
        except _REQUEST_ERRORS as exc:
            raise ResponseLost(repr(exc)) from exc

    async def read(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Read the whole body."""
        if not self._response._has_pending_body():
            return bytes(self._response.body)
        if (self._response._remaining or 0) > limit:
            raise InvalidResponse('the body is too large')
        parts: list[bytes] = []
        size = 0
        async for chunk in self.iter_chunks():
            size += len(chunk)
            if size > limit:
                raise InvalidResponse('the body is too large')
            parts.append(chunk)
        return b''.join(parts)

    async def _decode_chunks(self) -> AsyncIterator[bytes]:
        # Not read_chunks of aiosonic, which awaits twice for each chunk.
        body = ChunkedBody()
        while not body.is_whole:
            raw = await self._connection.read(_READ_BYTES)
            if not raw:
                raise EOFError('the body was cut off')
            chunk = body.feed(raw)
            if chunk:
                yield chunk

    def close(self) -> None:
        """Close the connection, even while a reader waits for data."""
        self._connection.keep = False
        self._connection.close()


class HttpClient:
    """HTTP client; each request has its own connection."""

    def __init__(self, client: HTTPClient) -> None:
        """Wrap a client of aiosonic."""
        self._client = client

    @classmethod
    def from_config(cls) -> Self:
        """Create a client that ignores proxy settings of the environment.

        Hosts must be IP addresses; a request to a host name is not sent.
        """
        connector = build_connector()
        return cls(HTTPClient(connector=connector, trust_env=False))

    async def open(self, req: HttpRequest) -> StreamedResponse:
        """Send a request and return when the response headers have arrived.

        Raises RequestNotSent if nothing was sent, else ResponseLost.
        """
        headers = list(req.headers)
        if not req.body and req.method in _BODY_METHODS:
            headers.append(('Content-Length', '0'))
        attempt = Attempt(req.connect)
        current_attempt.set(attempt)
        try:
            async with asyncio.timeout(req.response_timeout):
                response = await self._client.request(
                    req.url,
                    req.method,
                    headers=headers,
                    data=req.body or None,
                    timeouts=_NO_TIMEOUTS,
                    stream=True,
                )
        except _REQUEST_ERRORS as exc:
            raise _convert_error(exc, attempt) from exc
        return _check_length(response)

    async def call(self, req: HttpRequest) -> HttpResponse:
        """Send a request and read the whole response.

        It must arrive within `req.response_timeout`.
        """
        try:
            async with asyncio.timeout(req.response_timeout):
                return await self._read_response(req)
        except TimeoutError as exc:
            raise _convert_error(exc, current_attempt.get()) from exc

    async def close(self) -> None:
        """Close the client."""
        await self._client.aclose()

    async def _read_response(self, req: HttpRequest) -> HttpResponse:
        response = await self.open(req)
        try:
            body = await response.read()
        finally:
            response.close()
        return HttpResponse(response.status, response.headers, body)


def _convert_error(exc: Exception, attempt: Attempt) -> MintlandingError:
    if not attempt.is_sent:
        return RequestNotSent(repr(exc))
    if isinstance(exc, TimeoutError):
        return ResponseTimeout('no response in time')
    if isinstance(exc, _INVALID_RESPONSE_ERRORS):
        return InvalidResponse(repr(exc))
    return ResponseLost(repr(exc))


def _check_length(response: Any) -> StreamedResponse:
    # aiosonic treats a body without length or chunks as empty.
    bounded = (
        response.method == 'HEAD'
        or response.status_code in _NO_BODY_STATUSES
        or 'content-length' in response.headers
        or response.chunked
    )
    if not bounded:
        raise InvalidResponse('the response has no content length')
    return StreamedResponse(response)
