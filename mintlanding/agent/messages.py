"""Messages between an agent and the entry of its instance."""

import msgspec

from mintlanding.configuration.messages import DeltaPart
from mintlanding.membership.models import Member
from mintlanding.peers.messages import Empty, Method
from mintlanding.placement.messages import (
    PinReport,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
    WorkerDigest,
)


class ViewRequest(msgspec.Struct, frozen=True):
    """Request to watch the view; `entry` has applied `revision`."""

    entry: str
    revision: int


class ViewUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes since the last update; unset fields did not change.

    A delta is sent in parts, one for each update. `stale_seconds` is the time
    since the configuration was confirmed by a member that watches the
    platform.
    """

    part: DeltaPart | None = None
    members: tuple[Member, ...] | None = None
    digests: tuple[WorkerDigest, ...] = ()
    stale_seconds: float = 0


class TokenRequest(msgspec.Struct, frozen=True):
    """Tokens to reserve for one request of a workspace."""

    request_id: str
    workspace: str
    tokens: float


class TokenReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A reservation (`code` 0) or a refusal; `retry_after` in seconds."""

    request_id: str
    code: int = 0
    detail: str = ''
    retry_after: float = 0


class SettleRequest(msgspec.Struct, frozen=True):
    """The tokens that a request with a reservation has used."""

    request_id: str
    workspace: str
    reserved: float
    used: float


WATCH_VIEW = Method(
    'agent',
    'watch_view',
    ViewRequest,
    ViewUpdate,
    streaming=True,
)
RESERVE_TOKENS = Method('limits', 'reserve', TokenRequest, TokenReply)
SETTLE_TOKENS = Method('limits', 'settle', SettleRequest, Empty)
RESERVE_WORKER = Method('placement', 'reserve', ReserveRequest, ReserveReply)
RELEASE_WORKER = Method('placement', 'release', ReleaseRequest, Empty)
REPORT_PINS = Method('placement', 'report_pins', PinReport, Empty)


class InstanceStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Status of one instance.

    `stale_seconds` is set only for the instance of the agent that replies.
    """

    member: Member
    revision: int
    stale_seconds: float | None = None


class FleetStatus(msgspec.Struct, frozen=True):
    """The fleet as one agent sees it."""

    instances: tuple[InstanceStatus, ...]


class LeaveRequest(msgspec.Struct, frozen=True):
    """Request of an operator that an instance leaves."""

    instance: str


class LeaveReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The new state of the instance, or the result code of a failure."""

    state: str = ''
    code: int = 0


READ_FLEET = Method('agent', 'read_fleet', Empty, FleetStatus)
LEAVE = Method('agent', 'leave', LeaveRequest, LeaveReply)
