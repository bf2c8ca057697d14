"""The steward of one worker: reservations, pins, loads and evictions."""

import math
import random
from collections.abc import Sequence
from typing import Self

from mintlanding.core.results import ResultCode
from mintlanding.placement.admission import Admission
from mintlanding.placement.authority import Authority
from mintlanding.placement.digests import DigestBuilder
from mintlanding.placement.messages import (
    AdapterRef,
    EngineReport,
    PinReport,
    ReleaseRequest,
    ReserveRequest,
    WorkerDigest,
)
from mintlanding.placement.models import (
    Action,
    LeaseState,
    Reservation,
    ReturnPermit,
    SlotState,
    StewardOptions,
    WorkerSpec,
)
from mintlanding.placement.planner import LoadPlanner
from mintlanding.placement.slots import SlotTable

_Code = ResultCode


class Steward:
    """Decide for one worker which requests run and which adapters are loaded.

    Each event returns the actions to execute, in order. A `ReserveReply` among
    them is the one final reply to its reservation.
    """

    def __init__(
        self,
        spec: WorkerSpec,
        options: StewardOptions,
        rnd: random.Random,
        digests: DigestBuilder,
    ) -> None:
        """Start without a lease and without knowledge of the engine."""
        self._options = options
        self._digests = digests
        self._slots = SlotTable(
            spec.slots, options.report_lag, options.call_timeout
        )
        self._admission = Admission(spec, options)
        self._authority = Authority(spec, options)
        self._planner = LoadPlanner(
            options,
            self._slots,
            self._admission,
            self._authority,
            rnd,
        )
        self._reported_at = -math.inf
        self._is_leaving = False

    @classmethod
    def from_config(
        cls,
        spec: WorkerSpec,
        options: StewardOptions,
        rnd: random.Random,
        steward: str = '',
        address: str = '',
    ) -> Self:
        """Build the steward that instance `steward` at `address` runs."""
        digests = DigestBuilder.from_config(spec, steward, address)
        return cls(spec, options, rnd, digests)

    @property
    def state(self) -> LeaseState:
        """Return the state of the lease."""
        return self._authority.state

    @property
    def fencing(self) -> int:
        """Return the fencing token of new orders."""
        return self._authority.fencing

    def reserve(self, req: ReserveRequest, now: float) -> Sequence[Action]:
        """Queue a reservation; the reply is in these actions or later ones."""
        self._authority.advance(now)
        if self._admission.is_known(req.reservation_id):
            is_resident = self._slots.is_resident(req.ref)
            return self._admission.repeat_reply(req, is_resident)
        code = self._refusal_code(req.ref, now)
        if code is not None:
            return [self._admission.refuse_new(req, code, now)]
        refused_seconds = self._planner.failures.refused_for(req.ref, now)
        if refused_seconds and not self._slots.is_resident(req.ref):
            code = _Code.adapter_load_failed
            return [self._admission.refuse_new(req, code, now, refused_seconds)]
        replies = self._admission.enqueue(req, now)
        return [*replies, *self._proceed(now)]

    def release(self, req: ReleaseRequest, now: float) -> Sequence[Action]:
        """End a granted or queued reservation; a late copy has no effect."""
        self._authority.advance(now)
        reservation = self._admission.release(req, now)
        if reservation is None:
            replies = self._admission.withdraw(req, now)
            return [*replies, *self._proceed(now)]
        self._slots.touch(reservation.ref, now)
        return self._proceed(now)

    def engine_report(
        self,
        report: EngineReport,
        now: float,
    ) -> Sequence[Action]:
        """Apply a lagging report; ignore one of an earlier incarnation."""
        known = self._slots.incarnation
        if known is not None and report.incarnation < known:
            return []
        self._reported_at = now
        actions: list[Action] = []
        if known is None:
            self._slots.incarnation = report.incarnation
        elif report.incarnation > known:
            actions.extend(self._planner.restart(report, now))
        self._slots.apply(report, now)
        self._authority.report(now)
        settled = now - self._options.report_lag - self._options.start_within
        self._admission.reservations.release_orphans(
            frozenset(report.busy), settled
        )
        return [*actions, *self._proceed(now)]

    def load_done(
        self,
        order_id: int,
        ok: bool,
        now: float,
    ) -> Sequence[Action]:
        """Apply the engine's response to a load order."""
        slot = self._slots.settle(order_id, ok, now)
        if slot is None:
            return []
        if ok:
            self._planner.failures.forget(slot.ref)
            return [ReturnPermit(order_id), *self._proceed(now)]
        self._planner.failures.note(slot.ref, now)
        refused_seconds = self._planner.failures.refused_for(slot.ref, now)
        actions: list[Action] = [ReturnPermit(order_id)]
        if refused_seconds:
            code = _Code.adapter_load_failed
            actions.extend(
                self._admission.refuse_adapter(
                    slot.ref, code, now, refused_seconds
                ),
            )
        return [*actions, *self._proceed(now)]

    def evict_done(
        self,
        order_id: int,
        ok: bool,
        now: float,
    ) -> Sequence[Action]:
        """Apply the engine's response to an evict order."""
        slot = self._slots.settle(order_id, not ok, now)
        if slot is None:
            return []
        loads = self._planner.evicted(slot.ref, now)
        return [*loads, *self._proceed(now)]

    def order_unanswered(self, order_id: int, now: float) -> Sequence[Action]:
        """Record that an order's call failed and may have taken effect."""
        released = self._planner.mark_uncertain(order_id, now)
        return [*released, *self._proceed(now)]

    def fence_done(
        self,
        order_id: int,
        ok: bool,
        now: float,
    ) -> Sequence[Action]:
        """Apply the engine's response to a fence order."""
        if ok and self._planner.is_current_fence(order_id):
            self._authority.confirm(now)
        return self._proceed(now)

    def permit(
        self,
        order_id: int,
        granted: bool,
        retry_after: float,
        now: float,
    ) -> Sequence[Action]:
        """Apply the reply to a permit request."""
        self._authority.advance(now)
        if not granted:
            self._planner.permits.refuse(order_id, retry_after, now)
            return []
        loads = self._planner.permit(order_id, now)
        return [*loads, *self._proceed(now)]

    def take_over(
        self,
        fencing: int,
        now: float,
        lease_until: float = math.inf,
    ) -> Sequence[Action]:
        """Start under a new lease; ignore a lower fencing token."""
        if not self._authority.take_over(fencing, now, lease_until):
            return []
        self._is_leaving = False
        returned = self._planner.return_permits()
        return [*returned, *self._planner.fence(), *self._proceed(now)]

    def lease_renewed(
        self,
        lease_until: float,
        now: float,
    ) -> Sequence[Action]:
        """Extend the lease under its fencing token."""
        self._authority.renew(lease_until, now)
        return self._proceed(now)

    def lease_lost(self, now: float) -> Sequence[Action]:
        """Continue to queue and grant requests and to load into free slots.

        Evictions continue only if the engine checks fencing tokens.
        """
        self._authority.lose()
        return self._proceed(now)

    def superseded(self, now: float) -> Sequence[Action]:
        """Stop because a newer steward exists, which entries now use."""
        self._authority.supersede()
        replies = self._admission.refuse_all(_Code.no_target, now)
        return [*self._planner.return_permits(), *replies]

    def pins(self, report: PinReport, now: float) -> Sequence[Action]:
        """Take over the reservations that an entry has on the worker."""
        for reservation_id, ref in report.pins:
            pinned = Reservation(reservation_id, ref, now, report.entry)
            self._admission.reservations.grant(pinned)
        return self._proceed(now)

    def pins_complete(self, now: float) -> Sequence[Action]:
        """Record that all entries of the zone have reported their pins."""
        self._authority.complete_pins()
        return self._proceed(now)

    def entry_gone(self, entry: str, now: float) -> Sequence[Action]:
        """Refuse an entry's queued requests; release its pins once idle."""
        self._admission.reservations.mark_orphaned(entry, now)
        replies = self._admission.refuse_entry(entry, now)
        return [*replies, *self._proceed(now)]

    def drain(self, now: float) -> Sequence[Action]:
        """Refuse all queued and new requests; granted ones run to their end."""
        self._is_leaving = True
        replies = self._admission.refuse_all(_Code.draining, now)
        return [*self._planner.return_permits(), *replies]

    def tick(self, now: float) -> Sequence[Action]:
        """Handle what depends on time: expiry, timeouts, backoff, prefetch."""
        self._admission.reservations.prune(now)
        self._planner.failures.prune(now)
        actions = list(self._planner.overdue(now))
        if self._authority.needs_fence:
            actions.extend(self._planner.fence())
        if self._is_silent(now):
            detail = 'the engine is silent'
            code = _Code.no_target
            actions.extend(self._admission.refuse_all(code, now, detail))
        for ref in self._planner.unavailable(now):
            code = _Code.no_target
            actions.extend(self._admission.refuse_adapter(ref, code, now))
        actions.extend(self._planner.repeat_requests(now))
        actions.extend(self._proceed(now))
        if not self._is_leaving:
            actions.extend(self._planner.prefetch(now))
        return actions

    def digest(self, now: float) -> WorkerDigest:
        """Summarise the worker; the sequence increases with each change."""
        queue = self._admission.queue
        return self._digests.build(
            fencing=self._authority.fencing,
            resident=self._slots.in_state(SlotState.resident),
            loading=self._slots.in_state(SlotState.loading),
            queued=len(queue),
            queued_tokens=queue.tokens,
            running=len(self._admission.reservations),
            can_load=self._planner.can_load(),
            silent=self._is_silent(now),
            leaving=self._is_leaving,
        )

    def _proceed(self, now: float) -> list[Action]:
        """Grant, expire and plan loads after any change."""
        self._authority.advance(now)
        self._admission.set_ready(self._ready(), now)
        actions: list[Action] = []
        if self._authority.is_active:
            replies = self._admission.grant(self._authority.fencing, now)
            self._planner.note_grants(replies, now)
            actions.extend(replies)
        actions.extend(self._admission.expire(now))
        actions.extend(self._planner.plan(now))
        return actions

    def _ready(self) -> set[AdapterRef]:
        if not self._authority.may_load():
            return set()
        return set(self._slots.in_state(SlotState.resident))

    def _refusal_code(self, ref: AdapterRef, now: float) -> ResultCode | None:
        if self._is_leaving:
            return _Code.draining
        if not self._authority.is_active or self._is_silent(now):
            return _Code.no_target
        if self._slots.get(ref) is None and not self._planner.can_load():
            return _Code.no_target
        return None

    def _is_silent(self, now: float) -> bool:
        last = max(self._reported_at, self._authority.since)
        return now > last + self._options.report_timeout
