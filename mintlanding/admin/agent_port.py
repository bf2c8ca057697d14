"""The fleet as the agent of the admin's instance sees it."""

from dataclasses import dataclass
from typing import Any, Self

from mintlanding.admin.ports import DaemonStatus
from mintlanding.agent.messages import (
    LEAVE,
    READ_FLEET,
    InstanceStatus,
    LeaveRequest,
)
from mintlanding.conf.models import InstanceSettings
from mintlanding.core.exceptions import PeerError
from mintlanding.core.results import Done, Failed, Outcome, ResultCode
from mintlanding.peers.client import PeerClient
from mintlanding.peers.factories import build_client
from mintlanding.peers.messages import Empty
from mintlanding.reports.burn import build_report
from mintlanding.reports.messages import FLEET_REPORT
from mintlanding.reports.models import ReportSettings

CALL_SECONDS = 3
REPORT_SECONDS = 10


@dataclass(frozen=True, slots=True)
class AgentPort:
    """Ask an agent over the peers' transport."""

    client: PeerClient
    address: str
    reports: ReportSettings

    @classmethod
    def from_config(cls, cfg: InstanceSettings) -> Self:
        """Ask the agent of the instance."""
        address = f'{cfg.peers.host}:{cfg.peers.port}'
        return cls(build_client(cfg), address, cfg.reports)

    async def daemons(self) -> Outcome[tuple[DaemonStatus, ...]]:
        """Return the daemons with the revision in force at each."""
        try:
            found = await self.client.call(
                self.address,
                READ_FLEET,
                Empty(),
                CALL_SECONDS,
            )
        except PeerError as exc:
            return Failed.of(ResultCode.function_unavailable, str(exc))
        return Done(tuple(_as_daemon(each) for each in found.instances))

    async def drain(self, instance: str) -> Outcome[str]:
        """Ask an instance to leave; return its state."""
        try:
            reply = await self.client.call(
                self.address,
                LEAVE,
                LeaveRequest(instance),
                CALL_SECONDS,
            )
        except PeerError as exc:
            return Failed.of(ResultCode.function_unavailable, str(exc))
        if reply.code:
            return Failed.of(ResultCode(reply.code), instance)
        return Done(reply.state)

    async def burn(self) -> Outcome[dict[str, Any]]:
        """Return the report on service-level burn."""
        try:
            found = await self.client.call(
                self.address,
                FLEET_REPORT,
                Empty(),
                REPORT_SECONDS,
            )
        except PeerError as exc:
            return Failed.of(ResultCode.function_unavailable, str(exc))
        return Done(build_report(found, self.reports).as_document())

    def close(self) -> None:
        """Close the connection to the agent."""
        self.client.close()


def _as_daemon(status: InstanceStatus) -> DaemonStatus:
    member = status.member
    return DaemonStatus(
        member.instance,
        member.zone,
        member.state.value,
        status.revision,
        status.stale_seconds,
    )
