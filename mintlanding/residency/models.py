"""Terms and records of a steward; times in seconds, sizes in tokens."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Union

from mintlanding.residency.messages import AdmissionReply, AdmissionRequest


class OrderKind(StrEnum):
    """What an engine is told to do with an adapter."""

    load = 'load'
    unload = 'unload'


class OrderResult(StrEnum):
    """How an engine answered an order.

    `lost`: no answer came, the order may be carried out at any time while
    its expected count still holds.
    """

    accepted = 'accepted'
    holds = 'holds'
    conflict = 'conflict'
    rejected = 'rejected'
    not_sent = 'not_sent'
    lost = 'lost'


@dataclass(frozen=True, slots=True)
class Order:
    """An order; `expected` is the count of orders the engine must have."""

    kind: OrderKind
    model: str
    adapter: str
    expected: int
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestReport:
    """Ask the engine what it holds."""


Action = Union[AdmissionReply, Order, RequestReport]


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says it holds, some hundred milliseconds ago.

    `requests` run or wait there; None if it does not tell.
    """

    incarnation: int
    orders_taken: int
    requests: int | None = None
    models: tuple[str, ...] = ()
    adapters: tuple[tuple[str, int], ...] = ()
    coming: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class StewardOptions:
    """How a steward admits and orders.

    `prompt_rate`: tokens a second that an engine reads; the users' sheet.
    `load_time` and `reload_time`: an adapter from the weight store, and one
    that the worker held recently; the users' sheet. `transit_limit`: loads
    that an engine takes at a time; its protocol. `recent_limit`: adapters
    taken for recently held. `backlog_limit`: seconds of prompts handed to an
    engine ahead, a little more than a long prompt takes. `token_share`: part
    of the engine's memory that running requests may fill, the rest keeps
    prompts. `half_life` of the demand for an adapter, about that of its
    swings. `report_pause`: how long a report lags behind. `order_pause`:
    before an order is repeated; an engine that carries out another one
    refuses it `busy_tries` times before a report is asked for.
    `report_patience`: an engine that has not said what it holds for longer
    counts as silent; three times its lag.
    `replace_patience`: a new version waits so long for the runs on the old
    one, half of what the users allow. `settle_time`: an adapter that was just
    loaded is not unloaded, since its load may last a little longer.
    `users_life`: how long the word of an instance about the adapters that it
    uses holds; a new steward waits `users_wait` for such words. `hot_share`:
    an adapter whose requests fill this part of the batch is one for several
    workers. `stall_time`: so long after `stall_requests` requests began,
    without one being served, an engine is taken to hang; twice what a long
    answer takes. `silent_orders`: orders in a row without an answer until an
    engine is taken to answer none. `queue_limit` and `prefix_limit` bound
    what is remembered, in requests and prompt parts. `priority_step`: what a
    step of priority counts in the order of those that wait.
    """

    prompt_rate: float = 38100
    load_time: float = 0.25
    reload_time: float = 0.03
    transit_limit: int = 4
    recent_limit: int = 96
    backlog_limit: float = 0.25
    token_share: float = 0.9
    half_life: float = 15
    report_pause: float = 0.25
    report_patience: float = 0.8
    order_pause: float = 0.05
    busy_tries: int = 8
    replace_patience: float = 2.5
    settle_time: float = 0.1
    users_life: float = 0.8
    users_wait: float = 0.5
    hot_share: float = 0.25
    stall_time: float = 1.2
    stall_requests: int = 3
    silent_orders: int = 3
    queue_limit: int = 256
    priority_step: float = 0.2
    prefix_limit: int = 4096


class HeldState(StrEnum):
    """What a place of the engine is used for."""

    loading = 'loading'
    ready = 'ready'
    unloading = 'unloading'


@dataclass(slots=True)
class Held:
    """An adapter in a place; `ready_at` bounds the end of its load."""

    adapter: str
    state: HeldState
    version: int = 0
    ready_at: float = 0
    used: float = 0
    pins: int = 0
    stale_since: float | None = None


@dataclass(slots=True)
class Waiting:
    """A request in the queue; a lower `rank` goes first."""

    req: AdmissionRequest
    rank: float
    expires: float
    cost: float
    is_told: bool = False


@dataclass(slots=True)
class Granted:
    """A request on the engine."""

    req: AdmissionRequest
    since: float
    expires: float


@dataclass(slots=True)
class OrderUnderWay:
    """The one order whose effect is not known yet."""

    order: Order
    resend_at: float | None = None
    is_lost: bool = False
    failures: int = 0
    conflicts: int = 0


@dataclass(slots=True)
class EngineCapacity:
    """What the engine of a worker can take; `load_time` of the model."""

    model: str
    load_time: float
    places: int
    batch_limit: int
    token_capacity: int


@dataclass(slots=True)
class StewardCounters:
    """Counts of what a steward did."""

    loads: int = 0
    unloads: int = 0
    grants: int = 0
    refusals: int = 0
    conflicts: int = 0
    lost_orders: int = 0
    not_ready: int = 0
    missing: int = 0
