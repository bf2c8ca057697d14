"""Stream the agent's view to the entry of its instance."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass, field

from mintlanding.agent.context import AgentContext
from mintlanding.agent.messages import WATCH_VIEW, ViewRequest, ViewUpdate
from mintlanding.configuration.delta_parts import split_delta
from mintlanding.configuration.messages import DeltaPart
from mintlanding.core.logs import Logger
from mintlanding.placement.messages import WorkerDigest

VOUCH_SECONDS = 1
COALESCE_SECONDS = 0.01

_logger = Logger('agent')


@dataclass(slots=True, eq=False)
class Subscriber:
    """One stream and what it has not been told yet."""

    revision: int
    members_changed: bool = True
    digests: dict[str, WorkerDigest] = field(default_factory=dict)
    wake: asyncio.Event = field(default_factory=asyncio.Event)


class ViewPart:
    """Tell entries what changes, coalesced, and at least once a second."""

    def __init__(
        self,
        context: AgentContext,
        stale_seconds: Callable[[], float],
        digests: Callable[[], dict[str, WorkerDigest]],
    ) -> None:
        """Serve the view."""
        self._context = context
        self._stale_seconds = stale_seconds
        self._digests = digests
        self._subscribers: set[Subscriber] = set()
        self._unwatched = asyncio.Event()
        self._unwatched.set()
        context.server.add_stream(WATCH_VIEW, self._watch)

    def configuration_changed(self) -> None:
        """Wake the streams to send the new revision."""
        for each in self._subscribers:
            each.wake.set()

    def members_changed(self) -> None:
        """Wake the streams to send the members."""
        for each in self._subscribers:
            each.members_changed = True
            each.wake.set()

    def digest_changed(self, digest: WorkerDigest) -> None:
        """Wake the streams to send a digest."""
        for each in self._subscribers:
            each.digests[digest.worker] = digest
            each.wake.set()

    async def wait_unwatched(self, timeout: float) -> None:
        """Wait until the entry has drained and left, or `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._unwatched.wait()
        except TimeoutError:
            _logger.warning('The entry has not left in time.')

    async def _watch(
        self,
        req: ViewRequest,
        sender: str,
    ) -> AsyncIterator[ViewUpdate]:
        subscriber = Subscriber(req.revision, digests=dict(self._digests()))
        self._subscribers.add(subscriber)
        self._unwatched.clear()
        try:
            while True:
                for part in self._parts(subscriber):
                    yield ViewUpdate(part, stale_seconds=self._stale_seconds())
                yield self._update(subscriber)
                await _wait(subscriber.wake)
        finally:
            self._subscribers.discard(subscriber)
            if not self._subscribers:
                self._unwatched.set()

    def _parts(self, subscriber: Subscriber) -> Iterator[DeltaPart]:
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
        async with asyncio.timeout(VOUCH_SECONDS):
            await wake.wait()
    except TimeoutError:
        return
    wake.clear()
    await asyncio.sleep(COALESCE_SECONDS)
