"""Callers' requests in a replay, and their messages to stewards."""

from dataclasses import dataclass, field
from enum import StrEnum

from mintlanding.load_replay.engine_model import Run
from mintlanding.load_replay.models import LoadRequest
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionRequest,
    GrantOutcome,
)

MODEL = 'base'
# Share of the objective for which a request waits, as in `RelayOptions`.
MAX_WAIT_SHARE = 0.9
# Output tokens of a request that says nothing else.
USUAL_OUTPUT = 30
# Seconds; the longest pause of a stream with which it is on time.
_EVENT_GAP = 0.6
_MILLISECONDS = 1000


class Outcome(StrEnum):
    """How a request ended for its caller; each has exactly one."""

    on_time = 'on_time'
    late = 'late'
    refused = 'refused'


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; times in seconds, `prompt` in tokens."""

    priority: int = 0
    objective: float = 0.815
    deadline: float = 5.092
    prompt: int = 300
    route: str = 'live'


@dataclass
class Call:
    """A request of a caller, and how it ended; times in seconds."""

    name: str
    workspace: str
    kind: RequestClass
    arrived: float
    prompt: int
    adapter: str = ''
    zone: str = ''
    output: int = USUAL_OUTPUT
    service: str = ''
    attempts: int = 0
    started: float | None = None
    retry_at: list[float] = field(default_factory=list)
    is_on_time: bool = False
    is_served: bool = False

    @classmethod
    def from_request(cls, number: int, req: LoadRequest) -> 'Call':
        """Return the call of a recorded request."""
        kind = RequestClass(
            req.priority,
            req.objective_ms / _MILLISECONDS,
            req.deadline_ms / _MILLISECONDS,
            req.prompt_tokens,
            req.route,
        )
        return cls(
            f'r{number}',
            f'w{req.workspace}',
            kind,
            req.at_ms / _MILLISECONDS,
            req.prompt_tokens,
            f'a{req.adapter}' if req.adapter >= 0 else '',
            req.zone,
            req.output_tokens,
            req.service,
        )

    @property
    def outcome(self) -> Outcome:
        """Return how the request ended."""
        if not self.is_served:
            return Outcome.refused
        return Outcome.on_time if self.is_on_time else Outcome.late


@dataclass(frozen=True, slots=True)
class Reservation:
    """What an instance asks of a steward for a call; times in seconds."""

    name: str
    worker: str
    objective: float
    max_wait: float
    reroute_wait: float
    is_returning: bool = False


def make_request(
    call: Call, reservation: Reservation, now: float
) -> AdmissionRequest:
    """Return the admission request of a call."""
    return AdmissionRequest(
        request_id=reservation.name,
        worker=reservation.worker,
        model=MODEL,
        adapter=call.adapter,
        workspace=call.workspace,
        prompt_tokens=call.prompt,
        output_tokens=call.output,
        priority=call.kind.priority,
        event_gap=_EVENT_GAP,
        objective=reservation.objective,
        max_wait=reservation.max_wait,
        reroute_wait=reservation.reroute_wait,
        deadline=call.arrived + call.kind.deadline - now,
        is_returning=reservation.is_returning,
    )


def make_end(run: Run, worker: str) -> AdmissionEnd:
    """Return the report of a run that was served."""
    return AdmissionEnd(
        run.name,
        worker,
        GrantOutcome.served,
        run.first_event,
        run.longest_pause,
    )
