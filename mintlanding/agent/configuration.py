"""The configuration component: execute the distribution node's actions."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

from mintlanding.agent.context import AgentContext
from mintlanding.configuration.actions import (
    Action,
    Announce,
    FetchDelta,
    RevisionApplied,
    StopWatch,
    Watch,
)
from mintlanding.configuration.delta_parts import DeltaAssembler, split_delta
from mintlanding.configuration.distribution import DistributionNode
from mintlanding.configuration.manifest_watch import ManifestWatch
from mintlanding.configuration.messages import (
    ANNOUNCE,
    FETCH,
    Announcement,
    AnnounceReply,
    DeltaPart,
    FetchRequest,
)
from mintlanding.configuration.models import Delta
from mintlanding.core.exceptions import MintlandingError, PeerError
from mintlanding.core.logs import Logger
from mintlanding.membership.freshness import ConfigurationFreshness
from mintlanding.membership.messages import Heartbeat
from mintlanding.membership.models import Member

ANNOUNCE_TIMEOUT_SECONDS = 2
FETCH_SILENCE_SECONDS = 5
TICK_SECONDS = 0.2

_logger = Logger('configuration')


class ConfigurationComponent:
    """Keep the directory of this instance current."""

    def __init__(
        self,
        context: AgentContext,
        freshness: ConfigurationFreshness,
    ) -> None:
        """Start with an empty directory.

        `freshness` is shared with the membership, whose heartbeats update it.
        """
        self._context = context
        self.node = DistributionNode(
            context.own,
            context.directory,
            freshness,
            context.random('configuration'),
            context.now,
        )
        self._watch = ManifestWatch(context.key_value)
        self._watching: asyncio.Task[None] | None = None
        self._listeners: list[Callable[[], None]] = []
        self._started_at = context.now
        context.server.add(ANNOUNCE, self._handle_announcement)
        context.server.add_stream(FETCH, self._serve_fetch)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each applied revision."""
        self._listeners.append(listener)

    def stale_seconds(self) -> float:
        """Return the seconds since the last confirmation, or since start."""
        now = self._context.now
        age = self.node.stale_seconds(now)
        return age if age >= 0 else now - self._started_at

    async def start(self) -> None:
        """Start the periodic work."""
        self._context.application.supervise('configuration', self._run_ticks)

    def update_members(self) -> None:
        """Pass the changed members to the node."""
        members = self._context.members.values()
        self._execute(self.node.update_members(members, self._context.now))

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Pass the revision in a heartbeat to the node."""
        sender = heartbeat.sender.member.instance
        now = self._context.now
        self._execute(
            self.node.peer_revision_seen(sender, heartbeat.revision, now)
        )

    async def _run_ticks(self) -> None:
        while True:
            self._execute(self.node.tick(self._context.now))
            stale = self.stale_seconds()
            self._context.metrics.gauge('agent.stale_seconds', stale)
            await asyncio.sleep(TICK_SECONDS)

    def _execute(self, actions: Iterable[Action]) -> None:
        spawn = self._context.application.spawn
        for action in actions:
            match action:
                case Watch():
                    self._watching = spawn(self._run_watch(action))
                case StopWatch():
                    self._stop_watch()
                case FetchDelta():
                    spawn(self._fetch(action))
                case Announce():
                    for peer in action.peers:
                        spawn(self._announce(peer, action.message))
                case RevisionApplied():
                    self._notify(action)

    def _notify(self, action: RevisionApplied) -> None:
        _logger.info('Revision applied.', revision=action.revision)
        for listener in self._listeners:
            listener()

    def _stop_watch(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None

    async def _run_watch(self, action: Watch) -> None:
        asked_at = self._context.now
        try:
            delta = await self._watch.next_delta(action.after, action.seconds)
        except MintlandingError as exc:
            _logger.warning('Configuration watch interrupted.', reason=str(exc))
            now = self._context.now
            self._execute(self.node.watch_failed(str(exc), now))
            return
        now = self._context.now
        self._execute(self.node.watch_result(delta, asked_at, now))

    async def _fetch(self, action: FetchDelta) -> None:
        peer = action.peer
        try:
            delta = await self._receive_delta(peer, action.after)
        except MintlandingError as exc:
            _logger.warning(
                'Fetching a delta from a peer failed.', reason=str(exc)
            )
            now = self._context.now
            self._execute(self.node.fetch_failed(peer.instance, now))
            return
        now = self._context.now
        self._execute(self.node.fetched(peer.instance, delta, now))

    async def _receive_delta(self, peer: Member, after: int) -> Delta:
        assembler = DeltaAssembler(self._context.directory)
        parts = self._context.client.stream(
            peer.address,
            FETCH,
            FetchRequest(after),
            FETCH_SILENCE_SECONDS,
        )
        async for part in parts:
            delta = assembler.add(part)
            if delta is not None:
                return delta
        raise PeerError('the stream ended before the delta was complete')

    async def _announce(self, peer: Member, message: Announcement) -> None:
        try:
            reply = await self._context.client.call(
                peer.address,
                ANNOUNCE,
                message,
                ANNOUNCE_TIMEOUT_SECONDS,
            )
        except PeerError as exc:
            _logger.warning(
                'Announcing a revision to a peer failed.', reason=str(exc)
            )
            return
        now = self._context.now
        self._execute(
            self.node.peer_revision_seen(peer.instance, reply.revision, now)
        )

    async def _handle_announcement(
        self,
        message: Announcement,
        sender: str,
    ) -> AnnounceReply:
        now = self._context.now
        self._execute(self.node.announced(message, sender, now))
        return AnnounceReply(self.node.revision)

    async def _serve_fetch(
        self,
        req: FetchRequest,
        sender: str,
    ) -> AsyncIterator[DeltaPart]:
        delta = self._context.directory.delta_since(req.after)
        for part in split_delta(delta):
            yield part
