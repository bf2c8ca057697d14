"""What the slots of one engine hold, from orders and lagging reports."""

from collections.abc import Iterator

from mintlanding.placement.messages import AdapterRef, EngineReport
from mintlanding.placement.models import Slot, SlotState


class SlotTable:
    """Slots in use by adapter.

    A report is believed on an adapter only if nothing was done with it here
    within `report_lag` seconds, for the report may show the time before.
    """

    def __init__(self, number: int, report_lag: float) -> None:
        """Start with all slots free."""
        self.number = number
        self.incarnation: int | None = None
        self._lag = report_lag
        self._slots: dict[AdapterRef, Slot] = {}
        self._removed: dict[AdapterRef, float] = {}
        self._orders: dict[int, AdapterRef] = {}

    def __iter__(self) -> Iterator[Slot]:
        """Go through the slots in use."""
        return iter(tuple(self._slots.values()))

    def get(self, ref: AdapterRef) -> Slot | None:
        """Return the slot of an adapter."""
        return self._slots.get(ref)

    def is_resident(self, ref: AdapterRef) -> bool:
        """Tell whether requests for the adapter can run."""
        slot = self._slots.get(ref)
        return slot is not None and slot.state is SlotState.resident

    def free(self) -> int:
        """Count the slots that hold nothing."""
        return max(0, self.number - len(self._slots))

    def held(self, state: SlotState) -> tuple[AdapterRef, ...]:
        """List the adapters in a state."""
        return tuple(
            slot.ref for slot in self._slots.values() if slot.state is state
        )

    def count_loading(self) -> int:
        """Count the loads that run on the engine or may do so."""
        return len(self.held(SlotState.loading))

    def load(self, ref: AdapterRef, order_id: int, now: float) -> None:
        """Take a free slot for a load that is ordered."""
        self._slots[ref] = Slot(ref, SlotState.loading, now, order_id, now)
        self._orders[order_id] = ref

    def evict(self, ref: AdapterRef, order_id: int, now: float) -> None:
        """Note an eviction that is ordered."""
        slot = self._slots[ref]
        slot.state = SlotState.evicting
        slot.order_id = order_id
        slot.changed = now
        self._orders[order_id] = ref

    def settle(self, order_id: int, holds: bool, now: float) -> Slot | None:
        """Take the answer to an order; `holds` tells what the slot is now.

        An eviction that failed leaves doubt until a report comes, for some
        engines and networks fail after the effect.
        """
        ref = self._orders.pop(order_id, None)
        slot = None if ref is None else self._slots.get(ref)
        if slot is None or slot.order_id != order_id:
            return None
        if not holds:
            self._remove(slot, now)
        elif slot.state is SlotState.loading:
            self._make_resident(slot, now)
        else:
            self._doubt(slot, now)
        return slot

    def doubt(self, order_id: int, now: float) -> Slot | None:
        """Note that an order may or may not have had effect."""
        ref = self._orders.get(order_id)
        slot = None if ref is None else self._slots.get(ref)
        if slot is None or slot.order_id != order_id or slot.is_doubtful:
            return None
        slot.is_doubtful = True
        slot.changed = now
        return slot

    def overdue(self, before: float) -> list[Slot]:
        """Mark and return the slots whose order was given before a time."""
        found = [
            slot
            for slot in self._slots.values()
            if slot.order_id and not slot.is_doubtful and slot.changed < before
        ]
        for slot in found:
            slot.is_doubtful = True
        return found

    def restart(self, report: EngineReport, now: float) -> list[int]:
        """Forget what a restarted engine has lost; return the lost loads.

        Orders under way may have reached either incarnation, so that only a
        later report settles them.
        """
        lost = [
            slot.order_id
            for slot in self
            if slot.state is SlotState.loading
            and slot.order_id
            and not slot.is_doubtful
        ]
        self.incarnation = report.incarnation
        self._orders.clear()
        for slot in self:
            if slot.state is SlotState.loading:
                slot.order_id = 0
                slot.is_doubtful = True
                slot.changed = now
            else:
                self._slots.pop(slot.ref)
        self._removed.clear()
        return lost

    def apply(self, report: EngineReport, now: float) -> None:
        """Correct the slots by a report of the same incarnation."""
        before = now - self._lag
        resident, loading = set(report.resident), set(report.loading)
        for slot in self:
            is_awaited = bool(slot.order_id) and not slot.is_doubtful
            if is_awaited or slot.changed >= before:
                continue
            if slot.ref in resident:
                self._confirm(slot, now)
            elif not self._is_loading(slot, loading):
                self._remove(slot, now)
        for held in report.resident + report.loading:
            self._adopt(held, held in resident, before)
        busy = set(report.busy)
        for slot in self:
            slot.is_busy = slot.ref in busy and slot.used < before
        self._removed = {
            ref: when for ref, when in self._removed.items() if when >= before
        }

    def touch(self, ref: AdapterRef, now: float) -> None:
        """Note that a request for the adapter begins or ends."""
        slot = self._slots.get(ref)
        if slot is not None:
            slot.used = now

    def _is_loading(self, slot: Slot, loading: set[AdapterRef]) -> bool:
        return slot.state is SlotState.loading and slot.ref in loading

    def _confirm(self, slot: Slot, now: float) -> None:
        if slot.is_doubtful:
            self._orders.pop(slot.order_id, None)
            self._make_resident(slot, now)

    def _adopt(
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
            is_doubtful=not is_resident,
        )

    def _doubt(self, slot: Slot, now: float) -> None:
        slot.order_id = 0
        slot.is_doubtful = True
        slot.changed = now

    def _make_resident(self, slot: Slot, now: float) -> None:
        slot.state = SlotState.resident
        slot.order_id = 0
        slot.is_doubtful = False
        slot.changed = now
        slot.used = now

    def _remove(self, slot: Slot, now: float) -> None:
        self._slots.pop(slot.ref)
        self._removed[slot.ref] = now
