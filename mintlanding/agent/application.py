"""The agent's application: parts, their order of start and their drain."""

import time

from mintlanding.agent.configuration import ConfigurationPart
from mintlanding.agent.context import AgentContext
from mintlanding.agent.fleet import FleetPart
from mintlanding.agent.limits import LimitsPart
from mintlanding.agent.membership import MembershipPart
from mintlanding.agent.seats import SeatsPart
from mintlanding.agent.stewards import StewardsPart
from mintlanding.agent.view import ViewPart
from mintlanding.conf.models import InstanceSettings
from mintlanding.coordination.http_services import (
    HttpInstanceList,
    HttpKeyValueService,
)
from mintlanding.core.application import Application
from mintlanding.core.clock import SystemClock
from mintlanding.core.metrics import build_metrics
from mintlanding.membership.models import Member
from mintlanding.peers.factories import (
    build_client,
    build_keyring,
    build_server,
)
from mintlanding.reports.recorder import Recorder
from mintlanding.reports.service import ReportService

HAND_OVER_SECONDS = 10

_MILLISECONDS = 1000


class AgentApplication:
    """Everything that one agent process owns."""

    def __init__(self, cfg: InstanceSettings) -> None:
        """Build the parts; nothing runs before the application starts."""
        self.application = Application('agent')
        self._cfg = cfg
        self.context = AgentContext(
            cfg=cfg,
            own=_build_member(cfg),
            application=self.application,
            clock=SystemClock(),
            metrics=build_metrics(cfg.statsd),
            server=build_server(cfg),
            client=build_client(cfg),
            key_value=HttpKeyValueService.from_config(
                cfg.platform.key_value_url,
                cfg.platform.timeout,
            ),
            instance_list=HttpInstanceList.from_config(
                cfg.platform.instance_list_url,
                cfg.platform.timeout,
            ),
        )
        self.membership = MembershipPart(self.context)
        self.configuration = ConfigurationPart(
            self.context,
            self.membership.node.configuration,
        )
        self.limits = LimitsPart(self.context)
        self.seats = SeatsPart(self.context, self.limits)
        self.stewards = StewardsPart(
            self.context,
            self.limits,
            self.membership.node.digests,
            self.membership.put_digest,
        )
        self.view = ViewPart(
            self.context,
            self.configuration.stale_seconds,
            self.membership.node.digests,
        )
        self.fleet = FleetPart(
            self.context,
            self.membership.node.revisions,
            self.configuration.stale_seconds,
        )
        self.reports = ReportService(
            Recorder(cfg.reports, cfg.instance, self.context.now),
            self.context.client,
            self.context.other_addresses,
            self.context.clock,
        )
        self.reports.add_to(self.context.server)
        self._connect_parts()
        self.application.on_start(self._start)
        self.application.on_drain(self._drain)
        self.application.on_stop(self._stop)
        self.application.on_reload(self._reload)

    @classmethod
    def from_config(cls, cfg: InstanceSettings) -> 'AgentApplication':
        """Build the agent of an instance."""
        return cls(cfg)

    def _connect_parts(self) -> None:
        self.configuration.on_change(self.limits.follow_configuration)
        self.configuration.on_change(self.view.configuration_changed)
        self.membership.on_members(self.limits.follow_members)
        self.membership.on_members(self.seats.follow_members)
        self.membership.on_heartbeat(self.seats.heard)
        self.membership.on_members(self.stewards.follow_members)
        self.membership.on_members(self.view.members_changed)
        self.membership.on_members(self.configuration.follow_members)
        self.membership.on_heartbeat(self.configuration.heard)
        self.membership.on_digest(self.view.digest_changed)

    async def _start(self) -> None:
        peers = self._cfg.peers
        await self.context.server.start(peers.host, peers.port)
        await self.membership.start()
        await self.configuration.start()
        await self.limits.start()
        await self.seats.start()
        await self.stewards.start()

    async def _drain(self) -> None:
        await self.membership.leave()
        await self.stewards.drain(self._cfg.agent.drain_timeout)
        await self.view.wait_unwatched(self._cfg.agent.drain_timeout)
        self.limits.drain()
        await self.seats.hand_over(HAND_OVER_SECONDS)

    async def _stop(self) -> None:
        await self.context.server.stop()
        self.context.client.close()

    async def _reload(self, cfg: InstanceSettings) -> None:
        keyring = build_keyring(cfg)
        self.context.client.set_keyring(keyring)
        self.context.server.set_keyring(keyring)


def _build_member(cfg: InstanceSettings) -> Member:
    return Member(
        cfg.instance,
        cfg.zone,
        cfg.region,
        f'{cfg.peers.host}:{cfg.peers.port}',
        incarnation=int(time.time() * _MILLISECONDS),
    )
