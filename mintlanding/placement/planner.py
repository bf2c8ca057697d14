"""Which adapter to load next, into which slot, with which permit."""

import math
import random
from collections.abc import Iterable, Sequence

from mintlanding.placement.admission import Admission
from mintlanding.placement.authority import Authority
from mintlanding.placement.eviction import EvictionChooser
from mintlanding.placement.loads import LoadFailures, PermitRequests
from mintlanding.placement.messages import (
    AdapterRef,
    EngineReport,
    ReserveReply,
)
from mintlanding.placement.models import (
    Action,
    EvictOrder,
    FenceOrder,
    LoadOrder,
    PendingLoad,
    RequestPermit,
    ReturnPermit,
    Slot,
    SlotState,
    StewardOptions,
)
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.placement.slots import SlotTable

# Decayed number of requests below which an adapter is not prefetched.
_MIN_PREFETCH_REQUESTS = 2


class LoadPlanner:
    """Request permits, and choose adapter and slot when one is granted.

    The choice is made late, so that a permit always serves the request that is
    next in the queue at that moment.
    """

    def __init__(
        self,
        options: StewardOptions,
        slots: SlotTable,
        admission: Admission,
        authority: Authority,
        rnd: random.Random,
    ) -> None:
        """Keep references to the steward's components, which it updates."""
        self.failures = LoadFailures(options, rnd)
        self.popularity = DecayedPopularity.from_config(
            options.half_life,
            options.popularity_limit,
        )
        self.permits = PermitRequests(options.order_timeout, rnd)
        self._options = options
        self._slots = slots
        self._queue = admission.queue
        self._reservations = admission.reservations
        self._authority = authority
        self._victims = EvictionChooser(
            options,
            slots,
            admission,
            authority,
            self.popularity,
        )
        self._prefetch_at = -math.inf
        self._fences: dict[int, int] = {}
        self._next_id = rnd.getrandbits(47)

    def new_id(self) -> int:
        """Return an id that no earlier order of this planner had."""
        self._next_id += 1
        return self._next_id

    def plan(self, now: float) -> Sequence[Action]:
        """Request as many permits as loads are needed."""
        if not (self._queue.missing_count() and self._authority.may_load()):
            return []
        needed = self._needed(now)
        urgent = min(needed, self._queue.urgent_load_count(now))
        urgent -= self.permits.count(urgent=True)
        actions = [
            self._request_permit(now, urgent=True) for _ in range(urgent)
        ]
        missing = needed - len(self.permits.requests)
        actions.extend(
            self._request_permit(now, urgent=False) for _ in range(missing)
        )
        return actions

    def permit(self, order_id: int, now: float) -> list[Action]:
        """Use a granted permit or return it."""
        req = self.permits.requests.pop(order_id, None)
        if req is None or not self._authority.may_load():
            return [ReturnPermit(order_id, used=False)]
        ref = self._next_ref(now)
        if ref is None and not req.urgent:
            ref = self._prefetch_ref(now)
        return self._start(order_id, ref, now)

    def evicted(self, ref: AdapterRef, now: float) -> list[Action]:
        """Start the load that waited for the slot of an adapter."""
        return self._retry_pending(ref, now)

    def overdue(self, now: float) -> list[Action]:
        """Handle orders that timed out: their slots become uncertain."""
        actions: list[Action] = []
        for slot in self._slots.overdue(now - self._options.order_timeout):
            actions.extend(self._handle_uncertain(slot, now))
        return actions

    def mark_uncertain(self, order_id: int, now: float) -> list[Action]:
        """Handle an order that may or may not have taken effect."""
        slot = self._slots.mark_uncertain(order_id, now)
        return [] if slot is None else self._handle_uncertain(slot, now)

    def repeat_requests(self, now: float) -> Sequence[Action]:
        """Repeat refused and unanswered permit requests if still needed."""
        due = self.permits.due(now)
        if not due:
            return []
        return self.plan(now)

    def prefetch(self, now: float) -> list[Action]:
        """Request a spare permit when a popular adapter is not resident."""
        if now < self._prefetch_at:
            return []
        self._prefetch_at = now + self._options.prefetch_interval
        if self.permits.requests or self.permits.pending:
            return []
        if self._queue.missing_count() or not self._authority.may_load():
            return []
        if self._prefetch_ref(now) is None:
            return []
        return [self._request_permit(now, urgent=False)]

    def unavailable(self, now: float) -> list[AdapterRef]:
        """Return requested adapters that cannot be loaded here."""
        if self.can_load():
            return []
        missing = self._queue.missing_adapters(now)
        return [ref for ref in missing if self._slots.get(ref) is None]

    def note_grants(self, replies: Iterable[ReserveReply], now: float) -> None:
        """Count granted requests; a flood of refused ones must not count."""
        for reply in replies:
            reservation = self._reservations.get(reply.reservation_id)
            if reservation is not None:
                self.popularity.note(reservation.ref, now)
                self._slots.touch(reservation.ref, now)

    def can_load(self) -> bool:
        """Return whether a further adapter can get a slot, now or later."""
        return self._authority.may_evict_later() or self._slots.free() > 0

    def fence(self) -> list[Action]:
        """Present the fencing token to the engine, if it checks tokens."""
        if not self._authority.needs_fence:
            return []
        order_id = self.new_id()
        self._fences[order_id] = self._authority.fencing
        return [FenceOrder(order_id, self._authority.fencing)]

    def is_current_fence(self, order_id: int) -> bool:
        """Remove a fence order; return whether it had the newest token."""
        fencing = self._fences.pop(order_id, None)
        if fencing != self._authority.fencing:
            return False
        self._fences.clear()
        return True

    def restart(self, report: EngineReport, now: float) -> list[Action]:
        """Start over after a restart of the engine."""
        self.failures.clear()
        lost = self._slots.restart(report, now)
        returned = [ReturnPermit(order_id) for order_id in lost]
        return [*returned, *self.return_permits()]

    def return_permits(self) -> list[Action]:
        """Return all permits that no running load uses."""
        ids = [*self.permits.requests, *self.permits.pending]
        self.permits.requests.clear()
        self.permits.pending.clear()
        return [ReturnPermit(order_id, used=False) for order_id in ids]

    def _request_permit(self, now: float, urgent: bool) -> RequestPermit:
        order_id = self.new_id()
        self.permits.add(order_id, urgent, now)
        return RequestPermit(order_id, urgent)

    def _needed(self, now: float) -> int:
        queue, in_progress = self._queue, self.permits.pending_refs()
        in_progress.update(self._slots.in_state(SlotState.loading))
        # No load can start for an adapter whose eviction is under way.
        skipped = in_progress.union(
            self._slots.in_state(SlotState.evicting),
            (
                ref
                for ref in self.failures
                if self.failures.is_waiting(ref, now)
            ),
        )
        needed = queue.missing_count() - sum(
            queue.count_for(ref) > 0 for ref in skipped
        )
        remaining = self._options.max_loads - len(in_progress)
        available = self._slots.free()
        if available < needed:
            available += self._victims.count(now)
        return max(
            0, min(needed, remaining, available - len(self.permits.pending))
        )

    def _next_ref(self, now: float) -> AdapterRef | None:
        pending = self.permits.pending_refs()
        for ref in self._queue.missing_adapters(now):
            is_in_progress = ref in pending or self._slots.get(ref) is not None
            if not (is_in_progress or self.failures.is_waiting(ref, now)):
                return ref
        return None

    def _start(
        self,
        order_id: int,
        ref: AdapterRef | None,
        now: float,
    ) -> list[Action]:
        if ref is None:
            return [ReturnPermit(order_id, used=False)]
        fencing = self._authority.fencing
        if self._slots.free() > len(self.permits.pending):
            self._slots.load(ref, order_id, now)
            return [LoadOrder(order_id, ref, fencing)]
        victim = self._victims.choose(now)
        if victim is None:
            return [ReturnPermit(order_id, used=False)]
        self.permits.pending[order_id] = PendingLoad(order_id, ref, victim.ref)
        evict_id = self.new_id()
        self._slots.evict(victim.ref, evict_id, now)
        return [EvictOrder(evict_id, victim.ref, fencing)]

    def _handle_uncertain(self, slot: Slot, now: float) -> list[Action]:
        if slot.state is SlotState.loading:
            return [ReturnPermit(slot.order_id)]
        return self._retry_pending(slot.ref, now)

    def _retry_pending(self, victim: AdapterRef, now: float) -> list[Action]:
        actions: list[Action] = []
        for load in tuple(self.permits.pending.values()):
            if load.victim == victim:
                self.permits.pending.pop(load.order_id)
                ref = self._next_ref(now) or self._still_missing(load.ref)
                actions.extend(self._start(load.order_id, ref, now))
        return actions

    def _still_missing(self, ref: AdapterRef) -> AdapterRef | None:
        return None if self._slots.get(ref) else ref

    def _prefetch_ref(self, now: float) -> AdapterRef | None:
        floor: float = 0
        if not self._slots.free():
            lowest_score = self._victims.lowest_score(now)
            if lowest_score is None:
                return None
            floor = lowest_score * self._options.prefetch_ratio
        for ref in self.popularity.top(2 * self._slots.capacity):
            is_known = self._slots.get(ref) is not None
            if is_known or self.failures.is_waiting(ref, now):
                continue
            requests = self.popularity.count(ref, now)
            is_popular = requests >= _MIN_PREFETCH_REQUESTS
            return (
                ref
                if is_popular and self.popularity.score(ref) > floor
                else None
            )
        return None
