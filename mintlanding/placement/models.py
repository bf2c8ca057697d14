"""Options, actions and data classes of a steward."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Union

from mintlanding.fairness.models import QueuedRequest, QueueOptions
from mintlanding.placement.messages import AdapterRef, ReserveReply


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """A worker as configured."""

    worker: str
    zone: str
    slots: int
    batch_limit: int
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class StewardOptions:
    """How a steward behaves; all times in seconds.

    A report shows the engine's state at most `report_lag` ago. A reservation
    expires after `reservation_lifetime`; entries end their calls by then. After
    `load_tries` failed loads in a row, requests for the adapter are refused for
    `load_backoff`, which doubles up to `max_load_backoff`. An adapter with
    queued requests is evicted only if it was not used for `min_unused_time`.
    An order without a response for `order_timeout` leaves its slot uncertain;
    its call ends within `call_timeout`.
    """

    start_within: float = 2
    report_lag: float = 1.5
    reservation_lifetime: float = 600
    report_timeout: float = 6
    order_timeout: float = 5
    call_timeout: float = 35
    load_tries: int = 3
    load_backoff: float = 0.5
    max_load_backoff: float = 30
    reply_lifetime: float = 30
    half_life: float = 120
    popularity_limit: int = 8192
    max_loads: int = 4
    min_unused_time: float = 3
    prefetch_ratio: float = 4
    prefetch_interval: float = 1
    queue: str = 'weighted'
    eviction: str = 'popularity'
    queue_options: QueueOptions = QueueOptions()


class LeaseState(StrEnum):
    """What a steward may do.

    A gathering steward has the lease but does not know all pins yet. A lapsed
    one had the lease, and no newer steward is known.
    """

    none = 'none'
    gathering = 'gathering'
    held = 'held'
    lapsed = 'lapsed'
    superseded = 'superseded'


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Load an adapter; the response is passed to `load_done`."""

    order_id: int
    ref: AdapterRef
    fencing: int


@dataclass(frozen=True, slots=True)
class EvictOrder:
    """Evict an adapter; the response is passed to `evict_done`."""

    order_id: int
    ref: AdapterRef
    fencing: int


@dataclass(frozen=True, slots=True)
class FenceOrder:
    """Present a new fencing token; the response is passed to `fence_done`.

    Any order without effect will do, such as a change to the current role.
    """

    order_id: int
    fencing: int


@dataclass(frozen=True, slots=True)
class RequestPermit:
    """Request a permit of the weight store; the reply is passed to `permit`."""

    order_id: int
    urgent: bool


@dataclass(frozen=True, slots=True)
class ReturnPermit:
    """Return a permit; `used` tells whether the weight store was called.

    It may be issued twice for one order, if a response that was taken for lost
    arrives late.
    """

    order_id: int
    used: bool = True


Action = Union[
    ReserveReply,
    LoadOrder,
    EvictOrder,
    FenceOrder,
    RequestPermit,
    ReturnPermit,
]


@dataclass(slots=True)
class Reservation:
    """A granted reservation, which pins its adapter until it is released."""

    reservation_id: str
    ref: AdapterRef
    granted: float
    entry: str = ''
    item: QueuedRequest | None = None
    reply: ReserveReply | None = None
    orphaned: float | None = None


class SlotState(StrEnum):
    """State of the adapter in a slot of the engine."""

    loading = 'loading'
    resident = 'resident'
    evicting = 'evicting'


@dataclass(slots=True)
class Slot:
    """A slot in use; `order_id` is 0 when no response is pending.

    An uncertain slot had an order without a response and waits for a report. A
    busy one runs requests that the engine reports but the steward does not
    know.
    """

    ref: AdapterRef
    state: SlotState
    changed: float
    order_id: int = 0
    used: float = 0
    is_uncertain: bool = False
    is_busy: bool = False


@dataclass(slots=True)
class LoadFailure:
    """Consecutive failed loads of one adapter."""

    tries: int = 0
    retry_at: float = 0
    is_refused: bool = False


@dataclass(slots=True)
class PermitRequest:
    """A permit request; `retry_at` is set after a refusal."""

    order_id: int
    urgent: bool
    sent_at: float
    retry_at: float | None = None


@dataclass(slots=True)
class PendingLoad:
    """A load that has its permit and waits for the eviction of `victim`."""

    order_id: int
    ref: AdapterRef
    victim: AdapterRef
