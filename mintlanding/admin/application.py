"""The administration process: a stateless HTTP server for operators."""

import asyncio
from typing import Self

from mintlanding.admin.agent_port import AgentPort
from mintlanding.admin.authentication import OperatorDirectory
from mintlanding.admin.context import AdminContext
from mintlanding.admin.endpoint import AdminEndpoint
from mintlanding.admin.ports import FleetPort
from mintlanding.conf.models import AdminSettings, InstanceSettings
from mintlanding.configuration.keys import KeyHasher
from mintlanding.configuration.storage import ConfigurationStorage
from mintlanding.coordination.http_services import HttpKeyValueService
from mintlanding.core.application import Application
from mintlanding.core.exceptions import ConfigurationError, PlatformError
from mintlanding.core.http_server import HttpServer
from mintlanding.core.logs import Logger
from mintlanding.core.results import Failed

DRAIN_SECONDS = 30
PROGRESS_POLL_SECONDS = 0.2
GARBAGE_INTERVAL_SECONDS = 6 * 3600

_logger = Logger('admin')


class AdminApplication:
    """Run the server, the timing of new revisions and garbage collection."""

    def __init__(
        self,
        context: AdminContext,
        operators: OperatorDirectory,
        host: str,
        port: int,
    ) -> None:
        """Serve `context` on an address; port 0 picks a free port."""
        self.context = context
        self.application = Application('admin')
        endpoint = AdminEndpoint(context, operators)
        self.server = HttpServer.from_config(endpoint.build(), host, port)
        self.application.on_start(self._start)
        self.application.on_drain(self._drain)
        self.application.on_stop(self.server.stop)

    @classmethod
    def from_config(
        cls,
        cfg: InstanceSettings,
        fleet: FleetPort | None = None,
    ) -> Self:
        """Build the process from the settings of an instance."""
        admin = _admin_settings(cfg)
        service = HttpKeyValueService.from_config(
            cfg.platform.key_value_url,
            cfg.platform.timeout,
        )
        context = AdminContext.from_parts(
            ConfigurationStorage(service),
            KeyHasher.from_config([cfg.key_pepper]),
            fleet=fleet or AgentPort.from_config(cfg),
        )
        operators = OperatorDirectory.from_config(admin.operators)
        application = cls(context, operators, admin.host, admin.port)
        application.application.on_stop(service.close)
        return application

    async def _start(self) -> None:
        await self.server.start()
        self.application.supervise('progress', self._poll_progress)
        self.application.supervise('garbage', self._collect_garbage)

    async def _drain(self) -> None:
        await self.server.drain(DRAIN_SECONDS)

    async def _poll_progress(self) -> None:
        """Poll the daemons while a revision is pending, to time it."""
        while True:
            await asyncio.sleep(PROGRESS_POLL_SECONDS)
            if not self.context.progress.is_pending:
                continue
            found = await self.context.fleet.daemons()
            if not isinstance(found, Failed):
                now = self.context.clock.monotonic()
                self.context.progress.observe(found.value, now)

    async def _collect_garbage(self) -> None:
        """Delete periodically the blobs that interrupted commits left."""
        while True:
            await asyncio.sleep(GARBAGE_INTERVAL_SECONDS)
            try:
                count = await self.context.storage.collect_garbage()
            except PlatformError as exc:
                _logger.warning(
                    'Collecting unused blobs failed.', reason=str(exc)
                )
            else:
                _logger.info('Unused blobs deleted.', count=count)


def _admin_settings(cfg: InstanceSettings) -> AdminSettings:
    if cfg.admin is None:
        raise ConfigurationError(
            'the settings have no section "admin"; add one to run this API',
        )
    if not cfg.admin.operators:
        raise ConfigurationError(
            'admin.operators is empty; add at least one operator',
        )
    return cfg.admin
