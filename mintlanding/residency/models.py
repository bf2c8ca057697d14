"""Options and data classes of a steward; times in seconds, sizes in tokens."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Union

from mintlanding.residency.messages import AdmissionReply, AdmissionRequest
from mintlanding.residency.pauses import PauseOptions


class OrderKind(StrEnum):
    """What an order tells the engine to do with an adapter."""

    load = 'load'
    unload = 'unload'


class OrderResult(StrEnum):
    """How an engine responded to an order.

    `lost`: no response came, so the engine may execute the order at any time
    while its number of accepted orders still equals the expected one.
    """

    accepted = 'accepted'
    holds = 'holds'
    conflict = 'conflict'
    rejected = 'rejected'
    not_sent = 'not_sent'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine, valid while it has accepted `expected` orders."""

    kind: OrderKind
    model: str
    adapter: str
    expected: int
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestReport:
    """Request a report of the engine's state."""


Action = Union[AdmissionReply, Order, RequestReport]


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's state as it was some hundred milliseconds ago.

    `orders_taken` is how many orders the engine has accepted, `coming` are the
    adapters that it is loading. `requests` run or wait there; None if the
    engine does not report them.
    """

    incarnation: int
    orders_taken: int
    requests: int | None = None
    models: tuple[str, ...] = ()
    adapters: tuple[tuple[str, int], ...] = ()
    coming: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class StewardOptions:
    """How a steward admits requests and sends orders.

    `initial_prefill_rate` (tokens per second that an engine prefills) and
    `initial_token_time` (seconds that an output token takes) apply until the
    engine's own are learned. `load_time` (of an adapter from the weight store)
    and `reload_time` (of an adapter that was on the worker recently) come from
    the users' specification. `max_concurrent_loads`: concurrent loads that an
    engine accepts, by its protocol. `max_recent_adapters`: adapters remembered
    as recently loaded. `pauses`: how much prefill running streams bear.

    `max_prefill_backlog`: seconds of prefill sent to an engine in advance, a
    little more than a long prompt takes. `max_memory_share`: part of the
    engine's memory that running requests may fill; the rest keeps the prefix
    cache. `half_life` of an adapter's popularity, about that of its swings.

    `report_lag`: how far a report lags behind. `report_timeout`: an engine
    whose state stays unknown for longer is unresponsive; three times the lag.
    `resend_delay`: delay before an order is sent again. An engine that is busy
    with another order rejects it; after `max_conflicts` rejections the steward
    requests a report instead. `max_unanswered_orders`: consecutive orders
    without a response after which an engine is unresponsive to orders.

    `replace_max_wait`: how long a new version of an adapter waits for requests
    that run on the old one; half of what the users allow. `load_margin`: an
    adapter is not unloaded within this time after its expected load time,
    because the load may take a little longer. `usage_report_lifetime`: validity
    of an instance's report of the adapters that it uses; a new steward waits
    `usage_report_wait` for such reports. `hot_batch_share`: an adapter whose
    requests fill this part of the batch is spread over several workers.
    `stall_factor`: an engine has stalled when `stall_requests` requests have
    run for so many times the time that they usually take, `min_stall_time` at
    least, and none was served.

    `max_queue_length` (requests) and `max_prefix_parts` (parts of prompts)
    bound memory. `priority_step`: seconds by which one step of priority moves a
    request in the queue.
    """

    initial_prefill_rate: float = 30000
    initial_token_time: float = 0.05
    load_time: float = 0.25
    reload_time: float = 0.03
    max_concurrent_loads: int = 4
    max_recent_adapters: int = 96
    max_prefill_backlog: float = 0.25
    max_memory_share: float = 0.9
    half_life: float = 15
    report_lag: float = 0.25
    report_timeout: float = 0.8
    resend_delay: float = 0.05
    max_conflicts: int = 8
    replace_max_wait: float = 2.5
    load_margin: float = 0.1
    usage_report_lifetime: float = 0.8
    usage_report_wait: float = 0.5
    hot_batch_share: float = 0.25
    stall_factor: float = 2
    min_stall_time: float = 1.2
    stall_requests: int = 3
    max_unanswered_orders: int = 3
    max_queue_length: int = 256
    priority_step: float = 0.2
    max_prefix_parts: int = 4096
    pauses: PauseOptions = PauseOptions()


@dataclass(frozen=True, slots=True)
class Loading:
    """The adapter is being loaded until `ends_at`, None while unknown.

    An order without a response, a conflict or a response that names the adapter
    missing leaves the end unknown; the next report settles it.
    """

    ends_at: float | None = None


@dataclass(frozen=True, slots=True)
class Resident:
    """The adapter is resident; 0 if it was before the steward began."""

    since: float = 0


@dataclass(frozen=True, slots=True)
class Unloading:
    """An order to unload the adapter is pending."""


SlotState = Loading | Resident | Unloading


@dataclass(slots=True)
class AdapterSlot:
    """A slot that an adapter occupies, last used at a time."""

    adapter: str
    state: SlotState
    version: int = 0
    used: float = 0


@dataclass(slots=True)
class QueuedRequest:
    """A queued request; a lower `rank` goes first.

    `cost` is its prefill time, `work` that and the time of its tokens.
    `is_returning`: it was refused and returns at the time that it was told.
    """

    req: AdmissionRequest
    rank: float
    expires: float
    cost: float
    is_acknowledged: bool = False
    work: float = 0
    is_returning: bool = False


@dataclass(slots=True)
class GrantedRequest:
    """A request that was admitted to the engine.

    `prompt_tokens` are those of its prompt that are probably not cached,
    `tokens_ahead` those that the engine had to prefill before. `pause_share` is
    the share of the pause aim that prefill might take when it was admitted.
    `charge` is the virtual time that its workspace was charged.
    """

    req: AdmissionRequest
    since: float
    expires: float
    prompt_tokens: float = 0
    tokens_ahead: float = 0
    pause_share: float = 0
    charge: float = 0


@dataclass(slots=True)
class PendingOrder:
    """The one order whose effect is not known yet."""

    order: Order
    resend_at: float | None = None
    is_lost: bool = False
    failures: int = 0
    conflicts: int = 0


@dataclass(slots=True)
class EngineCapacity:
    """Limits of a worker's engine; `load_time` is that of the base model."""

    model: str
    load_time: float
    slots: int
    batch_limit: int
    token_capacity: int


@dataclass(slots=True)
class StewardCounters:
    """Counters of what a steward did."""

    loads: int = 0
    unloads: int = 0
    grants: int = 0
    refusals: int = 0
    conflicts: int = 0
    displaced: int = 0
    lost_orders: int = 0
    not_ready: int = 0
    missing: int = 0
