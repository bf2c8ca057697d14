"""The platform's list of instances; it lags behind what happens."""

from enum import StrEnum
from typing import Protocol

import msgspec


class InstanceState(StrEnum):
    """How the platform sees an instance."""

    live = 'live'
    leaving = 'leaving'


class InstanceRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """An instance, where it is and the peer address of its agent."""

    instance: str
    zone: str
    region: str
    address: str
    state: InstanceState = InstanceState.live


class InstanceList(Protocol):
    """Where the instances are looked up."""

    async def fetch(self) -> tuple[InstanceRecord, ...]:
        """Return the listed instances; raise PlatformUnavailable."""
