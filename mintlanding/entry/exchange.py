"""One caller's HTTP exchange over ASGI."""

import asyncio
import math
import uuid
from collections.abc import Mapping
from typing import Any

import msgspec
from starlette.datastructures import Headers
from starlette.types import Message, Receive, Scope, Send

from mintlanding.core.http_server import TRANSPORT_KEY
from mintlanding.core.results import Done, Failed, Outcome, ResultCode

JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream'
REQUEST_ID_HEADER = 'x-request-id'
SEND_SECONDS = 30


class CallerDisconnectedError(Exception):
    """The caller closed the connection before the response was complete."""


class Exchange:
    """Read a caller's request and write the response, at most once."""

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Wrap the ASGI arguments of one request."""
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.query: str = scope['query_string'].decode('latin-1')
        self.headers = Headers(scope=scope)
        self.path_params: Mapping[str, Any] = scope.get('path_params', {})
        self.request_id = uuid.uuid4().hex
        self.extra_headers = {REQUEST_ID_HEADER: self.request_id}
        self.is_started = False
        self._is_stream = False
        self._transport: asyncio.Transport | None = scope.get(TRANSPORT_KEY)
        self._receive = receive
        self._send = send

    async def read_body(self, limit: int, timeout: float) -> Outcome[bytes]:
        """Read the whole body of at most `limit` bytes in `timeout` seconds."""
        declared = self.headers.get('content-length', '0')
        if declared.isdigit() and int(declared) > limit:
            return Failed.of(ResultCode.body_too_large, f'limit {limit} bytes')
        try:
            async with asyncio.timeout(timeout):
                return await self._read_chunks(limit)
        except TimeoutError:
            return Failed.of(ResultCode.body_timeout)

    async def wait_for_disconnect(self) -> None:
        """Return when the caller has closed the connection."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send status and headers."""
        self.is_started = True
        merged = {**headers, **self.extra_headers}
        content_type = merged.get('content-type', '')
        self._is_stream = content_type.startswith(EVENT_STREAM_TYPE)
        pairs = [
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in merged.items()
        ]
        await self._transmit(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': pairs,
            }
        )

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self._transmit(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': True,
            }
        )

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last chunk of the body."""
        await self._transmit({'type': 'http.response.body', 'body': chunk})

    async def send_json(
        self,
        status: int,
        payload: object,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Answer with a JSON document."""
        body = msgspec.json.encode(payload)
        await self.start(
            status,
            {
                'content-type': JSON_TYPE,
                'content-length': str(len(body)),
                **(headers or {}),
            },
        )
        await self.finish(body)

    async def fail(self, failure: Failed) -> None:
        """Answer with an error in JSON, or end a started stream with one.

        Any other started response is cut off: it must not look complete.
        """
        if self.is_started and self._is_stream:
            body = msgspec.json.encode(error_payload(failure))
            await self.finish(b'data: ' + body + b'\n\n')
            return
        if self.is_started:
            await self._abort()
            return
        await self.send_json(
            failure.row.status,
            error_payload(failure),
            error_headers(failure),
        )

    async def _read_chunks(self, limit: int) -> Outcome[bytes]:
        received = bytearray()
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnectedError
            received += message.get('body', b'')
            if len(received) > limit:
                return Failed.of(
                    ResultCode.body_too_large,
                    f'limit {limit} bytes',
                )
            if not message.get('more_body', False):
                return Done(bytes(received))

    async def _abort(self) -> None:
        if self._transport is None:
            raise CallerDisconnectedError
        self._transport.abort()
        # The server learns of the close before the application returns.
        await asyncio.sleep(0)

    async def _transmit(self, message: Message) -> None:
        try:
            async with asyncio.timeout(SEND_SECONDS):
                await self._send(message)
        except OSError as exc:
            raise CallerDisconnectedError from exc


def error_payload(failure: Failed) -> dict[str, Any]:
    """Return the JSON body of errors for callers and operators."""
    sentence = failure.row.sentence
    message = f'{sentence} {failure.detail}' if failure.detail else sentence
    body: dict[str, Any] = {
        'code': int(failure.code),
        'type': failure.code.name,
        'message': message,
        'ran': failure.ran.value,
    }
    if failure.retry_after is not None:
        body['retry_after'] = round(failure.retry_after, 3)
    return {'error': body}


def error_headers(failure: Failed) -> dict[str, str]:
    """Return the Retry-After header, rounded up to whole seconds."""
    if failure.retry_after is None:
        return {}
    return {'retry-after': str(max(1, math.ceil(failure.retry_after)))}
