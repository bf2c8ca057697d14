"""Completions: authenticate, select, charge, dispatch, relay, settle."""

import asyncio
import random
from dataclasses import dataclass

from mintlanding.agent.messages import SettleRequest, TokenRequest
from mintlanding.configuration.models import Key, Workspace
from mintlanding.configuration.resolver import Resolution
from mintlanding.core.results import Done, Failed, Outcome, Ran, ResultCode
from mintlanding.engines.models import GenerateRequest
from mintlanding.engines.relay import is_stream
from mintlanding.engines.stream import StreamBroken
from mintlanding.entry.bodies import Completion
from mintlanding.entry.context import EntryContext
from mintlanding.entry.dispatch import Dispatcher, Job
from mintlanding.entry.endpoint import Endpoint, EndpointParts
from mintlanding.entry.exchange import Exchange
from mintlanding.entry.generation import Generation
from mintlanding.entry.open_requests import OpenRequest
from mintlanding.entry.targets import pool_of
from mintlanding.entry.usage import Usage
from mintlanding.placement.messages import ReserveRequest
from mintlanding.reports.meters import RequestMeter

STREAM_HEADERS = {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
}
STALE_HEADER = 'x-mintlanding-stale-seconds'
STALE_AFTER_SECONDS = 8


@dataclass(frozen=True, slots=True)
class Prepared:
    """A request that has passed all checks and is not charged yet."""

    key: Key
    workspace: Workspace
    completion: Completion
    resolution: Resolution


