"""The entry's application: its components, their start, drain and stop."""

import asyncio
from typing import Self

from mintlanding.conf.models import InstanceSettings
from mintlanding.core.application import Application
from mintlanding.core.http_server import HttpLimits, HttpServer
from mintlanding.entry.context import EntryContext
from mintlanding.entry.dispatch import Dispatcher
from mintlanding.entry.health import HealthProbes
from mintlanding.entry.pin_reports import PinReporter
from mintlanding.entry.routes import build_app
from mintlanding.entry.view import ViewFollower
from mintlanding.entry.withdrawals import Withdrawals
from mintlanding.membership.models import Member, MemberState
from mintlanding.peers.factories import build_keyring
from mintlanding.reports.samples import send_samples

LINGER_SECONDS = 0.5
BACKGROUND_TIMEOUT_SECONDS = 5
LEDGER_INTERVAL_SECONDS = 1


class EntryApplication:
    """Components of one entry process."""

    def __init__(self, context: EntryContext) -> None:
        """Build the components; nothing runs before the application starts."""
        self.application = Application('entry')
        self.context = context
        self._dispatcher = Dispatcher(context)
        self._withdrawals = Withdrawals(context.view, context.requests)
        self._pin_reporter = PinReporter(context, self._dispatcher.pins)
        self._follower = ViewFollower(
            context.view,
            context.peers,
            context.agent_address,
            context.cfg.instance,
        )
        self._server = HttpServer.from_config(
            build_app(context, self._dispatcher),
            context.entry.host,
            context.entry.port,
            HttpLimits(header_bytes=context.entry.max_header_bytes),
        )
        context.view.on_member(self._stop_when_leaving)
        self.application.on_start(self._start)
        self.application.on_drain(self._drain)
        self.application.on_stop(self._stop)
        self.application.on_reload(self._reload)

    @classmethod
    def from_config(cls, cfg: InstanceSettings) -> Self:
        """Build the entry of an instance."""
        return cls(EntryContext.from_config(cfg))

    def _stop_when_leaving(self, member: Member) -> None:
        """Stop when an operator drains this instance through its agent."""
        is_own = member.instance == self.context.cfg.instance
        if is_own and member.state is MemberState.leaving:
            self.application.request_stop()

    async def _start(self) -> None:
        supervise = self.application.supervise
        supervise('view', self._follower.run)
        supervise('ledger', self._settle_ledger)
        supervise('probes', HealthProbes(self.context).run)
        supervise('samples', self._send_samples)
        await self._server.start()

    async def _send_samples(self) -> None:
        await send_samples(
            self.context.samples,
            self.context.peers,
            self.context.agent_address,
        )

    async def _settle_ledger(self) -> None:
        while True:
            await asyncio.sleep(LEDGER_INTERVAL_SECONDS)
            await self.context.ledger.retry_pending_writes()

    async def _drain(self) -> None:
        drained = await self._server.drain(
            self.context.entry.drain_timeout,
            LINGER_SECONDS,
        )
        if not drained:
            self.application.logger.warning(
                'Drain timed out with open requests.',
            )
        await self.context.background.wait_idle(BACKGROUND_TIMEOUT_SECONDS)
        await self.context.ledger.retry_pending_writes()

    async def _stop(self) -> None:
        await self._server.stop()
        await self.context.close()

    async def _reload(self, cfg: InstanceSettings) -> None:
        self.context.peers.set_keyring(build_keyring(cfg))
