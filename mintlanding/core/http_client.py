"""One HTTP call on one fresh connection, never repeated by the library.

aiosonic sends a request again when a reused connection drops, and hands a
connection whose call was cancelled to the next call, answer still to come. A
fresh connection for each call excludes both, and a connection that has gone
silent is never met again.
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
_GARBAGE = (HttpParsingError, ValueError, asyncio.LimitOverrunError)
_LOST = (AiosonicError, OSError, EOFError, HttpParserError, *_GARBAGE)
_READ_BYTES = 1 << 16
# Time is bounded here and in the transport.
_NO_TIMEOUTS = Timeouts(None, None, None, None)

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; times in seconds.

    `response_timeout` is the time until the headers came.
    """

    method: str
    url: str
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    connect: float = 1
    response_timeout: float = 30


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class StreamedResponse:
    """An answer whose body is read piece by piece."""

    def __init__(self, response: Any) -> None:
        """Take the library's response."""
        self.status: int = response.status_code
        self.headers: Headers = list(response.raw_headers)
        self._response = response
        self._connection: Any = response._connection

    def header(self, name: str) -> str:
        """Return a header's value, empty when it is missing."""
        found = self._response.headers.get(name, '')
        return str(found)

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise ResponseLost when it breaks off.

        Chunks that arrived together come in one piece.
        """
        response = self._response
        reading = self._chunks() if response.chunked else response.read_chunks()
        try:
            async for piece in reading:
                yield piece
        except _LOST as exc:
            raise ResponseLost(repr(exc)) from exc

    async def read(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Read the whole body."""
        if not self._response._has_pending_body():
            return bytes(self._response.body)
        if (self._response._remaining or 0) > limit:
            raise InvalidResponse('the body is too large')
        parts: list[bytes] = []
        size = 0
        async for piece in self.iter_chunks():
            size += len(piece)
            if size > limit:
                raise InvalidResponse('the body is too large')
            parts.append(piece)
        return b''.join(parts)

    async def _chunks(self) -> AsyncIterator[bytes]:
        # The library awaits twice for each chunk.
        body = ChunkedBody()
        while not body.is_whole:
            raw = await self._connection.read(_READ_BYTES)
            if not raw:
                raise EOFError('the body broke off')
            piece = body.feed(raw)
            if piece:
                yield piece

    def close(self) -> None:
        """Cut the connection, also under a reader that waits."""
        self._connection.keep = False
        self._connection.close()


class HttpClient:
    """Call one or many servers; a call's connection is its own."""

    def __init__(self, client: HTTPClient) -> None:
        """Take the library's client."""
        self._client = client

    @classmethod
    def from_config(cls) -> Self:
        """Keep no connections and take no proxies from the environment.

        Hosts are IP numbers; a call to a name is not sent.
        """
        connector = build_connector()
        return cls(HTTPClient(connector=connector, trust_env=False))

    async def open(self, call: HttpRequest) -> StreamedResponse:
        """Send a call and return once its headers came.

        Raises RequestNotSent when nothing was sent, else ResponseLost.
        """
        headers = list(call.headers)
        if not call.body and call.method in _BODY_METHODS:
            headers.append(('Content-Length', '0'))
        attempt = Attempt(call.connect)
        current_attempt.set(attempt)
        try:
            async with asyncio.timeout(call.response_timeout):
                response = await self._client.request(
                    call.url,
                    call.method,
                    headers=headers,
                    data=call.body or None,
                    timeouts=_NO_TIMEOUTS,
                    stream=True,
                )
        except _LOST as exc:
            raise _failure(exc, attempt) from exc
        return _checked(response)

    async def call(self, call: HttpRequest) -> HttpResponse:
        """Send a call and read the whole answer.

        The answer has to come within `call.response_timeout`.
        """
        try:
            async with asyncio.timeout(call.response_timeout):
                return await self._whole(call)
        except TimeoutError as exc:
            raise _failure(exc, current_attempt.get()) from exc

    async def close(self) -> None:
        """Close what is open."""
        await self._client.aclose()

    async def _whole(self, call: HttpRequest) -> HttpResponse:
        answer = await self.open(call)
        try:
            body = await answer.read()
        finally:
            answer.close()
        return HttpResponse(answer.status, answer.headers, body)


def _failure(exc: Exception, attempt: Attempt) -> MintlandingError:
    if not attempt.is_sent:
        return RequestNotSent(repr(exc))
    if isinstance(exc, TimeoutError):
        return ResponseTimeout('no answer in time')
    if isinstance(exc, _GARBAGE):
        return InvalidResponse(repr(exc))
    return ResponseLost(repr(exc))


def _checked(response: Any) -> StreamedResponse:
    # aiosonic takes a body without length or chunks for an empty one.
    bounded = (
        response.method == 'HEAD'
        or response.status_code in _NO_BODY_STATUSES
        or 'content-length' in response.headers
        or response.chunked
    )
    if not bounded:
        raise InvalidResponse('the answer gives no length')
    return StreamedResponse(response)
