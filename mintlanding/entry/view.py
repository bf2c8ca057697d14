"""State of the region at an entry, streamed by the agent of its instance."""

import asyncio
from collections.abc import Callable, Sequence

from mintlanding.agent.messages import WATCH_VIEW, ViewRequest, ViewUpdate
from mintlanding.configuration.delta_parts import DeltaAssembler
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.messages import DeltaPart
from mintlanding.configuration.models import Change, Delta
from mintlanding.configuration.resolver import Resolver
from mintlanding.core.clock import Clock
from mintlanding.core.exceptions import MintlandingError
from mintlanding.core.logs import Logger
from mintlanding.membership.models import Member
from mintlanding.peers.client import PeerClient
from mintlanding.placement.messages import WorkerDigest

SILENCE_SECONDS = 5
RECONNECT_SECONDS = 0.2

ChangeListener = Callable[[Sequence[Change]], None]
DigestListener = Callable[[WorkerDigest], None]
MemberListener = Callable[[Member], None]


class EntryView:
    """Configuration, members and worker digests known to this entry."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty view, not ready until a configuration arrives."""
        self.directory = Directory()
        self.resolver = Resolver(self.directory)
        self._assembler = DeltaAssembler(self.directory)
        self.members: dict[str, Member] = {}
        self.digests: dict[str, WorkerDigest] = {}
        self._clock = clock
        self._stale_at_update = 0.0
        self._updated_at = clock.monotonic()
        self._listeners: list[ChangeListener] = []
        self._digest_listeners: list[DigestListener] = []
        self._member_listeners: list[MemberListener] = []
        self._is_ready = False

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration has arrived."""
        return self._is_ready

    @property
    def stale_seconds(self) -> float:
        """Return the seconds since the configuration was last known current."""
        return (
            self._stale_at_update + self._clock.monotonic() - self._updated_at
        )

    def on_change(self, listener: ChangeListener) -> None:
        """Register a listener for the changes of each accepted delta."""
        self._listeners.append(listener)

    def on_digest(self, listener: DigestListener) -> None:
        """Register a listener for each newer digest."""
        self._digest_listeners.append(listener)

    def on_member(self, listener: MemberListener) -> None:
        """Register a listener for each member that an update lists."""
        self._member_listeners.append(listener)

    def apply(self, update: ViewUpdate) -> None:
        """Apply an update from the agent."""
        self._updated_at = self._clock.monotonic()
        self._stale_at_update = update.stale_seconds
        if update.part is not None:
            self._add_part(update.part)
        if update.members is not None:
            self._apply_members(update.members)
        for digest in update.digests:
            self._apply_digest(digest)

    def _apply_digest(self, digest: WorkerDigest) -> None:
        known = self.digests.get(digest.worker)
        if known and _digest_version(known) > _digest_version(digest):
            return
        self.digests[digest.worker] = digest
        for listener in self._digest_listeners:
            listener(digest)

    def _apply_members(self, members: Sequence[Member]) -> None:
        self.members = {each.instance: each for each in members}
        for member in members:
            for listener in self._member_listeners:
                listener(member)

    def reset_assembler(self) -> None:
        """Discard the parts of a delta that was interrupted."""
        self._assembler = DeltaAssembler(self.directory)

    def _add_part(self, part: DeltaPart) -> None:
        delta = self._assembler.add(part)
        if delta is not None:
            self.reset_assembler()
            self._apply_delta(delta)

    def _apply_delta(self, delta: Delta) -> None:
        applied = self.directory.apply(delta)
        if not applied.accepted:
            return
        self._is_ready = True
        for listener in self._listeners:
            listener(applied.changes)


class ViewFollower:
    """Stream updates into an EntryView; reconnect when the stream breaks."""

    def __init__(
        self,
        view: EntryView,
        client: PeerClient,
        address: str,
        instance: str,
    ) -> None:
        """Follow the agent at `address`."""
        self._view = view
        self._client = client
        self._address = address
        self._instance = instance
        self._logger = Logger('entry')

    async def run(self) -> None:
        """Stream updates until cancelled."""
        while True:
            try:
                await self._follow()
            except MintlandingError as exc:
                self._logger.warning('View stream failed.', reason=str(exc))
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _follow(self) -> None:
        self._view.reset_assembler()
        req = ViewRequest(self._instance, self._view.directory.revision)
        updates = self._client.stream(
            self._address,
            WATCH_VIEW,
            req,
            SILENCE_SECONDS,
        )
        async for update in updates:
            self._view.apply(update)


def _digest_version(digest: WorkerDigest) -> tuple[int, int]:
    return (digest.fencing, digest.sequence)
