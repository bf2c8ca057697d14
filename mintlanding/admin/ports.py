"""Interface of the administration API to the rest of the fleet."""

from dataclasses import dataclass
from typing import Any, Protocol

from mintlanding.core.results import Failed, Outcome, ResultCode


@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """State of one daemon in an agent's view."""

    instance: str
    zone: str
    state: str
    revision: int
    stale_seconds: float | None = None


class FleetPort(Protocol):
    """Access to the fleet through an agent."""

    async def daemons(self) -> Outcome[tuple[DaemonStatus, ...]]:
        """Return the daemons with the revision in force at each."""

    async def drain(self, instance: str) -> Outcome[str]:
        """Start draining an instance; return its state."""

    async def burn(self) -> Outcome[dict[str, Any]]:
        """Return the report on error budget burn."""


class NoFleet:
    """Placeholder where no agent is configured; every call fails."""

    async def daemons(self) -> Outcome[tuple[DaemonStatus, ...]]:
        """Return a failure."""
        return Failed.of(ResultCode.function_unavailable, 'No agent is set.')

    async def drain(self, instance: str) -> Outcome[str]:
        """Return a failure."""
        return Failed.of(ResultCode.function_unavailable, 'No agent is set.')

    async def burn(self) -> Outcome[dict[str, Any]]:
        """Return a failure."""
        return Failed.of(ResultCode.function_unavailable, 'No agent is set.')
