"""The platform's list of instances, which is eventually consistent."""

from enum import StrEnum
from typing import Protocol

import msgspec


class InstanceState(StrEnum):
    """The state of an instance according to the platform."""

    live = 'live'
    leaving = 'leaving'


class InstanceRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """An instance, its location and the address of its agent for peers."""

    instance: str
    zone: str
    region: str
    address: str
    state: InstanceState = InstanceState.live


class InstanceList(Protocol):
    """Source of the list of instances."""

    async def fetch(self) -> tuple[InstanceRecord, ...]:
        """Return the listed instances; raise PlatformUnavailable."""
