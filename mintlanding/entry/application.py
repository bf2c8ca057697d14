"""The entry's application: parts, their order of start and their drain."""

from starlette.applications import Starlette
from starlette.routing import Route

from mintlanding.conf.models import EntrySettings, InstanceSettings
from mintlanding.configuration.keys import KeyHasher
from mintlanding.core.application import Application
from mintlanding.core.clock import SystemClock
from mintlanding.core.exceptions import ConfigurationError
from mintlanding.core.http import HttpLimits, HttpServer
from mintlanding.core.metrics import build_metrics
from mintlanding.engines.headers import CredentialFilter
from mintlanding.engines.models import TargetTimeouts
from mintlanding.entry.authentication import Authenticator, KeyNames
from mintlanding.entry.background import Background
from mintlanding.entry.completions import CompletionEndpoint, CompletionParts
from mintlanding.entry.control import ControlClient
from mintlanding.entry.dispatch import Dispatcher
from mintlanding.entry.endpoint import EndpointParts
from mintlanding.entry.fallback import FallbackEndpoint, HealthEndpoint
from mintlanding.entry.model_list import ModelListEndpoint
from mintlanding.entry.open_requests import OpenRequests
from mintlanding.entry.pin_reports import PinReporter
from mintlanding.entry.services import METHODS, ServiceEndpoint, ServiceParts
from mintlanding.entry.targets import EntryTargets
from mintlanding.entry.view import EntryView, ViewFollower
from mintlanding.entry.withdrawals import Withdrawals
from mintlanding.orders.ledger import OrderLedger
from mintlanding.peers.auth import PeerKeyring
from mintlanding.peers.client import PeerClient
from mintlanding.platform.http import HttpKeyValueService
from mintlanding.routing.retries import RetryPolicy, RetryTerms

KEY_HEADERS = ('x-api-key', 'api-key')
LINGER_SECONDS = 0.5
SETTLE_SECONDS = 5


class EntryApplication:
    """Everything that one entry process owns."""

    def __init__(self, cfg: InstanceSettings, entry: EntrySettings) -> None:
        """Build the parts; nothing runs before the application starts."""
        self.application = Application('entry')
        self._entry = entry
        self._clock = SystemClock()
        self._metrics = build_metrics(cfg.statsd)
        self._requests = OpenRequests()
        self._background = Background()
        keyring = PeerKeyring.from_config(cfg.instance, cfg.peers.secrets)
        self._peers = PeerClient(keyring)
        self._view = EntryView(self._clock)
        self._withdrawals = Withdrawals(self._view, self._requests)
        self._key_value = HttpKeyValueService.from_config(
            cfg.platform.key_value_url,
            cfg.platform.timeout,
        )
        timeouts = TargetTimeouts(silence=entry.silence_timeout)
        self._targets = EntryTargets(
            self._view,
            cfg.zone,
            self._clock,
            timeouts,
        )
        self._retries = RetryPolicy(RetryTerms())
        address = f'{cfg.peers.host}:{cfg.peers.port}'
        self._control = ControlClient(self._peers, address)
        self._dispatcher = Dispatcher(
            self._targets,
            self._control,
            self._background,
            self._retries,
            self._clock,
        )
        self._pin_reporter = PinReporter(
            self._view,
            self._dispatcher.pins,
            self._peers,
            self._background,
            cfg.instance,
        )
        self._follower = ViewFollower(
            self._view,
            self._peers,
            address,
            cfg.instance,
        )
        self._server = HttpServer.from_config(
            self._build_app(cfg),
            entry.host,
            entry.port,
            HttpLimits(header_bytes=entry.max_header_bytes),
        )
        self.application.on_start(self._start)
        self.application.on_drain(self._drain)
        self.application.on_stop(self._stop)

    @classmethod
    def from_config(cls, cfg: InstanceSettings) -> 'EntryApplication':
        """Build the entry of an instance; its settings need that section."""
        if cfg.entry is None:
            raise ConfigurationError('the settings have no section "entry"')
        return cls(cfg, cfg.entry)

    def _build_app(self, cfg: InstanceSettings) -> Starlette:
        names = KeyNames(
            KEY_HEADERS,
            tuple(self._entry.key_query_names),
            tuple(self._entry.key_cookie_names),
        )
        authenticator = Authenticator(
            self._view,
            KeyHasher.from_config([cfg.key_pepper]),
            names,
            cfg.staleness.refuse_after,
        )
        shared = EndpointParts(authenticator, self._requests, self._metrics)
        completions = CompletionEndpoint(
            shared,
            CompletionParts(
                self._view,
                self._control,
                self._dispatcher,
                self._background,
                self._clock,
                cfg.instance,
                self._entry,
            ),
        )
        services = ServiceEndpoint(
            shared,
            ServiceParts(
                self._view,
                self._targets,
                OrderLedger.from_config(self._key_value, self._clock),
                self._retries,
                CredentialFilter.from_config(
                    KEY_HEADERS,
                    names.cookies,
                    names.queries,
                ),
                self._background,
                self._clock,
                self._entry,
            ),
        )
        models = ModelListEndpoint(shared, self._view)
        fallback = FallbackEndpoint(shared)
        post = ['POST']
        app = Starlette(
            routes=[
                Route('/v1/completions', completions, methods=post),
                Route('/v1/chat/completions', completions, methods=post),
                Route('/v1/models', models, methods=['GET']),
                Route(
                    '/services/{service}/{path:path}',
                    services,
                    methods=list(METHODS),
                ),
                Route('/healthz', HealthEndpoint(shared, self._view)),
            ],
        )
        app.router.default = fallback
        return app

    async def _start(self) -> None:
        self.application.spawn(self._follower.run())
        await self._server.start()

    async def _drain(self) -> None:
        drained = await self._server.drain(
            self._entry.drain_timeout,
            LINGER_SECONDS,
        )
        if not drained:
            self.application.logger.warning('Requests were cut off.')
        await self._background.wait_idle(SETTLE_SECONDS)

    async def _stop(self) -> None:
        await self._server.stop()
        await self._targets.close()
        await self._key_value.close()
        self._peers.close()