class CompletionEndpoint(Endpoint):
    """`POST /v1/completions` and `POST /v1/chat/completions`."""

    def __init__(
        self,
        shared: EndpointParts,
        context: EntryContext,
        dispatcher: Dispatcher,
    ) -> None:
        """Take what all endpoints share and what completions need."""
        super().__init__(shared)
        self._context = context
        self._dispatcher = dispatcher

    async def serve(self, exchange: Exchange) -> None:
        """Serve one completion."""
        prepared = await self._prepare(exchange)
        if isinstance(prepared, Failed):
            await self.fail(exchange, prepared)
            return
        await self.run_tracked(
            exchange,
            prepared.value.key.name,
            lambda opened: self._run(exchange, prepared.value, opened),
        )

    async def _prepare(self, exchange: Exchange) -> Outcome[Prepared]:
        first = self.authenticator.authenticate(exchange)
        if isinstance(first, Failed):
            return first
        cfg = self._context.entry
        body = await exchange.read_body(cfg.max_body_bytes, cfg.body_timeout)
        if isinstance(body, Failed):
            return body
        completion = Completion.from_body(
            body.value,
            exchange.headers.get('content-type', ''),
        )
        if isinstance(completion, Failed):
            return completion
        # The key may have been withdrawn while the body arrived.
        key = self.authenticator.authenticate(exchange)
        if isinstance(key, Failed):
            return key
        return self._resolve(key.value, completion.value)

    def _resolve(self, key: Key, completion: Completion) -> Outcome[Prepared]:
        view = self._context.view
        workspace = view.directory.workspace(key.workspace)
        if workspace is None:
            return Failed.of(ResultCode.workspace_forbidden)
        resolution = view.resolver.resolve(
            completion.body.model,
            key.workspace,
            completion.body.user or key.name,
            random.Random(),  # noqa: S311
        )
        if isinstance(resolution, Failed):
            return resolution
        return Done(Prepared(key, workspace, completion, resolution.value))

    async def _run(
        self,
        exchange: Exchange,
        prepared: Prepared,
        opened: OpenRequest,
    ) -> None:
        request_id = exchange.request_id
        reserved = prepared.completion.total_tokens
        usage = Usage(prepared.completion.input_tokens)
        meter = self._meter(prepared)
        req = TokenRequest(request_id, prepared.workspace.name, reserved)
        try:
            tokens = await self._context.control.reserve_tokens(req)
            if isinstance(tokens, Failed):
                meter.fail(tokens)
                await self.fail(exchange, tokens)
                return
            async with asyncio.timeout(self._context.entry.request_timeout):
                await self._dispatch(
                    exchange,
                    self._job(exchange, prepared, opened),
                    usage,
                    meter,
                )
        except TimeoutError:
            # A pin may not outlive the longest life of a reservation.
            failure = Failed.of(ResultCode.target_timeout)
            meter.fail(failure)
            await self.fail(exchange, failure)
        finally:
            settle = SettleRequest(
                request_id,
                prepared.workspace.name,
                reserved,
                usage.total,
            )
            self._context.background.spawn(
                self._context.control.settle_tokens(settle),
            )

    async def _dispatch(
        self,
        exchange: Exchange,
        job: Job,
        usage: Usage,
        meter: RequestMeter,
    ) -> None:
        started_at = self._context.clock.monotonic()
        started = await self._dispatcher.start(job)
        if isinstance(started, Failed):
            usage.note_failure(started)
            meter.fail(started)
            await self.fail(exchange, started)
            return
        generation = started.value
        waited = self._context.clock.monotonic() - started_at
        self.metrics.timing('entry.first_token', waited)
        self.metrics.timing('entry.load_stall', generation.stalled)
        meter.note_first_token(generation.stalled)
        try:
            await self._relay(exchange, generation, usage, meter)
        finally:
            usage.note_answer(generation.relay.opened)
            self._dispatcher.finish(generation, usage.total)

    async def _relay(
        self,
        exchange: Exchange,
        generation: Generation,
        usage: Usage,
        meter: RequestMeter,
    ) -> None:
        usage.has_run = True
        answer = generation.relay.opened
        headers = STREAM_HEADERS if is_stream(answer) else _JSON_HEADERS
        await exchange.start(answer.status, {**headers, **self._marks()})
        try:
            async for chunk in generation.relay.chunks():
                await exchange.send_chunk(chunk)
        except StreamBroken as exc:
            failure = Failed(
                ResultCode.target_interrupted,
                str(exc),
                Ran.ran,
            )
            meter.fail(failure)
            await self.fail(exchange, failure)
            return
        meter.end(generation.relay.opened.offset)
        await exchange.finish()
        self.metrics.count('entry.results.ok')

    def _meter(self, prepared: Prepared) -> RequestMeter:
        return RequestMeter(
            self._context.samples,
            self._context.clock,
            prepared.workspace.name,
            prepared.resolution.service,
            prepared.resolution.ref.adapter,
        )

    def _marks(self) -> dict[str, str]:
        stale = self._context.view.stale_seconds
        if stale < STALE_AFTER_SECONDS:
            return {}
        return {STALE_HEADER: f'{stale:.0f}'}

    def _job(
        self,
        exchange: Exchange,
        prepared: Prepared,
        opened: OpenRequest,
    ) -> Job:
        completion = prepared.completion
        resolution = prepared.resolution
        body = completion.encode_for(str(resolution.ref))
        generate = GenerateRequest(
            body=body,
            path=exchange.path,
            ref=resolution.ref,
            request_id=exchange.request_id,
            workspace=prepared.workspace.name,
            priority=completion.priority,
            is_stream=completion.body.stream,
        )
        reserve = ReserveRequest(
            reservation_id=exchange.request_id,
            worker='',
            workspace=prepared.workspace.name,
            ref=resolution.ref,
            tokens=completion.total_tokens,
            weight=prepared.workspace.weight,
            priority=completion.priority,
            wait=self._context.entry.queue_timeout,
            prefix=completion.prefix_hash,
            entry=self._context.cfg.instance,
        )
        service = self._context.view.directory.service(resolution.service)
        deadline = (
            self._context.clock.monotonic() + self._context.entry.queue_timeout
        )
        return Job(
            generate,
            reserve,
            pool_of(resolution, completion.body.model),
            deadline,
            opened.note_sent,
            is_repeatable=bool(service and service.repeatable),
        )


_JSON_HEADERS = {'content-type': 'application/json'}
