"""What the clients of all kinds of targets share."""

from dataclasses import dataclass
from typing import Self

from mintlanding.core.http_client import HttpClient
from mintlanding.engines.models import TargetTimeouts


@dataclass(frozen=True, slots=True)
class TargetClient:
    """Where a target is, how long to wait, and the client to call it by."""

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
        """Call the target at `url`; clients may share one HttpClient."""
        return cls(
            url.rstrip('/'),
            timeouts or TargetTimeouts(),
            client or HttpClient.from_config(),
        )

    async def close(self) -> None:
        """Close what is open."""
        await self.client.close()
