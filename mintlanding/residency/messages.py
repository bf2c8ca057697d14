"""Messages between instances about the admission of requests to workers."""

from enum import StrEnum

import msgspec

from mintlanding.core.bounds import Count, Wait, Whole
from mintlanding.target_limits.messages import ColdReport, LimitReport


class GrantOutcome(StrEnum):
    """How a granted request ended at its engine.

    `not_ready`: rejected while its adapter was loading. `missing`: the adapter
    or its version is not resident. `full`: rejected for lack of capacity.
    `unused`: the grant was returned without a request.
    """

    served = 'served'
    failed = 'failed'
    not_ready = 'not_ready'
    missing = 'missing'
    full = 'full'
    unused = 'unused'


class AdmissionRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
):
    """A request for the admission of one run to one worker.

    `objective`, `max_wait` and `deadline` are in seconds from now: until the
    run misses its latency objective, until its caller should be refused, and
    until it must end. With an expected wait above `reroute_wait` another worker
    is the better choice. `parts` are the parts of the prompt in order, each
    with its number of tokens. `limits` is what the sender knows of a limit
    that the worker named. `event_gap` is the longest pause in seconds between
    two events of a stream with which it is still on time, 0 for none. `brittle`
    is what the sender knows of the refusals that the worker bears.
    `is_returning`: it was refused and returns at the time that it was told.
    `cold` is what the sender knows of the cold state of the worker.
    """

    request_id: str
    worker: str
    model: str
    adapter: str
    workspace: str
    prompt_tokens: Whole
    output_tokens: Whole
    priority: Count
    objective: Wait
    max_wait: Wait
    deadline: Wait
    reroute_wait: Wait
    parts: tuple[tuple[str, Whole], ...] = ()
    limits: tuple[LimitReport, ...] = ()
    event_gap: Wait = 0
    brittle: tuple[LimitReport, ...] = ()
    is_returning: bool = False
    cold: tuple[ColdReport, ...] = ()


class AdmissionReply(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
):
    """A grant, a refusal, or the notice that the request is queued.

    `version` is the adapter's version on the worker, 0 if unknown.
    `retry_after` is in seconds. `elsewhere` means that another worker may admit
    the request. `is_unheld`: the member that was asked has no steward for the
    worker.
    """

    request_id: str
    worker: str = ''
    is_granted: bool = False
    is_waiting: bool = False
    version: Whole = 0
    retry_after: Wait = 0
    elsewhere: bool = False
    reason: str = ''
    is_unheld: bool = False


class AdmissionEnd(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
):
    """The end of a queued or granted request.

    `first_event` is the time in seconds from sending the request to the first
    event of its stream, 0 without one; `longest_pause` that between two events.
    """

    request_id: str
    worker: str
    outcome: GrantOutcome
    first_event: Wait = 0
    longest_pause: Wait = 0


class DigestRoom(msgspec.Struct, frozen=True, array_like=True):
    """How long a request waits at a worker, in milliseconds.

    `class_waits_ms`: expected wait by priority of a workspace that has nothing
    queued; the last one applies to all further priorities.
    `workspace_waits_ms`: the longest waits of workspaces with queued requests,
    with their priority. `start_gap_ms`: expected time between two starts.
    """

    class_waits_ms: tuple[Count, ...]
    workspace_waits_ms: tuple[tuple[str, Count, Count], ...] = ()
    start_gap_ms: Count = 0


class WorkerDigest(msgspec.Struct, frozen=True, array_like=True):
    """A steward's summary of its worker for the other instances.

    `wait` is the expected number of seconds until a new request starts,
    `load_wait` that until the load of a further adapter begins. `hot` are the
    adapters whose requests fill much of the batch. `room` is None from stewards
    without a fair order. `prefill_rate` is in prompt tokens per second,
    `token_us` in microseconds per output token; 0 until they are learned.
    """

    worker: str
    incarnation: Whole
    can_order: bool
    running: Count = 0
    queued: Count = 0
    wait: Wait = 0
    load_wait: Wait = 0
    has_model: bool = True
    ready: tuple[str, ...] = ()
    hot: tuple[str, ...] = ()
    room: DigestRoom | None = None
    prefill_rate: Count = 0
    token_us: Count = 0
