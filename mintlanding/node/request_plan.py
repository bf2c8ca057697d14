"""A request on its way through the relay, and how its attempts end."""

from dataclasses import dataclass, field
from enum import StrEnum

from mintlanding.http1.models import Headers
from mintlanding.http1.server import CallerRequest
from mintlanding.node.admissions import Reservation
from mintlanding.node.crash_watch import LostRequest
from mintlanding.node.events import EventBuffer
from mintlanding.node.stream_times import StreamTimes
from mintlanding.traffic.header_fields import CallerFields
from mintlanding.traffic.homes import Homes
from mintlanding.traffic.models import Demand, Route, Service, Workspace


class AttemptResult(StrEnum):
    """How one attempt at a target ended.

    `not_run`: the target reports that it did not run the request. `missing`:
    the same, for lack of the adapter. `lost`: the request may have run.
    `failed`: it ran, failed and is retried elsewhere. `broken`: the response
    was lost after a part of it had been sent to the caller. `quarantined`: a
    part of the prompt crashes engines, so that the request was not sent.
    `no_turn`: the target has a limit or little room, and the request has no
    turn within it, or it has asked for a pause. `stopping`: this process
    ends before the response would. `gone`: its caller left before it was sent.
    """

    done = 'done'
    not_sent = 'not_sent'
    not_run = 'not_run'
    missing = 'missing'
    failed = 'failed'
    lost = 'lost'
    late = 'late'
    broken = 'broken'
    quarantined = 'quarantined'
    no_turn = 'no_turn'
    stopping = 'stopping'
    gone = 'gone'


@dataclass(frozen=True, slots=True)
class FailedResponse:
    """Error response of a target, passed on unless a retry succeeds."""

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class RequestPlan:
    """A request to be sent, with its route and the state of its attempts.

    `deadline` is the monotonic time by which the final response is sent.
    `digest` is equal for requests with the same path, caller and body; it is
    empty if unknown. `charged` is the amount taken from the workspace's quota.
    `sends` counts all attempts, `runs` those that may have run, and `waited`
    the seconds spent waiting for admissions. `framing` is that of the last
    response that a target began, `limit` the rate in requests per second that
    it named, and `is_stream_begun` tells whether it was a stream. `is_refused`:
    the last target has certainly not run the request. `build` is
    that of the last target, `entry` the state of its entry and `view_age` the
    age of the view when the request was sent. Once a stream has begun, it may
    go on only at `began_at_build` and with events of its `media_type`. `turn`
    is the target at which the request may take one place within the limit that
    the target named, `turns` how often it asked for one; `turn_at` is when it
    got the turn, `turn_asked_at` when it asked for it, and `turn_id` the id
    under which the end of the request is reported. `sent_at` is when the last
    attempt was sent, `times` are those of its events. `response_seconds` is the
    time from its sending to the head of the response. `through` is the address
    of the member through which the last target was reached, empty for a direct
    connection. `reservation` is for the next attempt, made while the last one
    was silent. `homes` are the regions in which the request may run, None for
    all. `is_returning`: it was refused before and returns at the time that it
    was told. `return_gap` is the expected seconds between two places that
    callers of this instance get. `mark` tells requests apart to which callers
    gave the same id.
    """

    req: CallerRequest
    fields: CallerFields
    route: Route
    workspace: Workspace | None
    service: Service
    deadline: float
    demand: Demand
    digest: str = ''
    charged: float = 0
    sends: int = 0
    runs: int = 0
    tried: set[str] = field(default_factory=set)
    events: EventBuffer = field(default_factory=EventBuffer)
    framing: str = ''
    limit: float | None = None
    turn: tuple[str, int] | None = None
    turns: int = 0
    turn_at: float = 0
    turn_asked_at: float = 0
    turn_id: str = ''
    sent_at: float = 0
    response_seconds: float = 0
    times: StreamTimes = field(default_factory=lambda: StreamTimes(0))
    is_stream_begun: bool = False
    last_event: str = ''
    target: str = ''
    through: str = ''
    build: str = ''
    entry: str = ''
    view_age: float = 0
    began_at_build: str | None = None
    media_type: str = ''
    waited: float = 0
    is_sent: bool = False
    is_refused: bool = False
    retry_after: float = 0
    reason: str = ''
    failure: FailedResponse | None = None
    reservation: Reservation | None = None
    homes: Homes = None
    is_returning: bool = False
    return_gap: float = 0
    mark: str = ''

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests may share.

        The last part belongs to the request or its session alone.
        """
        return tuple(part for part, _ in self.fields.parts[:-1])

    @property
    def has_events(self) -> bool:
        """Tell whether the last attempt has brought a whole event."""
        return self.is_stream_begun and self.events.has_events

    @property
    def is_abandoned(self) -> bool:
        """Tell whether the caller has left and no target may have run it."""
        return self.req.is_disconnected and not self.is_sent

    def admission_id(self, number: str) -> str:
        """Return the id of a numbered request for an admission or a turn."""
        return f'{self.fields.request_id}.{self.mark}.{number}'

    def time_left(self, now: float) -> float:
        """Return the seconds from a time of the event loop to the deadline."""
        return self.deadline - now

    def take_turn(
        self,
        target: tuple[str, int],
        asked_at: float,
        now: float,
        turn_id: str = '',
    ) -> None:
        """Record a turn at a target."""
        self.turn = target
        self.turn_asked_at = asked_at
        self.turn_at = now
        self.turn_id = turn_id

    def record_sent(self, now: float) -> None:
        """Record that an attempt is sent."""
        self.sent_at = now
        self.times = StreamTimes(now)

    def as_lost(self) -> LostRequest:
        """Return what is known of the request if its response is lost."""
        parts = () if self.has_events else self.shared_parts
        return LostRequest(self.digest, parts)

    @property
    def priority(self) -> int:
        """Return the priority; a workspace's overrides that of the route."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final response without an attempt."""

    status: int
    reason: str
    retry_after: float = 0
