"""Calls of plain services: method, path, body and status passed through."""

import asyncio
import random
from dataclasses import dataclass

from mintlanding.configuration.models import Key, Service
from mintlanding.core.results import Done, Failed, Outcome, Ran, ResultCode
from mintlanding.engines.headers import CredentialFilter
from mintlanding.engines.models import Headers, PlainAnswer
from mintlanding.entry.context import EntryContext
from mintlanding.entry.endpoint import Endpoint, EndpointParts
from mintlanding.entry.exchange import Exchange
from mintlanding.entry.open_requests import OpenRequest
from mintlanding.orders.models import Claim, OrderRequest, Replay, StoredAnswer
from mintlanding.reports.meters import RequestMeter
from mintlanding.routing.models import Attempt, Progress, RetryAfter

IDEMPOTENCY_HEADER = 'idempotency-key'
REPLAYED_HEADER = 'idempotency-replayed'

_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_DROPPED_ANSWER_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
    ),
)


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A checked call of a plain service."""

    service: Service
    workspace: str
    key_id: str
    method: str
    path: str
    headers: Headers
    body: bytes
    idempotency_key: str

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the call may be sent more than once."""
        return self.service.repeatable or self.method in _SAFE_METHODS

    @property
    def order(self) -> OrderRequest | None:
        """Return the order to claim, when the caller gave a key for one."""
        if self.is_idempotent or not self.idempotency_key:
            return None
        path = f'{self.service.name}{self.path}'
        return OrderRequest(
            self.workspace,
            self.idempotency_key,
            self.method,
            path,
            self.body,
        )


