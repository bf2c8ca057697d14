"""The base of all clients of targets."""

from dataclasses import dataclass
from typing import Self

from mintlanding.core.http_client import HttpClient
from mintlanding.engines.models import TargetTimeouts


@dataclass(frozen=True, slots=True)
class TargetClient:
    """The URL of a target, its timeouts, and the HTTP client to use."""

    url: str
    timeouts: TargetTimeouts
    client: HttpClient

    @classmethod
    def from_config(
        cls,
        url: str,
        timeouts: TargetTimeouts | None = None,
        client: HttpClient | None = None,
    ) -> Self:
        """Build the client of the target at `url`; `client` may be shared."""
        return cls(
            url.rstrip('/'),
            timeouts or TargetTimeouts(),
            client or HttpClient.from_config(),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()
