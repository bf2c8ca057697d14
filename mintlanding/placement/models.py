"""Terms of a steward, the actions it asks for, and its small records."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Union

from mintlanding.fairness.models import QueuedRequest, QueueOptions
from mintlanding.placement.messages import AdapterRef, ReserveReply


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """A worker as the configuration has it."""

    worker: str
    zone: str
    slots: int
    batch_limit: int
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class StewardOptions:
    """How a steward behaves; all times in seconds.

    A report shows an engine at most `report_lag` ago. No reservation lives
    longer than `reservation_life`; entries end their calls by then. A load
    that fails `load_tries` times in a row is refused for `load_backoff`,
    which doubles up to `max_load_backoff`. An adapter with waiting requests
    is evicted only when it was not used for `demand_patience`.
    """

    start_within: float = 2
    report_lag: float = 1.5
    reservation_life: float = 600
    silence_after: float = 6
    order_timeout: float = 5
    load_tries: int = 3
    load_backoff: float = 0.5
    max_load_backoff: float = 30
    answers_kept: float = 30
    half_life: float = 120
    popularity_limit: int = 8192
    max_loads: int = 4
    demand_patience: float = 3
    prefetch_ratio: float = 4
    prefetch_interval: float = 1
    queue: str = 'weighted'
    eviction: str = 'popularity'
    queue_options: QueueOptions = QueueOptions()


class LeaseState(StrEnum):
    """What a steward may do.

    A gathering steward holds the lease and does not know all pins yet. A
    lapsed one had the lease and no newer steward is known.
    """

    none = 'none'
    gathering = 'gathering'
    held = 'held'
    lapsed = 'lapsed'
    superseded = 'superseded'


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Tell the engine to load an adapter; answered by `load_done`."""

    order_id: int
    ref: AdapterRef
    fencing: int


@dataclass(frozen=True, slots=True)
class EvictOrder:
    """Tell the engine to evict an adapter; answered by `evict_done`."""

    order_id: int
    ref: AdapterRef
    fencing: int


@dataclass(frozen=True, slots=True)
class FenceOrder:
    """Show an engine the new fencing number; answered by `fence_done`.

    Any order without effect will do, such as a role change to its own role.
    """

    order_id: int
    fencing: int


@dataclass(frozen=True, slots=True)
class AskPermit:
    """Ask for a permit of the weight store; answered by `permit`."""

    order_id: int
    urgent: bool


@dataclass(frozen=True, slots=True)
class ReturnPermit:
    """Give a permit back; `used` tells whether the store was asked.

    It may come twice for one order, when a lost answer comes late after all.
    """

    order_id: int
    used: bool = True


Action = Union[
    ReserveReply,
    LoadOrder,
    EvictOrder,
    FenceOrder,
    AskPermit,
    ReturnPermit,
]


@dataclass(slots=True)
class Reservation:
    """A granted reservation, which pins its adapter until released."""

    reservation_id: str
    ref: AdapterRef
    granted: float
    entry: str = ''
    item: QueuedRequest | None = None
    reply: ReserveReply | None = None
    orphaned: float | None = None


class SlotState(StrEnum):
    """What a slot of the engine holds its adapter for."""

    loading = 'loading'
    resident = 'resident'
    evicting = 'evicting'


@dataclass(slots=True)
class Slot:
    """A slot in use; `order_id` 0 means that no answer is awaited.

    A doubtful slot waits for a report, since its order has no answer. A busy
    one runs requests that the engine reports and the steward does not know.
    """

    ref: AdapterRef
    state: SlotState
    changed: float
    order_id: int = 0
    used: float = 0
    is_doubtful: bool = False
    is_busy: bool = False


@dataclass(slots=True)
class LoadFailure:
    """Failed loads of one adapter in a row."""

    tries: int = 0
    retry_at: float = 0
    is_refused: bool = False


@dataclass(slots=True)
class PermitAsk:
    """A permit asked for; `ask_again` is set while a refusal lasts."""

    order_id: int
    urgent: bool
    asked: float
    ask_again: float | None = None


@dataclass(slots=True)
class PendingLoad:
    """A load with its permit that waits for the eviction of `victim`."""

    order_id: int
    ref: AdapterRef
    victim: AdapterRef
