"""Follow the configuration and tell the other parts of each revision."""

import asyncio
from collections.abc import Callable

from mintlanding.agent.context import AgentContext
from mintlanding.configuration.models import Delta
from mintlanding.configuration.watching import ConfigurationWatch
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger

WATCH_SECONDS = 20
RETRY_SECONDS = 0.5

_logger = Logger('configuration')


class ConfigurationPart:
    """The directory of this instance, kept current."""

    def __init__(self, context: AgentContext) -> None:
        """Begin with an empty directory."""
        self._context = context
        self._watch = ConfigurationWatch(context.key_value)
        self._listeners: list[Callable[[], None]] = []
        self._vouched_at: float | None = None
        self._started_at = context.now

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each accepted delta."""
        self._listeners.append(listener)

    def stale_seconds(self) -> float:
        """Return the seconds since the configuration was vouched for."""
        vouched = self._vouched_at
        return self._context.now - (vouched or self._started_at)

    async def start(self) -> None:
        """Begin to watch."""
        self._context.application.spawn(self._follow())

    def apply(self, delta: Delta) -> bool:
        """Accept a delta and tell the listeners."""
        applied = self._context.directory.apply(delta)
        if not applied.accepted:
            return False
        _logger.info('A revision is in force.', revision=applied.revision)
        for listener in self._listeners:
            listener()
        return True

    async def _follow(self) -> None:
        while True:
            asked_at = self._context.now
            try:
                delta = await self._watch.next_delta(
                    self._context.directory.revision,
                    WATCH_SECONDS,
                )
            except PlatformError as exc:
                _logger.warning('The watch broke off.', reason=str(exc))
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._vouched_at = asked_at
            self.apply(delta)
