"""The membership component: execute the membership node's actions."""

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


class MembershipComponent:
    """Exchange heartbeats; read the platform's instance list."""

    def __init__(self, context: AgentContext) -> None:
        """Build the node, with the seeds of the settings."""
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
        self._member_listeners: list[Callable[[], None]] = []
        self._digest_listeners: list[Callable[[WorkerDigest], None]] = []
        self._heartbeat_listeners: list[Callable[[Heartbeat], None]] = []
        context.server.add(HEARTBEAT, self._handle_heartbeat)

    def on_members(self, listener: Callable[[], None]) -> None:
        """Call the listener when members have changed."""
        self._member_listeners.append(listener)

    def on_digest(self, listener: Callable[[WorkerDigest], None]) -> None:
        """Call the listener with each digest that arrives."""
        self._digest_listeners.append(listener)

    def on_heartbeat(self, listener: Callable[[Heartbeat], None]) -> None:
        """Call the listener with each heartbeat and each reply to one."""
        self._heartbeat_listeners.append(listener)

    async def start(self) -> None:
        """Start heartbeats and the polling of the instance list."""
        self._publish_members()
        supervise = self._context.application.supervise
        supervise('membership', self._run_ticks)
        supervise('instance list', self._poll_platform)

    async def leave(self) -> None:
        """Announce to the neighbours that this instance is leaving."""
        actions = self.node.leave(self._context.now)
        sends = [each for each in actions if isinstance(each, SendHeartbeat)]
        self._publish_members()
        await asyncio.gather(*map(self._send, sends))

    def put_digest(self, digest: WorkerDigest) -> None:
        """Publish the digest of a worker whose steward runs here."""
        self.node.put_digest(digest, self._context.now)
        self._notify_digest(digest)

    def _notify_digest(self, digest: WorkerDigest) -> None:
        for listener in self._digest_listeners:
            listener(digest)

    async def _handle_heartbeat(
        self,
        message: Heartbeat,
        sender: str,
    ) -> Heartbeat:
        now = self._context.now
        reply = self.node.handle_heartbeat(message, now)
        self._execute(self.node.take_changes(now))
        self._notify_heartbeat(message)
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
                _logger.warning('Instance list unavailable.', reason=str(exc))
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
                        'Member changed.',
                        instance=member.instance,
                        state=member.state.value,
                    )
                case DigestChanged(digest=digest):
                    self._notify_digest(digest)
                case Superseded():
                    _logger.error('Replaced by a later incarnation; stopping.')
                    self._context.application.request_stop()
        if changed:
            self._publish_members()

    def _publish_members(self) -> None:
        members = self.node.members(self._context.now)
        own = self.node.own
        self._context.members = {**members, own.instance: own}
        for listener in self._member_listeners:
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
            failed = self.node.handle_call_failure(
                action.instance, self._context.now
            )
            self._execute(failed)
            return
        self._execute(self.node.handle_reply(reply, self._context.now))
        self._notify_heartbeat(reply)

    def _notify_heartbeat(self, message: Heartbeat) -> None:
        for listener in self._heartbeat_listeners:
            listener(message)
