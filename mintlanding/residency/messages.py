"""Messages between instances about admission and stewardship."""

from enum import StrEnum

import msgspec


class GrantOutcome(StrEnum):
    """How a granted request ended at its engine.

    `not_ready`: refused while its adapter was loading. `missing`: the engine
    does not hold the adapter or version. `full`: refused for lack of room.
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
    """A wish to run one request on one worker.

    `objective` and `max_wait` are the seconds until the request is late and
    until its caller should be told to come back; a longer wait than
    `reroute_wait` is better spent at another worker. `parts` are the parts of
    the prompt in order, with their tokens.
    """

    request_id: str
    worker: str
    model: str
    adapter: str
    workspace: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    objective: float
    max_wait: float
    deadline: float
    reroute_wait: float
    parts: tuple[tuple[str, int], ...] = ()


class AdmissionReply(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
):
    """A grant, a refusal, or the notice that the request waits.

    `version` is the adapter's version on the worker, 0 if unknown.
    `retry_after` is in seconds; with `elsewhere` another worker may do.
    """

    request_id: str
    worker: str = ''
    is_granted: bool = False
    is_waiting: bool = False
    version: int = 0
    retry_after: float = 0
    elsewhere: bool = False
    reason: str = ''


class AdmissionEnd(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
):
    """The end of a request that waits or was granted."""

    request_id: str
    worker: str
    outcome: GrantOutcome


class WorkerDigest(msgspec.Struct, frozen=True, array_like=True):
    """What a steward tells of its worker.

    `wait` are the seconds until a request probably starts, `load_wait` those
    until one starts whose adapter has to be loaded. `hot` are adapters that
    fill much of its batch.
    """

    worker: str
    incarnation: int
    can_order: bool
    running: int = 0
    queued: int = 0
    wait: float = 0
    load_wait: float = 0
    has_model: bool = True
    ready: tuple[str, ...] = ()
    hot: tuple[str, ...] = ()
