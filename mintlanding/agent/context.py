"""State that all components of the agent share."""

import random
from dataclasses import dataclass, field

from mintlanding.conf.models import InstanceSettings
from mintlanding.configuration.directory import Directory
from mintlanding.coordination.instances import InstanceList
from mintlanding.coordination.keyvalue import KeyValueService
from mintlanding.core.application import Application
from mintlanding.core.clock import Clock
from mintlanding.core.metrics import Metrics
from mintlanding.membership.models import Member
from mintlanding.peers.client import PeerClient
from mintlanding.peers.server import PeerServer


@dataclass(slots=True)
class AgentContext:
    """Settings, clients and state of one agent."""

    cfg: InstanceSettings
    own: Member
    application: Application
    clock: Clock
    metrics: Metrics
    server: PeerServer
    client: PeerClient
    key_value: KeyValueService
    instance_list: InstanceList
    directory: Directory = field(default_factory=Directory)
    members: dict[str, Member] = field(default_factory=dict)

    @property
    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic()

    def random(self, purpose: str) -> random.Random:
        """Return a generator seeded with instance, incarnation and purpose."""
        seed = f'{self.own.instance}/{self.own.incarnation}/{purpose}'
        return random.Random(seed)  # noqa: S311

    def other_addresses(self) -> list[str]:
        """Return the peer addresses of the other instances' agents."""
        return [
            member.address
            for member in self.members.values()
            if member.instance != self.own.instance
        ]

    def address_of(self, instance: str) -> str:
        """Return a member's peer address, '' if it is unknown."""
        member = self.members.get(instance)
        return member.address if member else ''
