"""Keep the origins of streams at other instances, and ask them for one."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field

from mintlanding.core.logs import Logger
from mintlanding.links.mesh import Reply
from mintlanding.links.messages import ORIGINS_LINK_VERSION, Message
from mintlanding.node.clock import boot_seconds
from mintlanding.node.membership import Membership
from mintlanding.node.settings import NodeSettings
from mintlanding.node.view import FleetView, MemberRecord, member_info
from mintlanding.streams.messages import (
    OriginNotice,
    OriginQuery,
    OriginReply,
    StreamOrigin,
)
from mintlanding.streams.origins import (
    OriginTable,
    choose_keepers,
    choose_members_to_query,
)

# Name by which the instance is elected that records origins in the store.
_RECORDER = 'stream origins'


@dataclass(slots=True)
class _Query:
    """A query, and the members that have not replied to it."""

    reply: asyncio.Future[StreamOrigin | None]
    waiting: set[str] = field(default_factory=set)


async def _fail_to_catch_up() -> bool:
    return False


class StreamOrigins:
    """Origins of this instance's streams and copies for other instances."""

    def __init__(
        self, cfg: NodeSettings, view: FleetView, membership: Membership
    ) -> None:
        """Start without origins."""
        self.catch_up: Callable[[], Awaitable[bool]] = _fail_to_catch_up
        self._cfg = cfg
        self._view = view
        self._membership = membership
        self._table = OriginTable(cfg.streams)
        # Origins of streams that have begun, to be recorded in the store.
        self._begun = OriginTable(cfg.streams)
        self._queries: dict[int, _Query] = {}
        self._last_number = 0
        self._logger = Logger('streams')

    def announce(self, origin: StreamOrigin) -> None:
        """Record an origin here and at members in several zones."""
        now = boot_seconds()
        self._table.record(origin, now)
        mesh = self._membership.mesh
        if mesh is None:
            return
        reachable = [
            member_info(each)
            for each in self._keeping_members()
            if not each.is_leaving
            and self._membership.is_reachable(each.instance, now)
        ]
        keepers = choose_keepers(
            origin.request_id,
            self._cfg.facts.zone,
            reachable,
            self._cfg.streams.copies,
        )
        for keeper in keepers:
            mesh.send(keeper, OriginNotice(origin))

    def confirm(self, origin: StreamOrigin) -> None:
        """Let the origin of a stream that has begun be recorded.

        Before its first event, another attempt may replace the origin.
        """
        now = boot_seconds()
        if not self._has_several_builds(origin.service, now):
            return
        recorder = self.recorder()
        mesh = self._membership.mesh
        if recorder == self._cfg.facts.instance:
            self._begun.record(origin, now)
        elif mesh is not None:
            mesh.send(recorder, OriginNotice(origin, has_begun=True))

    def recorder(self) -> str:
        """Return the instance that records origins in the store."""
        return self._membership.elected(_RECORDER, ORIGINS_LINK_VERSION)

    def to_record(self, now: float) -> tuple[StreamOrigin, ...]:
        """Return the origins of begun streams at services of several builds."""
        cfg = self._view.config
        services = set() if cfg is None else set(cfg.services)
        return self._begun.of_services(
            {each for each in services if self._has_several_builds(each, now)},
            now,
        )

    def restore(self, origins: Iterable[StreamOrigin]) -> None:
        """Add origins that were recorded in the store."""
        now = boot_seconds()
        for origin in origins:
            self._table.record(origin, now)
            self._begun.record(origin, now)

    async def find(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream that any instance began."""
        known = self._table.find(request_id, boot_seconds())
        return known or await self._ask(request_id)

    async def only_build(self, service: str) -> str | None:
        """Return the build of all streams of a service, if it is certain.

        The store is read, since a target of another build may have begun the
        stream that this instance has not heard of.
        """
        lifetime = self._cfg.streams.lifetime
        if self._view.only_build(service, boot_seconds() - lifetime) is None:
            return None
        if not await self.catch_up():
            return None
        return self._view.only_build(service, boot_seconds() - lifetime)

    def receive(self, peer: str, message: Message, reply: Reply) -> bool:
        """Process a message about origins; return false for any other."""
        if isinstance(message, OriginNotice):
            now = boot_seconds()
            self._table.record(message.origin, now)
            if message.has_begun:
                self._begun.record(message.origin, now)
        elif isinstance(message, OriginQuery):
            known = self._table.find(message.request_id, boot_seconds())
            reply(OriginReply(message.number, known))
        elif isinstance(message, OriginReply):
            self._receive_reply(peer, message)
        else:
            return False
        return True

    def _has_several_builds(self, service: str, now: float) -> bool:
        since = now - self._cfg.streams.lifetime
        return self._view.has_several_builds(service, since)

    def _keeping_members(self) -> Iterator[MemberRecord]:
        """Yield the members that know messages about origins.

        An older process closes a link on which it gets an unknown message.
        """
        for each in self._membership.members().values():
            if each.link_version >= ORIGINS_LINK_VERSION:
                yield each

    async def _ask(self, request_id: str) -> StreamOrigin | None:
        mesh = self._membership.mesh
        if mesh is None:
            return None
        self._last_number += 1
        number = self._last_number
        asked = choose_members_to_query(
            request_id,
            [member_info(each) for each in self._keeping_members()],
            self._cfg.streams.queries_per_zone,
        )
        query = _Query(asyncio.get_running_loop().create_future())
        query.waiting = {
            member
            for member in asked
            if mesh.send(member, OriginQuery(number, request_id))
        }
        if not query.waiting:
            return None
        self._queries[number] = query
        try:
            async with asyncio.timeout(self._cfg.streams.lookup_timeout):
                return await query.reply
        except TimeoutError:
            self._logger.info(
                'Origin of a stream not found in time.',
                request=request_id,
                asked=len(asked),
                missing=len(query.waiting),
            )
            return None
        finally:
            self._queries.pop(number)

    def _receive_reply(self, peer: str, message: OriginReply) -> None:
        query = self._queries.get(message.number)
        if query is None or query.reply.done():
            return
        query.waiting.discard(peer)
        if message.origin is not None:
            self._table.record(message.origin, boot_seconds())
            query.reply.set_result(message.origin)
        elif not query.waiting:
            query.reply.set_result(None)
