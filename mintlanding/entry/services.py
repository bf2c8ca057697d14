"""Proxy calls of plain services: method, path, body and status."""

from mintlanding.configuration.models import Key, Service
from mintlanding.core.results import Done, Failed, Outcome, ResultCode
from mintlanding.engines.headers import CredentialFilter
from mintlanding.engines.models import PlainAnswer
from mintlanding.entry.context import EntryContext
from mintlanding.entry.endpoint import Endpoint, EndpointContext
from mintlanding.entry.exchange import Exchange
from mintlanding.entry.open_requests import OpenRequest
from mintlanding.entry.service_calls import ServiceCall, ServiceSender
from mintlanding.idempotency.models import Replay, StoredResponse
from mintlanding.reports.meters import RequestMeter

IDEMPOTENCY_HEADER = 'idempotency-key'
REPLAYED_HEADER = 'idempotency-replayed'

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


class ServiceEndpoint(Endpoint):
    """Any method on `/services/{service}/{path}`."""

    def __init__(
        self,
        shared: EndpointContext,
        context: EntryContext,
        credentials: CredentialFilter,
    ) -> None:
        """Serve calls; `credentials` removes the caller's key from them."""
        super().__init__(shared)
        self._context = context
        self._credentials = credentials
        self._sender = ServiceSender(context)

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
            lambda open_request: self._run(exchange, call, open_request),
        )

    async def _prepare(self, exchange: Exchange) -> Outcome[ServiceCall]:
        early_check = self._authorize(exchange)
        if isinstance(early_check, Failed):
            return early_check
        cfg = self._context.entry
        body = await exchange.read_body(cfg.max_body_bytes, cfg.body_timeout)
        if isinstance(body, Failed):
            return body
        # Key and route may have changed while the body arrived.
        authorized = self._authorize(exchange)
        if isinstance(authorized, Failed):
            return authorized
        return Done(self._call(exchange, authorized.value, body.value))

    def _authorize(
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
        authorized: tuple[Service, Key | None],
        body: bytes,
    ) -> ServiceCall:
        service, key = authorized
        credentials = self._credentials
        secret = self.authenticator.find_key_text(exchange)
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
        open_request: OpenRequest,
    ) -> None:
        idempotent_request = call.idempotent_request
        meter = RequestMeter(
            self._context.samples,
            self._context.clock,
            call.workspace,
            call.service.name,
        )
        if idempotent_request is None:
            outcome = await self._sender.send(call, open_request)
            _meter_outcome(meter, outcome)
            await self._answer(exchange, outcome)
            return
        claimed = await self._context.ledger.claim(idempotent_request)
        if isinstance(claimed, Failed):
            meter.fail(claimed)
            await self.fail(exchange, claimed)
        elif isinstance(claimed.value, Replay):
            await self._replay(exchange, claimed.value.answer)
        else:
            sending = self._sender.send_idempotent(
                call, claimed.value, open_request
            )
            outcome = await self._context.background.run(sending)
            _meter_outcome(meter, outcome)
            await self._answer(exchange, outcome)

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
        stored: StoredResponse,
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
