"""What the administration API asks of the rest of the fleet."""

from dataclasses import dataclass
from typing import Any, Protocol

from mintlanding.core.results import Failed, Outcome, ResultCode


@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """What an agent's view tells of one daemon."""

    instance: str
    zone: str
    state: str
    revision: int
    stale_seconds: float | None = None


class FleetPort(Protocol):
    """The fleet as an agent sees it."""

    async def daemons(self) -> Outcome[tuple[DaemonStatus, ...]]:
        """Return the daemons with the revision in force at each."""

    async def drain(self, instance: str) -> Outcome[str]:
        """Ask an instance to leave; return its state."""

    async def burn(self) -> Outcome[dict[str, Any]]:
        """Return the report on service-level burn."""


class NoFleet:
    """Stands in where no agent is set; nothing is known of daemons."""

    async def daemons(self) -> Outcome[tuple[DaemonStatus, ...]]:
        """Refuse."""
        return Failed.of(ResultCode.function_unavailable, 'No agent is set.')

    async def drain(self, instance: str) -> Outcome[str]:
        """Refuse."""
        return Failed.of(ResultCode.function_unavailable, 'No agent is set.')

    async def burn(self) -> Outcome[dict[str, Any]]:
        """Refuse."""
        return Failed.of(ResultCode.function_unavailable, 'No agent is set.')
