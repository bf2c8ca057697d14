"""The slots of one engine, tracked from orders and lagging reports."""

from collections.abc import Iterator

from mintlanding.placement.messages import AdapterRef, EngineReport
from mintlanding.placement.models import Slot, SlotState


class SlotTable:
    """Slots in use by adapter.

    A report shows an earlier time, so it is applied to an adapter only if
    nothing was done with that adapter here within `report_lag` seconds. It does
    not show that an adapter stays whose eviction is still under way: the order
    may reach the engine until its call ends, after `call_timeout` at most.
    """

    def __init__(
        self, capacity: int, report_lag: float, call_timeout: float
    ) -> None:
        """Start with all slots free."""
        self.capacity = capacity
        self.incarnation: int | None = None
        self._lag = report_lag
        self._call_timeout = call_timeout
        self._slots: dict[AdapterRef, Slot] = {}
        self._removed: dict[AdapterRef, float] = {}
        self._orders: dict[int, AdapterRef] = {}
        # Times of the evictions whose calls have not ended.
        self._evictions: dict[int, float] = {}

    def __iter__(self) -> Iterator[Slot]:
        """Iterate over the slots in use."""
        return iter(tuple(self._slots.values()))

    def get(self, ref: AdapterRef) -> Slot | None:
        """Return the slot of an adapter, None if it has none."""
        return self._slots.get(ref)

    def is_resident(self, ref: AdapterRef) -> bool:
        """Return whether requests for the adapter can run."""
        slot = self._slots.get(ref)
        return slot is not None and slot.state is SlotState.resident

    def free(self) -> int:
        """Return the number of free slots."""
        return max(0, self.capacity - len(self._slots))

    def in_state(self, state: SlotState) -> tuple[AdapterRef, ...]:
        """Return the adapters in a state."""
        return tuple(
            slot.ref for slot in self._slots.values() if slot.state is state
        )

    def count_loading(self) -> int:
        """Count the loads that run on the engine or may do so."""
        return len(self.in_state(SlotState.loading))

    def load(self, ref: AdapterRef, order_id: int, now: float) -> None:
        """Occupy a free slot for a load."""
        self._slots[ref] = Slot(ref, SlotState.loading, now, order_id, now)
        self._orders[order_id] = ref

    def evict(self, ref: AdapterRef, order_id: int, now: float) -> None:
        """Mark a slot whose adapter is being evicted."""
        slot = self._slots[ref]
        slot.state = SlotState.evicting
        slot.order_id = order_id
        slot.changed = now
        self._orders[order_id] = ref
        self._evictions[order_id] = now

    def settle(
        self, order_id: int, is_occupied: bool, now: float
    ) -> Slot | None:
        """Apply the response to an order; return its slot.

        `is_occupied` tells whether the slot is occupied now.

        After a failed eviction the slot is uncertain until a report arrives,
        because some engines and networks fail after the eviction took effect.
        """
        self._evictions.pop(order_id, None)
        ref = self._orders.pop(order_id, None)
        slot = None if ref is None else self._slots.get(ref)
        if slot is None or slot.order_id != order_id:
            return None
        if not is_occupied:
            self._remove(slot, now)
        elif slot.state is SlotState.loading:
            self._make_resident(slot, now)
        else:
            self._reset_to_uncertain(slot, now)
        return slot

    def mark_uncertain(self, order_id: int, now: float) -> Slot | None:
        """Mark the slot of an order that may or may not have taken effect.

        Return it unless it has been uncertain before.
        """
        is_eviction = self._evictions.pop(order_id, None) is not None
        ref = self._orders.get(order_id)
        slot = None if ref is None else self._slots.get(ref)
        if slot is None or slot.order_id != order_id:
            return None
        was_uncertain = slot.is_uncertain
        if is_eviction or not was_uncertain:
            slot.is_uncertain = True
            slot.changed = now
        return None if was_uncertain else slot

    def overdue(self, before: float) -> list[Slot]:
        """Mark and return the slots whose order was sent before a time."""
        found = [
            slot
            for slot in self._slots.values()
            if slot.order_id and not slot.is_uncertain and slot.changed < before
        ]
        for slot in found:
            slot.is_uncertain = True
        return found

    def restart(self, report: EngineReport, now: float) -> list[int]:
        """Forget what a restarted engine has lost; return the lost loads.

        An order in flight may have reached either incarnation, so that only a
        later report shows its effect.
        """
        lost = [
            slot.order_id
            for slot in self
            if slot.state is SlotState.loading
            and slot.order_id
            and not slot.is_uncertain
        ]
        self.incarnation = report.incarnation
        self._orders = {
            order_id: ref
            for order_id, ref in self._orders.items()
            if order_id in self._evictions
        }
        for slot in self:
            if slot.state is SlotState.loading:
                slot.order_id = 0
                slot.is_uncertain = True
                slot.changed = now
            elif slot.order_id in self._evictions:
                # That the adapter is gone does not show that the order ended.
                slot.is_uncertain = True
                slot.changed = (
                    self._evictions[slot.order_id] + self._call_timeout
                )
            else:
                self._slots.pop(slot.ref)
        self._removed.clear()
        return lost

    def apply(self, report: EngineReport, now: float) -> None:
        """Correct the slots by a report of the same incarnation."""
        before = now - self._lag
        resident, loading = set(report.resident), set(report.loading)
        for slot in self:
            is_response_pending = bool(slot.order_id) and not slot.is_uncertain
            if is_response_pending or slot.changed >= before:
                continue
            if slot.ref in resident:
                if not self._is_eviction_under_way(slot, now):
                    self._confirm(slot, now)
            elif not self._is_loading(slot, loading):
                self._remove(slot, now)
        for held in report.resident + report.loading:
            self._add_reported(held, held in resident, before)
        busy = set(report.busy)
        for slot in self:
            slot.is_busy = slot.ref in busy and slot.used < before
        self._removed = {
            ref: when for ref, when in self._removed.items() if when >= before
        }

    def touch(self, ref: AdapterRef, now: float) -> None:
        """Record that a request for the adapter starts or ends."""
        slot = self._slots.get(ref)
        if slot is not None:
            slot.used = now

    def _is_loading(self, slot: Slot, loading: set[AdapterRef]) -> bool:
        return slot.state is SlotState.loading and slot.ref in loading

    def _is_eviction_under_way(self, slot: Slot, now: float) -> bool:
        sent_at = self._evictions.get(slot.order_id)
        return sent_at is not None and now < sent_at + self._call_timeout

    def _confirm(self, slot: Slot, now: float) -> None:
        if slot.is_uncertain:
            self._orders.pop(slot.order_id, None)
            self._evictions.pop(slot.order_id, None)
            self._make_resident(slot, now)

    def _add_reported(
        self,
        ref: AdapterRef,
        is_resident: bool,
        before: float,
    ) -> None:
        if ref in self._slots or self._removed.get(ref, before) > before:
            return
        state = SlotState.resident if is_resident else SlotState.loading
        self._slots[ref] = Slot(
            ref,
            state,
            before,
            used=before,
            is_uncertain=not is_resident,
        )

    def _reset_to_uncertain(self, slot: Slot, now: float) -> None:
        slot.order_id = 0
        slot.is_uncertain = True
        slot.changed = now

    def _make_resident(self, slot: Slot, now: float) -> None:
        slot.state = SlotState.resident
        slot.order_id = 0
        slot.is_uncertain = False
        slot.changed = now
        slot.used = now

    def _remove(self, slot: Slot, now: float) -> None:
        self._slots.pop(slot.ref)
        self._evictions.pop(slot.order_id, None)
        self._removed[slot.ref] = now
