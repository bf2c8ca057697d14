"""What a replay needs of a steward, and a plain one for baselines."""

import random
from collections.abc import Sequence
from typing import Protocol

from mintlanding.load_replay.calls import MODEL
from mintlanding.load_replay.models import EngineRates, EngineSpec
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    GrantOutcome,
    WorkerDigest,
)
from mintlanding.residency.models import (
    Action,
    EngineReport,
    Order,
    OrderKind,
    OrderResult,
)

# Least retry time in seconds, and the share of jitter, as of the product.
_MIN_RETRY_AFTER = 0.1
_RETRY_JITTER = 0.3
# Weight of a new service time in the average, and its initial value.
_SMOOTHING = 0.05
_INITIAL_SERVICE_TIME = 0.4
# Seconds until a request is sent again to an engine that still loads.
_RESEND_DELAY = 0.05


class Admission(Protocol):
    """The part of `EngineSteward` that a replay uses."""

    def start(self, now: float) -> Sequence[Action]:
        """Begin."""

    def set_authority(self, may_order: bool, now: float) -> Sequence[Action]:
        """Start or stop sending orders."""

    def reserve(self, req: AdmissionRequest, now: float) -> Sequence[Action]:
        """Grant, queue or refuse a request."""

    def end(self, message: AdmissionEnd, now: float) -> Sequence[Action]:
        """End a granted or queued request."""

    def order_done(
        self, order: Order, outcome: OrderResult, now: float
    ) -> Sequence[Action]:
        """Apply the result of an order."""

    def report(self, report: EngineReport, now: float) -> Sequence[Action]:
        """Apply a report of the engine."""

    def tick(self, now: float) -> Sequence[Action]:
        """Handle what depends on time."""

    def next_event(self, now: float) -> float | None:
        """Return when `tick` should be called next."""

    def digest(self, now: float) -> WorkerDigest:
        """Summarise the engine for the instances."""


class PlainAdmission:
    """Serve requests first in first out, or without a queue.

    Those whose adapter is loading are overtaken. An adapter that no request
    uses and that was used least recently gives way.
    """

    def __init__(
        self,
        spec: EngineSpec,
        rates: EngineRates,
        rnd: random.Random,
        *,
        has_queue: bool = True,
    ) -> None:
        """Start without requests and adapters."""
        self._spec = spec
        self._rates = rates
        self._rnd = rnd
        self._has_queue = has_queue
        self._service_time = _INITIAL_SERVICE_TIME
        # Requests with the time until which they wait, in order of arrival.
        self._queue: dict[str, tuple[AdmissionRequest, float]] = {}
        self._granted: dict[str, tuple[AdmissionRequest, float]] = {}
        # When the adapter in a slot can be used, least recently used first.
        self._ready_at: dict[str, float] = {}
        self._orders = 0

    def start(self, now: float) -> Sequence[Action]:
        """Begin; nothing has to be known of the engine."""
        return []

    def set_authority(self, may_order: bool, now: float) -> Sequence[Action]:
        """Do nothing, as orders are always sent."""
        return []

    def reserve(self, req: AdmissionRequest, now: float) -> Sequence[Action]:
        """Queue a request, and grant it if a slot is free."""
        taken = len(self._granted) + len(self._queue)
        if not self._has_queue and taken >= self._spec.slots:
            return [self._refusal(req)]
        self._queue[req.request_id] = (req, now + req.max_wait)
        return self._proceed(now)

    def end(self, message: AdmissionEnd, now: float) -> Sequence[Action]:
        """End a granted or queued request."""
        self._queue.pop(message.request_id, None)
        req, since = self._granted.pop(message.request_id, (None, now))
        if message.outcome is GrantOutcome.served:
            change = now - since - self._service_time
            self._service_time += _SMOOTHING * change
        elif message.outcome is GrantOutcome.not_ready and req is not None:
            self._ready_at[req.adapter] = now + _RESEND_DELAY
        return self._proceed(now)

    def order_done(
        self, order: Order, outcome: OrderResult, now: float
    ) -> Sequence[Action]:
        """Do nothing, as the model accepts all orders."""
        return []

    def report(self, report: EngineReport, now: float) -> Sequence[Action]:
        """Do nothing, as no report is requested."""
        return []

    def tick(self, now: float) -> Sequence[Action]:
        """Refuse requests that have waited as long as they may."""
        expired = [req for req, until in self._queue.values() if until <= now]
        for req in expired:
            self._queue.pop(req.request_id)
        return [*map(self._refusal, expired), *self._proceed(now)]

    def next_event(self, now: float) -> float | None:
        """Return when the next request may be granted or is refused."""
        return now if self._queue else None

    def digest(self, now: float) -> WorkerDigest:
        """Summarise the engine for the instances."""
        ready = tuple(name for name, at in self._ready_at.items() if at <= now)
        return WorkerDigest(
            self._spec.name,
            1,
            can_order=True,
            running=len(self._granted),
            queued=len(self._queue),
            wait=self._expected_wait(),
            ready=ready,
        )

    def _proceed(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for req, _ in tuple(self._queue.values()):
            if len(self._granted) >= self._spec.slots:
                break
            if req.adapter and self._ready_at.get(req.adapter, now + 1) > now:
                actions += self._load(req.adapter, now)
                continue
            self._queue.pop(req.request_id)
            self._granted[req.request_id] = (req, now)
            if req.adapter:
                # The most recently used adapter is the last one.
                ready_at = self._ready_at.pop(req.adapter)
                self._ready_at[req.adapter] = ready_at
            actions.append(
                AdmissionReply(req.request_id, self._spec.name, is_granted=True)
            )
        return actions

    def _load(self, adapter: str, now: float) -> list[Action]:
        if adapter in self._ready_at:
            return []
        orders: list[Action] = []
        if len(self._ready_at) >= self._spec.adapter_slots:
            used = {req.adapter for req, _ in self._granted.values()}
            victim = next(
                (
                    name
                    for name, at in self._ready_at.items()
                    if name not in used and at <= now
                ),
                None,
            )
            if victim is None:
                return []
            self._ready_at.pop(victim)
            orders.append(self._order(OrderKind.unload, victim))
        self._ready_at[adapter] = now + self._rates.load_time
        orders.append(self._order(OrderKind.load, adapter))
        return orders

    def _order(self, kind: OrderKind, adapter: str) -> Order:
        self._orders += 1
        return Order(kind, MODEL, adapter, self._orders - 1)

    def _expected_wait(self) -> float:
        return len(self._queue) * self._service_time / self._spec.slots

    def _refusal(self, req: AdmissionRequest) -> AdmissionReply:
        spread = 1 + _RETRY_JITTER * self._rnd.random()
        return AdmissionReply(
            req.request_id,
            self._spec.name,
            retry_after=max(_MIN_RETRY_AFTER, self._expected_wait()) * spread,
            elsewhere=True,
            reason='overloaded',
        )
