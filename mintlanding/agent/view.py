"""Streams of the agent's view for the entry of its instance."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass, field

from mintlanding.agent.context import AgentContext
from mintlanding.agent.messages import WATCH_VIEW, ViewRequest, ViewUpdate
from mintlanding.configuration.delta_parts import split_delta
from mintlanding.configuration.messages import DeltaPart
from mintlanding.core.logs import Logger
from mintlanding.placement.messages import WorkerDigest

UPDATE_INTERVAL_SECONDS = 1
COALESCE_SECONDS = 0.01

_logger = Logger('agent')


@dataclass(slots=True, eq=False)
class Subscriber:
    """One stream and the changes that it has not sent yet."""

    revision: int
    members_changed: bool = True
    digests: dict[str, WorkerDigest] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)


class ViewComponent:
    """Stream coalesced changes to entries, at least once per second."""

    def __init__(
        self,
        context: AgentContext,
        stale_seconds: Callable[[], float],
        digests: Callable[[], dict[str, WorkerDigest]],
    ) -> None:
        """Register the stream."""
        self._context = context
        self._stale_seconds = stale_seconds
        self._digests = digests
        self._subscribers: set[Subscriber] = set()
        self._no_subscribers = asyncio.Event()
        self._no_subscribers.set()
        context.server.add_stream(WATCH_VIEW, self._watch)

    def configuration_changed(self) -> None:
        """Make the streams send the new revision."""
        for each in self._subscribers:
            each.wake.set()

    def members_changed(self) -> None:
        """Make the streams send the members."""
        for each in self._subscribers:
            each.members_changed = True
            each.wake.set()

    def digest_changed(self, digest: WorkerDigest) -> None:
        """Make the streams send a digest."""
        for each in self._subscribers:
            each.digests[digest.worker] = digest
            each.wake.set()

    async def wait_for_entry(self, timeout: float) -> None:
        """Wait until the entry has disconnected, at most `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._no_subscribers.wait()
        except TimeoutError:
            _logger.warning('Entry did not disconnect in time.')

    async def _watch(
        self,
        req: ViewRequest,
        sender: str,
    ) -> AsyncIterator[ViewUpdate]:
        subscriber = Subscriber(req.revision, digests=dict(self._digests()))
        self._subscribers.add(subscriber)
        self._no_subscribers.clear()
        try:
            while True:
                for part in self._delta_parts(subscriber):
                    yield ViewUpdate(part, stale_seconds=self._stale_seconds())
                yield self._update(subscriber)
                await _wait(subscriber.wake)
        finally:
            self._subscribers.discard(subscriber)
            if not self._subscribers:
                self._no_subscribers.set()

    def _delta_parts(self, subscriber: Subscriber) -> Iterator[DeltaPart]:
        directory = self._context.directory
        if directory.revision > subscriber.revision:
            delta = directory.delta_since(subscriber.revision)
            subscriber.revision = directory.revision
            yield from split_delta(delta)

    def _update(self, subscriber: Subscriber) -> ViewUpdate:
        members = None
        if subscriber.members_changed:
            members = tuple(self._context.members.values())
            subscriber.members_changed = False
        digests = tuple(subscriber.digests.values())
        subscriber.digests.clear()
        return ViewUpdate(None, members, digests, self._stale_seconds())


async def _wait(wake: asyncio.Event) -> None:
    try:
        async with asyncio.timeout(UPDATE_INTERVAL_SECONDS):
            await wake.wait()
    except TimeoutError:
        return
    wake.clear()
    await asyncio.sleep(COALESCE_SECONDS)