class ServiceEndpoint(Endpoint):
    """`/services/{service}/{path}`."""

    def __init__(
        self,
        shared: EndpointParts,
        context: EntryContext,
        credentials: CredentialFilter,
    ) -> None:
        """Take what all endpoints share and what services need."""
        super().__init__(shared)
        self._context = context
        self._credentials = credentials
        self._rnd = random.Random()  # noqa: S311

    async def serve(self, exchange: Exchange) -> None:
        """Serve one call."""
        prepared = await self._prepare(exchange)
        if isinstance(prepared, Failed):
            await self.fail(exchange, prepared)
            return
        call = prepared.value
        await self.run_tracked(
            exchange,
            call.key_id,
            lambda opened: self._run(exchange, call, opened),
        )

    async def _prepare(self, exchange: Exchange) -> Outcome[ServiceCall]:
        first = self._admit(exchange)
        if isinstance(first, Failed):
            return first
        cfg = self._context.entry
        body = await exchange.read_body(cfg.max_body_bytes, cfg.body_timeout)
        if isinstance(body, Failed):
            return body
        # Key and route may have changed while the body arrived.
        admitted = self._admit(exchange)
        if isinstance(admitted, Failed):
            return admitted
        return Done(self._call(exchange, admitted.value, body.value))

    def _admit(
        self,
        exchange: Exchange,
    ) -> Outcome[tuple[Service, Key | None]]:
        name = str(exchange.path_params['service'])
        service = self._context.view.directory.service(name)
        if self._context.view.is_ready and (service is None or service.engine):
            return Failed.of(ResultCode.unknown_route)
        if service is not None and service.is_open:
            return Done((service, None))
        key = self.authenticator.authenticate(exchange)
        if isinstance(key, Failed):
            return key
        if service is None:
            return Failed.of(ResultCode.unknown_route)
        return Done((service, key.value))

    def _call(
        self,
        exchange: Exchange,
        admitted: tuple[Service, Key | None],
        body: bytes,
    ) -> ServiceCall:
        service, key = admitted
        credentials = self._credentials
        secret = self.authenticator.present_text(exchange)
        query = credentials.clean_query(exchange.query, secret)
        path = f'/{exchange.path_params["path"]}'
        headers = credentials.clean_headers(exchange.headers.items(), secret)
        return ServiceCall(
            service=service,
            workspace=key.workspace if key else '',
            key_id=key.name if key else '',
            method=exchange.method,
            path=f'{path}?{query}' if query else path,
            headers=headers,
            body=body,
            idempotency_key=exchange.headers.get(IDEMPOTENCY_HEADER, ''),
        )

    async def _run(
        self,
        exchange: Exchange,
        call: ServiceCall,
        opened: OpenRequest,
    ) -> None:
        order = call.order
        meter = RequestMeter(
            self._context.samples,
            self._context.clock,
            call.workspace,
            call.service.name,
        )
        if order is None:
            outcome = await self._send_detached(call, opened)
            _meter_outcome(meter, outcome)
            await self._answer(exchange, outcome)
            return
        claimed = await self._context.ledger.claim(order)
        if isinstance(claimed, Failed):
            meter.fail(claimed)
            await self.fail(exchange, claimed)
        elif isinstance(claimed.value, Replay):
            await self._replay(exchange, claimed.value.answer)
        else:
            sending = self._send_order(call, claimed.value, opened)
            outcome = await self._context.background.run(sending)
            _meter_outcome(meter, outcome)
            await self._answer(exchange, outcome)

    async def _send_detached(
        self,
        call: ServiceCall,
        opened: OpenRequest,
    ) -> Outcome[PlainAnswer]:
        """Send; a call that may not be repeated outlives its caller."""
        if call.is_idempotent:
            return await self._send(call, opened)
        return await self._context.background.run(self._send(call, opened))

    async def _send_order(
        self,
        call: ServiceCall,
        claim: Claim,
        opened: OpenRequest,
    ) -> Outcome[PlainAnswer]:
        ledger = self._context.ledger
        outcome = await self._send(call, opened, claim)
        if isinstance(outcome, Done):
            await ledger.finish(claim, _stored(outcome.value))
        elif outcome.ran is Ran.not_run:
            await ledger.release(claim)
        else:
            await ledger.lose(claim)
        return outcome

    async def _send(
        self,
        call: ServiceCall,
        opened: OpenRequest,
        claim: Claim | None = None,
    ) -> Outcome[PlainAnswer]:
        self._context.retries.budget.note_first_try()
        deadline = (
            self._context.clock.monotonic()
            + self._context.entry.request_timeout
        )
        tried: set[str] = set()
        last: Failed | None = None
        while True:
            if claim and not claim.may_send(self._context.clock.monotonic()):
                return last or Failed.of(ResultCode.idempotency_unavailable)
            outcome = await self._try_target(call, tried, opened)
            if outcome is None:
                return last or _no_target()
            if isinstance(outcome, Done):
                return outcome
            decision = self._decide(call, outcome, len(tried), deadline)
            if isinstance(decision, Failed):
                return decision
            last = outcome
            await asyncio.sleep(decision.seconds)

    async def _try_target(
        self,
        call: ServiceCall,
        tried: set[str],
        opened: OpenRequest,
    ) -> Outcome[PlainAnswer] | None:
        targets = self._context.targets
        route = targets.choose_plain(
            call.service.name,
            tried,
            is_repeatable=call.is_idempotent,
        )
        if isinstance(route, Failed):
            return None
        target = route.value.target
        tried.add(target)
        client = targets.plain_client(route.value)
        opened.note_sent()
        targets.plain.started(target)
        try:
            outcome = await client.call(
                call.method,
                call.path,
                call.headers,
                call.body,
            )
        finally:
            targets.plain.ended(target)
        self._note_health(target, outcome)
        return outcome

    def _note_health(
        self,
        target: str,
        outcome: Outcome[PlainAnswer],
    ) -> None:
        circuits = self._context.targets.plain.circuits
        if isinstance(outcome, Done):
            circuits.succeeded(target)
            return
        now = self._context.clock.monotonic()
        circuits.failed(target, now, self._rnd)

    def _decide(
        self,
        call: ServiceCall,
        failure: Failed,
        tries: int,
        deadline: float,
    ) -> RetryAfter | Failed:
        progress = Progress.sent
        if failure.ran is Ran.not_run:
            progress = Progress.not_sent
        attempt = Attempt(progress, call.is_idempotent, tries, deadline)
        now = self._context.clock.monotonic()
        return self._context.retries.decide(attempt, failure, now, self._rnd)

    async def _answer(
        self,
        exchange: Exchange,
        outcome: Outcome[PlainAnswer],
    ) -> None:
        if isinstance(outcome, Failed):
            await self.fail(exchange, outcome)
            return
        answer = outcome.value
        headers = {
            name.lower(): text
            for name, text in answer.headers
            if name.lower() not in _DROPPED_ANSWER_HEADERS
        }
        headers['content-length'] = str(len(answer.body))
        await exchange.start(answer.status, headers)
        await exchange.finish(answer.body)
        self.metrics.count('entry.results.ok')

    async def _replay(
        self,
        exchange: Exchange,
        stored: StoredAnswer,
    ) -> None:
        headers = {
            'content-type': stored.content_type or 'text/plain',
            'content-length': str(len(stored.body)),
            REPLAYED_HEADER: 'true',
        }
        await exchange.start(stored.status, headers)
        await exchange.finish(stored.body)
        self.metrics.count('entry.results.replayed')


def _meter_outcome(
    meter: RequestMeter,
    outcome: Outcome[PlainAnswer],
) -> None:
    if isinstance(outcome, Failed):
        meter.fail(outcome)
    else:
        meter.end()


def _stored(answer: PlainAnswer) -> StoredAnswer:
    content_types = [
        text for name, text in answer.headers if name.lower() == 'content-type'
    ]
    content_type = content_types[0] if content_types else ''
    return StoredAnswer(answer.status, content_type, answer.body)


def _no_target() -> Failed:
    return Failed(ResultCode.no_target, retry_after=1)
