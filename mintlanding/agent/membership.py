"""Carry out what the membership node decides."""

import asyncio
from collections.abc import Callable, Iterable

from mintlanding.agent.context import AgentContext
from mintlanding.core.exceptions import PeerError, PlatformError
from mintlanding.core.logs import Logger
from mintlanding.membership.messages import HEARTBEAT, Heartbeat
from mintlanding.membership.models import (
    DigestChanged,
    Member,
    MemberChanged,
    MembershipAction,
    MembershipOptions,
    MemberState,
    SendHeartbeat,
    Superseded,
)
from mintlanding.membership.node import MembershipNode
from mintlanding.placement.messages import WorkerDigest

HEARTBEAT_TIMEOUT_INTERVALS = 1.5

_logger = Logger('membership')


class MembershipPart:
    """Heartbeats with other agents and the platform's instance list."""

    def __init__(self, context: AgentContext) -> None:
        """Join with the seeds of the settings."""
        cfg = context.cfg
        self._context = context
        options = MembershipOptions(
            interval=cfg.agent.heartbeat_interval,
            seeds=tuple(cfg.peers.seeds),
        )
        self.node = MembershipNode.from_config(
            context.own,
            options,
            context.random('membership'),
        )
        self._options = options
        self._on_members: list[Callable[[], None]] = []
        self._on_digest: list[Callable[[WorkerDigest], None]] = []
        self._on_heartbeat: list[Callable[[Heartbeat], None]] = []
        context.server.add(HEARTBEAT, self._take_heartbeat)

    def on_members(self, listener: Callable[[], None]) -> None:
        """Call the listener when a member has changed."""
        self._on_members.append(listener)

    def on_digest(self, listener: Callable[[WorkerDigest], None]) -> None:
        """Call the listener with each digest that arrives."""
        self._on_digest.append(listener)

    def on_heartbeat(self, listener: Callable[[Heartbeat], None]) -> None:
        """Call the listener with each heartbeat and each reply to one."""
        self._on_heartbeat.append(listener)

    async def start(self) -> None:
        """Begin heartbeats."""
        self._publish_members()
        self._context.application.spawn(self._run_ticks())
        self._context.application.spawn(self._poll_platform())

    async def leave(self) -> None:
        """Tell all members that this instance leaves."""
        actions = self.node.leave(self._context.now)
        sends = [each for each in actions if isinstance(each, SendHeartbeat)]
        self._publish_members()
        await asyncio.gather(*map(self._send, sends))

    def put_digest(self, digest: WorkerDigest) -> None:
        """Spread the digest of a worker that this agent is steward of."""
        self.node.put_digest(digest, self._context.now)
        self._tell_digest(digest)

    def _tell_digest(self, digest: WorkerDigest) -> None:
        for listener in self._on_digest:
            listener(digest)

    async def _take_heartbeat(
        self,
        message: Heartbeat,
        sender: str,
    ) -> Heartbeat:
        now = self._context.now
        reply = self.node.handle_heartbeat(message, now)
        self._execute(self.node.changes(now))
        self._tell_heartbeat(message)
        return reply

    async def _run_ticks(self) -> None:
        while True:
            self._execute(self.node.tick(self._context.now))
            await asyncio.sleep(self._context.cfg.agent.tick_interval)

    async def _poll_platform(self) -> None:
        platform = self._context.cfg.platform
        while True:
            try:
                records = await self._context.instance_list.fetch()
            except PlatformError as exc:
                _logger.warning('The instance list is away.', reason=str(exc))
            else:
                listed = [
                    Member(
                        each.instance,
                        each.zone,
                        each.region,
                        each.address,
                        state=MemberState(each.state.value),
                    )
                    for each in records
                ]
                self._execute(
                    self.node.apply_instance_list(listed, self._context.now),
                )
            await asyncio.sleep(platform.poll_interval)

    def _execute(self, actions: Iterable[MembershipAction]) -> None:
        changed = False
        for action in actions:
            match action:
                case SendHeartbeat():
                    self._context.application.spawn(self._send(action))
                case MemberChanged(member=member):
                    changed = True
                    _logger.info(
                        'A member changed.',
                        instance=member.instance,
                        state=member.state.value,
                    )
                case DigestChanged(digest=digest):
                    self._tell_digest(digest)
                case Superseded():
                    _logger.error('This instance was replaced; it stops.')
                    self._context.application.request_stop()
        if changed:
            self._publish_members()

    def _publish_members(self) -> None:
        members = self.node.members(self._context.now)
        own = self.node.own
        self._context.members = {**members, own.instance: own}
        for listener in self._on_members:
            listener()

    async def _send(self, action: SendHeartbeat) -> None:
        timeout = self._options.interval * HEARTBEAT_TIMEOUT_INTERVALS
        client = self._context.client
        try:
            reply = await client.call(
                action.address,
                HEARTBEAT,
                action.message,
                timeout,
            )
        except PeerError:
            if not action.instance:
                return
            failed = self.node.handle_call_failure(action.instance, self._context.now)
            self._execute(failed)
            return
        self._execute(self.node.handle_reply(reply, self._context.now))
        self._tell_heartbeat(reply)

    def _tell_heartbeat(self, message: Heartbeat) -> None:
        for listener in self._on_heartbeat:
            listener(message)
