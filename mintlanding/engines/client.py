"""Client of one model engine; docs/reference/engine-protocol.md."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from mintlanding.core.exceptions import (
    MintlandingError,
    RequestNotSent,
    ResponseLost,
    TargetError,
)
from mintlanding.core.http_client import (
    Headers,
    HttpRequest,
    HttpResponse,
    StreamedResponse,
)
from mintlanding.core.results import Done, Failed, Outcome, Ran, ResultCode
from mintlanding.engines import failures
from mintlanding.engines.base import TargetClient
from mintlanding.engines.messages import (
    AnswerHead,
    CacheEvent,
    EngineReport,
    LoadOrder,
    RoleOrder,
    UnloadOrder,
)
from mintlanding.engines.models import GenerateRequest
from mintlanding.engines.stream import EngineStream
from mintlanding.placement.messages import AdapterRef

ReplyT = TypeVar('ReplyT')

_OK = 200
_JSON = ('content-type', 'application/json')
_EVENT_STREAM = 'text/event-stream'
_ID_HEADER = 'x-request-id'


class WholeResponse:
    """A response that is not streamed, with the interface of a stream."""

    def __init__(self, answer: HttpResponse) -> None:
        """Wrap a complete response."""
        self.status = answer.status
        self.headers = answer.headers
        self.offset = 0
        self.is_complete = True
        self.body = answer.body

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield self.body

    def close(self) -> None:
        """Do nothing: the connection is already closed."""


OpenedResponse = EngineStream | WholeResponse


@dataclass(frozen=True, slots=True)
class EngineClient(TargetClient):
    """Calls to one engine, each on its own connection.

    A failure has `not_run` only if nothing was sent or the engine says so.
    Nothing is retried here.
    """

    async def generate(self, req: GenerateRequest) -> Outcome[OpenedResponse]:
        """Start a generation; Done means that the response has begun.

        Its adapter and request id are checked; nothing is forwarded yet.
        """
        headers: Headers = [
            *req.headers,
            _JSON,
            (_ID_HEADER, req.request_id),
            ('x-priority', str(int(req.priority))),
            ('x-workspace', req.workspace),
        ]
        bounds = self.timeouts
        seconds = bounds.first if req.is_stream else bounds.whole
        call = self._http_call('POST', req.path, headers, req.body, seconds)
        return await self._open(call, req.ref, req.request_id, 0)

    async def resume(
        self,
        ref: AdapterRef,
        request_id: str,
        offset: int,
    ) -> Outcome[OpenedResponse]:
        """Resume a stream after `offset` tokens."""
        path = f'/v1/streams/{quote(request_id, safe="")}?offset={offset}'
        call = self._http_call('GET', path)
        return await self._open(call, ref, request_id, offset)

    async def cancel(self, request_id: str) -> Outcome[None]:
        """Cancel a generation; Done also if there is none any more."""
        path = f'/v1/streams/{quote(request_id, safe="")}'
        outcome = await self._call('DELETE', path)
        return outcome if isinstance(outcome, Failed) else Done(None)

    async def load_adapter(
        self,
        ref: AdapterRef,
        weights: str,
        fencing: int,
    ) -> Outcome[None]:
        """Load an adapter; return when the load has ended or failed."""
        order = LoadOrder(str(ref), weights, fencing)
        return await self._order('/v1/load_lora_adapter', order)

    async def evict_adapter(
        self,
        ref: AdapterRef,
        fencing: int,
    ) -> Outcome[None]:
        """Evict an adapter."""
        order = UnloadOrder(str(ref), fencing)
        return await self._order('/v1/unload_lora_adapter', order)

    async def change_role(self, role: str, fencing: int) -> Outcome[None]:
        """Change the role of the engine."""
        return await self._order('/v1/role', RoleOrder(role, fencing))

    async def report(self) -> Outcome[EngineReport]:
        """Return the engine's load report, which lags."""
        return await self._read('/v1/report', EngineReport)

    async def cache_events(
        self,
        after: int,
    ) -> Outcome[tuple[CacheEvent, ...]]:
        """Return the events above a number; a gap in them is a lost event."""
        path = f'/v1/cache_events?after={after}'
        return await self._read(path, tuple[CacheEvent, ...])

    async def export_cache(self, prefix: str) -> Outcome[bytes]:
        """Return the KV cache of a prefix."""
        outcome = await self._call('GET', _cache_path(prefix))
        if isinstance(outcome, Failed):
            return outcome
        return Done(outcome.value.body)

    async def import_cache(self, prefix: str, block: bytes) -> Outcome[None]:
        """Import the KV cache of a prefix."""
        outcome = await self._call('PUT', _cache_path(prefix), block)
        return outcome if isinstance(outcome, Failed) else Done(None)

    async def _open(
        self,
        call: HttpRequest,
        ref: AdapterRef,
        request_id: str,
        offset: int,
    ) -> Outcome[OpenedResponse]:
        try:
            async with asyncio.timeout(call.response_timeout):
                answer = await self.client.open(call)
                return await self._check(answer, ref, request_id, offset)
        except TimeoutError:
            return Failed.of(
                ResultCode.target_timeout, 'no data before the timeout'
            )
        except (RequestNotSent, ResponseLost) as exc:
            return failures.from_call_error(exc, ResultCode.target_interrupted)
        except TargetError as exc:
            return failures.from_invalid_response(exc)

    async def _check(
        self,
        answer: StreamedResponse,
        ref: AdapterRef,
        request_id: str,
        offset: int,
    ) -> Outcome[OpenedResponse]:
        is_forwarded = False
        try:
            outcome = await self._read_head(answer, ref, request_id, offset)
            is_forwarded = isinstance(outcome, Done)
        finally:
            if not is_forwarded:
                answer.close()
        return outcome

    async def _read_head(
        self,
        answer: StreamedResponse,
        ref: AdapterRef,
        request_id: str,
        offset: int,
    ) -> Outcome[OpenedResponse]:
        if answer.status != _OK:
            return failures.from_error_response(
                answer.status, await answer.read()
            )
        if answer.header('content-type').startswith(_EVENT_STREAM):
            stream = EngineStream(answer, self.timeouts.silence, offset)
            head = await stream.open()
            return _mismatch(head, ref, request_id) or Done(stream)
        body = await answer.read()
        whole = WholeResponse(HttpResponse(answer.status, answer.headers, body))
        head = _decode(body, AnswerHead)
        return _mismatch(head, ref, request_id) or Done(whole)

    async def _order(self, path: str, order: msgspec.Struct) -> Outcome[None]:
        body = msgspec.json.encode(order)
        outcome = await self._call('POST', path, body, self.timeouts.order)
        return outcome if isinstance(outcome, Failed) else Done(None)

    async def _read(self, path: str, kind: type[ReplyT]) -> Outcome[ReplyT]:
        outcome = await self._call('GET', path)
        if isinstance(outcome, Failed):
            return outcome
        try:
            return Done(_decode(outcome.value.body, kind))
        except TargetError as exc:
            return Failed.of(ResultCode.target_garbage, str(exc))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        seconds: float | None = None,
    ) -> Outcome[HttpResponse]:
        seconds = seconds or self.timeouts.report
        call = self._http_call(method, path, [_JSON], body, seconds)
        try:
            answer = await self.client.call(call)
        except MintlandingError as exc:
            return failures.from_call_error(exc, ResultCode.outcome_unknown)
        if answer.status != _OK:
            return failures.from_error_response(answer.status, answer.body)
        return Done(answer)

    def _http_call(
        self,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b'',
        seconds: float | None = None,
    ) -> HttpRequest:
        return HttpRequest(
            method,
            self.url + path,
            headers or [],
            body,
            self.timeouts.connect,
            seconds or self.timeouts.first,
        )


def _mismatch(
    head: AnswerHead | None,
    ref: AdapterRef,
    request_id: str,
) -> Failed | None:
    if head is None:
        return None
    if head.model != str(ref):
        return Failed.of(ResultCode.target_wrong_adapter, head.model)
    if not head.id.endswith(request_id):
        return Failed(
            ResultCode.target_garbage,
            'the response belongs to another request',
            Ran.unknown,
        )
    return None


def _decode(body: bytes, kind: type[ReplyT]) -> ReplyT:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as exc:
        raise TargetError(f'invalid response: {exc}') from exc


def _cache_path(prefix: str) -> str:
    return f'/v1/kv_cache/{quote(prefix, safe="")}'
