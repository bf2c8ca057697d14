"""The adapter slots of one engine: their state, and what may be unloaded.

Each order names the number of orders that the engine must have accepted before
it. While the response to an order is missing, the same order is sent again with
the same expected number. Either the engine accepts it now and never executes
the lost copy, or the number has moved on and a report shows what the lost copy
did. A slot counts as occupied from the moment its load is decided.
"""

import math
from collections import OrderedDict
from collections.abc import Container

from mintlanding.placement.messages import AdapterRef
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.residency.models import (
    AdapterSlot,
    EngineCapacity,
    EngineReport,
    Order,
    OrderKind,
    SlotState,
    StewardOptions,
)


class AdapterSlots:
    """Slots by adapter, the number of accepted orders, and popularity."""

    def __init__(
        self, capacity: EngineCapacity, options: StewardOptions
    ) -> None:
        """Start without knowledge of the engine."""
        self.capacity = capacity
        self.orders_taken = 0
        self.has_model = False
        self.model_until = float('-inf')
        self.popularity = DecayedPopularity.from_config(options.half_life)
        self._options = options
        self._slots: dict[str, AdapterSlot] = {}
        self._newest: dict[str, int] = {}
        self._users: dict[str, tuple[frozenset[str], float]] = {}
        self._recent: OrderedDict[str, None] = OrderedDict()

    def get(self, adapter: str) -> AdapterSlot | None:
        """Return the slot of an adapter, None if it has none."""
        return self._slots.get(adapter)

    def ready(self, now: float) -> tuple[str, ...]:
        """Return the adapters that requests can run on."""
        return tuple(name for name in self._slots if self.is_ready(name, now))

    def is_ready(self, adapter: str, now: float) -> bool:
        """Return whether a request for the adapter can be granted."""
        slot = self._slots.get(adapter)
        if slot is None or slot.state is SlotState.unloading:
            return False
        if slot.state is SlotState.loading and slot.ready_at <= now:
            slot.state = SlotState.ready
        return slot.state is SlotState.ready and slot.stale_since is None

    def is_resident_or_loading(self, adapter: str) -> bool:
        """Return whether the adapter is resident or being loaded."""
        slot = self._slots.get(adapter)
        if slot is None or slot.state is SlotState.unloading:
            return False
        return math.isfinite(slot.ready_at)

    def count_loading(self, now: float) -> int:
        """Count the loads that are expected to be in progress."""
        return sum(
            slot.state is SlotState.loading and slot.ready_at > now
            for slot in self._slots.values()
        )

    def next_ready(self, now: float) -> float | None:
        """Return when the next load is expected to end."""
        times = [
            slot.ready_at
            for slot in self._slots.values()
            if slot.state is SlotState.loading and slot.ready_at > now
        ]
        return min(times, default=None)

    def count_available(self, wanted: Container[str], now: float) -> int:
        """Count the slots that are free or could be freed at once."""
        free = self.capacity.slots - len(self._slots)
        return max(0, free) + len(self._evictable(wanted, now))

    def has_free_slot(self) -> bool:
        """Return whether a slot is free."""
        return len(self._slots) < self.capacity.slots

    def load_seconds(self, adapter: str) -> float:
        """Return the expected duration of a load of the adapter."""
        if adapter in self._recent:
            return self._options.reload_time
        return self._options.load_time

    def record_request(self, adapter: str, now: float) -> None:
        """Count a request towards an adapter's popularity."""
        self.popularity.note(_popularity_key(adapter), now)

    def hot_adapters(self, busy_seconds: float, now: float) -> tuple[str, ...]:
        """Return adapters with more than one request per `busy_seconds`."""
        return tuple(
            name
            for name in self._slots
            if self.popularity.rate(_popularity_key(name), now) * busy_seconds
            > 1
        )

    def pin(self, adapter: str, now: float) -> None:
        """Protect an adapter from unloading while a request runs on it."""
        slot = self._slots.get(adapter)
        if slot is not None:
            slot.pins += 1
            slot.used = now

    def unpin(self, adapter: str, now: float) -> None:
        """Remove one pin of an adapter."""
        slot = self._slots.get(adapter)
        if slot is not None:
            slot.pins = max(0, slot.pins - 1)
            slot.used = now

    def record_adapter_use(
        self,
        instance: str,
        adapters: frozenset[str],
        now: float,
    ) -> None:
        """Record which adapters an instance uses, under any grant or none."""
        self._users[instance] = (
            adapters,
            now + self._options.usage_report_lifetime,
        )

    def in_use(self, now: float) -> set[str]:
        """Return the adapters that instances have recently reported to use."""
        found: set[str] = set()
        for adapters, until in self._users.values():
            if now < until:
                found |= adapters
        return found

    def set_newest_version(
        self, adapter: str, version: int, now: float
    ) -> None:
        """Record the newest version of an adapter."""
        if version <= self._newest.get(adapter, 0):
            return
        self._newest[adapter] = version
        self._recent.pop(adapter, None)
        slot = self._slots.get(adapter)
        if slot is not None and slot.version < version:
            slot.stale_since = now

    def newest(self, adapter: str) -> int:
        """Return the newest known version of an adapter, 0 if none is known."""
        return self._newest.get(adapter, 0)

    def replaceable_slots(self, now: float) -> list[AdapterSlot]:
        """Return the stale adapters that may be replaced by their new version.

        Those are the adapters without running requests, and those that have
        been stale for longer than `replace_max_wait`.
        """
        return [
            slot
            for slot in self._slots.values()
            if slot.stale_since is not None
            and slot.state is SlotState.ready
            and (
                slot.pins == 0
                or now > slot.stale_since + self._options.replace_max_wait
            )
        ]

    def choose_victim(
        self, wanted: Container[str], now: float
    ) -> AdapterSlot | None:
        """Return the least popular adapter that may be unloaded."""
        return min(
            self._evictable(wanted, now),
            key=lambda slot: self.popularity.score(
                _popularity_key(slot.adapter)
            ),
            default=None,
        )

    def _evictable(
        self, wanted: Container[str], now: float
    ) -> list[AdapterSlot]:
        loaded_before = now - self._options.load_margin
        used_adapters = self.in_use(now)
        return [
            slot
            for slot in self._slots.values()
            if slot.state is SlotState.ready
            and slot.pins == 0
            and slot.ready_at <= loaded_before
            and slot.adapter not in used_adapters
            and slot.adapter not in wanted
        ]

    def start_order(self, order: Order, now: float) -> None:
        """Occupy a slot for a load, or mark the slot of an unload."""
        if not order.adapter:
            return
        if order.kind is OrderKind.unload:
            self._slots[order.adapter].state = SlotState.unloading
            return
        slot = self._slots.get(order.adapter)
        if slot is None:
            slot = AdapterSlot(order.adapter, SlotState.loading, used=now)
            self._slots[order.adapter] = slot
        slot.state = SlotState.loading
        slot.ready_at = float('inf')
        slot.version = order.version

    def apply_accepted(self, order: Order, now: float) -> None:
        """Apply an order that the engine has accepted."""
        self.orders_taken = order.expected + 1
        if not order.adapter:
            self.model_until = now + self.capacity.load_time
            return
        if order.kind is OrderKind.unload:
            self._free(order.adapter)
            return
        slot = self._slots.get(order.adapter)
        if slot is not None:
            slot.ready_at = now + self.load_seconds(order.adapter)
            self._update_version(slot, now)

    def apply_in_effect(self, order: Order, now: float) -> None:
        """Apply an order whose effect the engine says is already in place.

        The engine reports every unload in this way, since it ends at once, and
        counts it. A load of a resident adapter is not counted.
        """
        self.orders_taken = order.expected
        if order.kind is OrderKind.unload:
            self.orders_taken += 1
        if order.kind is OrderKind.unload:
            self._free(order.adapter)
            return
        slot = self._slots.get(order.adapter)
        if slot is not None:
            slot.ready_at = now
            self._update_version(slot, now)

    def revert_order(self, order: Order) -> None:
        """Revert an order that was not accepted and never will be."""
        slot = self._slots.get(order.adapter)
        if slot is None:
            return
        if order.kind is OrderKind.unload or slot.stale_since is not None:
            slot.state = SlotState.ready
        else:
            self._slots.pop(order.adapter)

    def extend_load(self, adapter: str, until: float) -> None:
        """Record that a load will not end before `until`."""
        slot = self._slots.get(adapter)
        if slot is not None and slot.state is not SlotState.unloading:
            slot.state = SlotState.loading
            slot.ready_at = max(until, slot.ready_at)

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Apply a report that shows the effect of all orders sent so far."""
        self.orders_taken = report.orders_taken
        self.has_model = self.capacity.model in report.models
        resident = dict(report.adapters)
        loading = dict(report.coming)
        for name in [each for each in self._slots if each not in resident]:
            if name not in loading:
                self._free(name)
        for name, version in resident.items():
            slot = self._slots.setdefault(
                name,
                AdapterSlot(name, SlotState.ready, used=now),
            )
            slot.state = SlotState.ready
            slot.version = version
            slot.stale_since = None
            self._update_version(slot, now)
        for name, version in loading.items():
            slot = self._slots.setdefault(
                name,
                AdapterSlot(name, SlotState.loading, used=now),
            )
            slot.state = SlotState.loading
            slot.version = version
            slot.ready_at = now + self._options.load_time
            self._update_version(slot, now)

    def clear(self) -> None:
        """Forget all state after a restart of the engine."""
        self._slots.clear()
        self._recent.clear()
        self.orders_taken = 0

    def _update_version(self, slot: AdapterSlot, now: float) -> None:
        newest = self._newest.get(slot.adapter, 0)
        is_stale = slot.version < newest
        slot.stale_since = now if is_stale else None
        self._add_recent(slot.adapter)

    def _free(self, adapter: str) -> None:
        if self._slots.pop(adapter, None) is not None:
            self._add_recent(adapter)

    def _add_recent(self, adapter: str) -> None:
        self._recent[adapter] = None
        self._recent.move_to_end(adapter)
        while len(self._recent) > self._options.max_recent_adapters:
            self._recent.popitem(last=False)


def _popularity_key(adapter: str) -> AdapterRef:
    return AdapterRef(adapter, '')
