"""Stand-in for an inference engine with an OpenAI-style HTTP API."""

import asyncio
import time
from typing import Any, NoReturn

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import BaseRoute, Route

from mintlanding.core.exceptions import MintlandingError
from mintlanding.core.http_client import HttpClient, HttpRequest
from mintlanding.engines.messages import (
    CacheEvent,
    EngineReport,
    LoadOrder,
    RoleOrder,
    UnloadOrder,
)
from mintlanding.standin.base import KINDS, Standin, reply_json
from mintlanding.standin.engine_model import EngineModel, OrderResult, Run
from mintlanding.standin.records import Record
from mintlanding.standin.response_bodies import (
    reply_error,
    reply_whole,
)
from mintlanding.standin.settings import StandinSettings
from mintlanding.standin.streams import stream_events

_NANOSECONDS_IN_MICROSECOND = 1000
_FETCH_SECONDS = 120
_KV_LIMIT_FACTOR = 2
_HIDDEN_EVENTS = 2
_LOAD_FAILED_STATUS = 500


class GenerateBody(msgspec.Struct):
    """Fields of a generation request that the stand-in reads."""

    model: str
    prompt: Any = ''
    messages: Any = ()
    max_tokens: int = 16
    stream: bool = False


@KINDS.register('engine')
class EngineStandin(Standin):
    """Generate tokens at a constant pace, for adapters in a few slots."""

    def __init__(self, settings: StandinSettings) -> None:
        """Create an engine without adapters, with a new incarnation."""
        super().__init__(settings)
        self.model = self._build_model()
        self._client = HttpClient.from_config()
        self._has_runs = asyncio.Event()
        self._report = self._build_report()
        self._loads: dict[str, asyncio.Task[OrderResult]] = {}

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the engine's API."""
        return [
            Route('/v1/completions', self._generate, methods=['POST']),
            Route('/v1/chat/completions', self._generate, methods=['POST']),
            Route('/v1/streams/{id}', self._resume, methods=['GET']),
            Route('/v1/streams/{id}', self._cancel, methods=['DELETE']),
            Route('/v1/load_lora_adapter', self._load, methods=['POST']),
            Route('/v1/unload_lora_adapter', self._unload, methods=['POST']),
            Route('/v1/role', self._set_role, methods=['POST']),
            Route('/v1/report', self._get_report, methods=['GET']),
            Route('/v1/kv_cache/{prefix}', self._export_block, methods=['GET']),
            Route('/v1/kv_cache/{prefix}', self._import_block, methods=['PUT']),
            Route('/v1/cache_events', self._list_events, methods=['GET']),
        ]

    async def run_background(self) -> NoReturn:
        """Step the batch while there are requests."""
        while True:
            if self.model.is_idle:
                self._has_runs.clear()
                await self._has_runs.wait()
            await asyncio.sleep(self.settings.step_seconds)
            if not self.faults.frozen:
                self.model.step()

    def restart_cold(self) -> None:
        """Lose adapters, requests, cache and the fencing token."""
        for run in self.model.runs.values():
            run.cancelled = True
            run.notify()
        self.records.add(Record('restart'))
        self.model = self._build_model()
        self._report = self._build_report()

    def _build_model(self) -> EngineModel:
        incarnation = time.time_ns() // _NANOSECONDS_IN_MICROSECOND
        return EngineModel(self.settings, incarnation)

    async def _generate(self, req: Request) -> Response:
        try:
            body = msgspec.json.decode(await req.body(), type=GenerateBody)
        except msgspec.DecodeError as exc:
            return reply_error(422, 'invalid_body', str(exc))
        if body.model not in self.model.resident:
            self.records.add(_run_record('refused', req, body.model))
            return reply_error(409, 'adapter_not_resident', body.model)
        run = self._accept(req, body)
        if body.stream:
            return self._stream(run, 0)
        while not run.is_over:
            await run.changed.wait()
        if run.cancelled:
            return reply_error(500, 'cancelled', 'the run ended', ran=True)
        return reply_whole(run, self.faults)

    def _accept(self, req: Request, body: GenerateBody) -> Run:
        record = _run_record('run', req, body.model)
        self.records.add(record)
        run = Run(
            request_id=record.request_id,
            adapter=body.model,
            workspace=record.workspace,
            total=body.max_tokens,
            priority=int(req.headers.get('x-priority', '0')),
            order=0,
            chat=req.url.path.endswith('chat/completions'),
        )
        self.model.accept(run)
        self.model.cache_prompt(body.model, str(body.prompt or body.messages))
        self._has_runs.set()
        return run

    def _stream(self, run: Run, offset: int) -> Response:
        events = stream_events(
            run,
            offset,
            self.faults,
            self.settings.ping_seconds,
        )
        return StreamingResponse(
            events,
            media_type='text/event-stream',
            headers={'x-request-id': run.request_id},
        )

    async def _resume(self, req: Request) -> Response:
        run = self.model.runs.get(req.path_params['id'])
        if run is None:
            return reply_error(404, 'unknown_stream', 'no such stream')
        offset = int(req.query_params.get('offset', '0'))
        self.records.add(
            Record('resume', request_id=run.request_id, detail=str(offset)),
        )
        return self._stream(run, offset)

    async def _cancel(self, req: Request) -> Response:
        request_id = req.path_params['id']
        cancelled = self.model.cancel(request_id)
        if cancelled:
            self.records.add(Record('cancel', request_id=request_id))
        return reply_json({'cancelled': cancelled})

    async def _load(self, req: Request) -> Response:
        order = msgspec.json.decode(await req.body(), type=LoadOrder)
        name = order.lora_name
        if not self._check_fencing(order.fencing):
            return self._reply_to_order(
                'load', name, order, OrderResult.old_fencing
            )
        if name in self.model.resident:
            return self._reply_to_order('load', name, order, OrderResult.done)
        if name not in self._loads and not self.model.has_free_slot():
            return self._reply_to_order(
                'load', name, order, OrderResult.no_free_slot
            )
        if name not in self._loads:
            task = asyncio.create_task(self._load_weights(self.model, order))
            self._loads[name] = task
        outcome = await asyncio.shield(self._loads[name])
        return self._reply_to_order('load', name, order, outcome)

    async def _load_weights(
        self, model: EngineModel, order: LoadOrder
    ) -> OrderResult:
        model.loading.add(order.lora_name)
        try:
            loaded = await self._fetch_weights(order)
        finally:
            model.loading.discard(order.lora_name)
            self._loads.pop(order.lora_name, None)
        if not loaded or model is not self.model:
            return OrderResult.load_failed
        model.resident.add(order.lora_name)
        return OrderResult.done

    async def _fetch_weights(self, order: LoadOrder) -> bool:
        if self.faults.fail_loads:
            self.faults.fail_loads -= 1
            return False
        if not self.settings.store_url:
            await asyncio.sleep(self.settings.load_seconds)
            return True
        path = order.lora_path or order.lora_name
        url = f'{self.settings.store_url}/weights/{path}'
        try:
            response = await self._client.call(
                HttpRequest('GET', url, response_timeout=_FETCH_SECONDS),
            )
        except MintlandingError:
            return False
        return response.status == 200

    async def _unload(self, req: Request) -> Response:
        order = msgspec.json.decode(await req.body(), type=UnloadOrder)
        name = order.lora_name
        if not self._check_fencing(order.fencing):
            return self._reply_to_order(
                'evict', name, order, OrderResult.old_fencing
            )
        if self.model.is_running(name):
            self.records.add(Record('evict while running', adapter=name))
            if not self.faults.evict_running:
                result = OrderResult.adapter_running
                return self._reply_to_order('evict', name, order, result)
        self.model.resident.discard(name)
        return self._reply_to_order('evict', name, order, OrderResult.done)

    async def _set_role(self, req: Request) -> Response:
        order = msgspec.json.decode(await req.body(), type=RoleOrder)
        if not self._check_fencing(order.fencing):
            result = OrderResult.old_fencing
            return self._reply_to_order('role', order.role, order, result)
        self.model.role = order.role
        return self._reply_to_order('role', order.role, order, OrderResult.done)

    def _check_fencing(self, fencing: int) -> bool:
        ignore = self.faults.ignore_fencing or not self.settings.checks_fencing
        return self.model.check_fencing(fencing, ignore)

    def _reply_to_order(
        self,
        event: str,
        name: str,
        order: LoadOrder | UnloadOrder | RoleOrder,
        result: OrderResult,
    ) -> Response:
        self.records.add(
            Record(event, adapter=name, fencing=order.fencing, detail=result),
        )
        if result is OrderResult.done:
            return reply_json({'result': result})
        status = (
            _LOAD_FAILED_STATUS if result is OrderResult.load_failed else 409
        )
        return reply_error(status, result, name)

    async def _get_report(self, req: Request) -> Response:
        lag = self.faults.lag_seconds
        if not lag:
            self._report = self._build_report()
            return reply_json(self._report)
        loop = asyncio.get_running_loop()
        loop.call_later(lag, self._publish_report, self._build_report())
        return reply_json(self._report)

    def _publish_report(self, report: EngineReport) -> None:
        if report.incarnation == self.model.incarnation:
            self._report = report

    def _build_report(self) -> EngineReport:
        model = self.model
        limit = self.settings.batch_limit * _KV_LIMIT_FACTOR
        return EngineReport(
            incarnation=model.incarnation,
            resident=tuple(sorted(model.resident)),
            loading=tuple(sorted(model.loading)),
            busy=tuple(sorted(model.busy)),
            running=model.running,
            queued=model.queued,
            kv_use=min(1, (model.running + model.queued) / limit),
            role=model.role,
            fencing=model.fencing,
            steps=model.steps,
            batched=model.batched,
        )

    async def _export_block(self, req: Request) -> Response:
        block = self.model.cache.get(req.path_params['prefix'])
        if block is None:
            return reply_error(404, 'unknown_prefix', 'not cached')
        return Response(block, media_type='application/octet-stream')

    async def _import_block(self, req: Request) -> Response:
        prefix = req.path_params['prefix']
        self.model.store_prefix(prefix, await req.body(), '')
        return reply_json({})

    async def _list_events(self, req: Request) -> Response:
        after = int(req.query_params.get('after', '0'))
        events = [CacheEvent(*each) for each in self.model.events]
        hidden_count = _HIDDEN_EVENTS if self.faults.lag_seconds else 0
        visible = events[: len(events) - hidden_count]
        return reply_json([each for each in visible if each.number > after])


def _run_record(event: str, req: Request, model: str) -> Record:
    adapter, _, version = model.partition('@')
    return Record(
        event,
        request_id=req.headers.get('x-request-id', ''),
        adapter=adapter,
        version=version,
        workspace=req.headers.get('x-workspace', ''),
        path=req.url.path,
        headers=tuple(sorted(set(req.headers.keys()))),
        query=tuple(sorted(set(req.query_params.keys()))),
    )
