"""What the parts of one entry share."""

from dataclasses import dataclass
from typing import Self

from mintlanding.conf.models import EntrySettings, InstanceSettings
from mintlanding.coordination.http_services import HttpKeyValueService
from mintlanding.core.clock import Clock, SystemClock
from mintlanding.core.exceptions import ConfigurationError
from mintlanding.core.metrics import Metrics, build_metrics
from mintlanding.engines.models import TargetTimeouts
from mintlanding.entry.background import Background
from mintlanding.entry.control import ControlClient
from mintlanding.entry.open_requests import OpenRequests
from mintlanding.entry.targets import EntryTargets
from mintlanding.entry.view import EntryView
from mintlanding.idempotency.ledger import IdempotencyLedger
from mintlanding.peers.client import PeerClient
from mintlanding.peers.factories import build_client
from mintlanding.reports.samples import SampleBuffer
from mintlanding.routing.retries import RetryOptions, RetryPolicy


@dataclass(frozen=True, slots=True)
class EntryContext:
    """Settings, clients and state that the endpoints work on."""

    cfg: InstanceSettings
    entry: EntrySettings
    clock: Clock
    metrics: Metrics
    peers: PeerClient
    agent_address: str
    control: ControlClient
    key_value: HttpKeyValueService
    view: EntryView
    targets: EntryTargets
    ledger: IdempotencyLedger
    retries: RetryPolicy
    requests: OpenRequests
    background: Background
    samples: SampleBuffer

    @classmethod
    def from_config(cls, cfg: InstanceSettings) -> Self:
        """Build the parts of an instance; the settings need its section."""
        entry = cfg.entry
        if entry is None:
            raise ConfigurationError('the settings have no section "entry"')
        clock = SystemClock()
        view = EntryView(clock)
        peers = build_client(cfg)
        agent_address = f'{cfg.peers.host}:{cfg.peers.port}'
        key_value = HttpKeyValueService.from_config(
            cfg.platform.key_value_url,
            cfg.platform.timeout,
        )
        timeouts = TargetTimeouts(silence=entry.silence_timeout)
        return cls(
            cfg=cfg,
            entry=entry,
            clock=clock,
            metrics=build_metrics(cfg.statsd),
            peers=peers,
            agent_address=agent_address,
            control=ControlClient(peers, agent_address),
            key_value=key_value,
            view=view,
            targets=EntryTargets(view, cfg.zone, clock, timeouts),
            ledger=IdempotencyLedger.from_config(key_value, clock),
            retries=RetryPolicy(RetryOptions()),
            requests=OpenRequests(),
            background=Background(),
            samples=SampleBuffer(),
        )

    async def close(self) -> None:
        """Close the clients."""
        await self.targets.close()
        await self.key_value.close()
        self.peers.close()
