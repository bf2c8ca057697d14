"""Operator requests: the state of the fleet, and leaving instances."""

from collections.abc import Callable, Mapping

from mintlanding.agent.context import AgentContext
from mintlanding.agent.messages import (
    LEAVE,
    READ_FLEET,
    FleetStatus,
    InstanceStatus,
    LeaveReply,
    LeaveRequest,
)
from mintlanding.core.exceptions import PeerError
from mintlanding.core.results import ResultCode
from mintlanding.membership.models import MemberState
from mintlanding.peers.messages import Empty

FORWARD_TIMEOUT_SECONDS = 2


class FleetComponent:
    """Serve the status of the fleet; forward requests to leave."""

    def __init__(
        self,
        context: AgentContext,
        revisions: Callable[[], Mapping[str, int]],
        stale_seconds: Callable[[], float],
    ) -> None:
        """Register the methods.

        `revisions` returns the revisions of the other members.
        """
        self._context = context
        self._revisions = revisions
        self._stale_seconds = stale_seconds
        context.server.add(READ_FLEET, self._read)
        context.server.add(LEAVE, self._leave)

    async def _read(self, req: Empty, sender: str) -> FleetStatus:
        revisions = self._revisions()
        own = self._context.own.instance
        found = [
            InstanceStatus(
                member,
                self._context.directory.revision,
                self._stale_seconds(),
            )
            if member.instance == own
            else InstanceStatus(member, revisions.get(member.instance, 0))
            for member in self._context.members.values()
        ]
        return FleetStatus(tuple(found))

    async def _leave(self, req: LeaveRequest, sender: str) -> LeaveReply:
        if req.instance == self._context.own.instance:
            self._context.application.request_stop()
            return LeaveReply(MemberState.leaving.value)
        address = self._context.address_of(req.instance)
        if not address:
            return LeaveReply(code=int(ResultCode.object_unknown))
        try:
            return await self._context.client.call(
                address,
                LEAVE,
                req,
                FORWARD_TIMEOUT_SECONDS,
            )
        except PeerError:
            return LeaveReply(code=int(ResultCode.no_target))
