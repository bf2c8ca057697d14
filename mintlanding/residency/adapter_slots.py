"""The adapter slots of one engine: their state, and what may be unloaded.

Each order names the number of orders that the engine must have accepted before
it. While the response to an order is missing, the same order is sent again with
the same expected number. Either the engine accepts it now and never executes
the lost copy, or the number has moved on and a report shows what the lost copy
did. A slot counts as occupied from the moment its load is decided.

A slot is `Loading`, `Resident` or `Unloading`, and each state holds only what
applies to it. These events change the state:

| event | new state |
|---|---|
| order to load sent | `Loading`, end unknown |
| order to load accepted | `Loading` until its expected end |
| expected end reached | `Resident` since then |
| order to load already in effect | `Resident` |
| order to unload sent; executed | `Unloading`; no slot |
| the engine says the load continues | `Loading` until later |
| the adapter is missing, a conflict | `Loading`, end unknown |
| report: resident; coming; neither | `Resident`; `Loading`; no slot |
"""

from collections import Counter, OrderedDict
from collections.abc import Container, Iterator
from dataclasses import dataclass

from mintlanding.placement.messages import AdapterRef
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.residency.models import (
    AdapterSlot,
    EngineCapacity,
    EngineReport,
    Loading,
    Order,
    OrderKind,
    Resident,
    StewardOptions,
    Unloading,
)


@dataclass(frozen=True, slots=True)
class _NewestVersion:
    """The newest version of an adapter, and since when it has been known."""

    version: int
    since: float


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
        self._newest: dict[str, _NewestVersion] = {}
        self._users: dict[str, tuple[frozenset[str], float]] = {}
        self._recent: OrderedDict[str, None] = OrderedDict()
        # Runs on each adapter. A report may miss an adapter for a moment, so
        # they are not counted in its slot.
        self._pins: Counter[str] = Counter()

    def get(self, adapter: str) -> AdapterSlot | None:
        """Return the slot of an adapter, None if it has none."""
        return self._slots.get(adapter)

    def ready(self, now: float) -> tuple[str, ...]:
        """Return the adapters that requests can run on."""
        return tuple(
            slot.adapter for slot in self._each(now) if self._is_usable(slot)
        )

    def is_ready(self, adapter: str, now: float) -> bool:
        """Return whether a request for the adapter can be granted."""
        slot = self._slots.get(adapter)
        if slot is None:
            return False
        _settle(slot, now)
        return self._is_usable(slot)

    def is_resident_or_loading(self, adapter: str) -> bool:
        """Return whether the adapter is resident or surely being loaded."""
        slot = self._slots.get(adapter)
        if slot is None or isinstance(slot.state, Unloading):
            return False
        return slot.state != Loading()

    def is_stale(self, adapter: str) -> bool:
        """Return whether a slot holds an older version than the newest."""
        slot = self._slots.get(adapter)
        return slot is not None and self._stale_since(slot) is not None

    def loaded_at(self, adapter: str) -> float:
        """Return the end of an adapter's load, inf if it is unknown."""
        slot = self._slots.get(adapter)
        if slot is None:
            return float('inf')
        if isinstance(slot.state, Resident):
            return slot.state.since
        if isinstance(slot.state, Loading) and slot.state.ends_at is not None:
            return slot.state.ends_at
        return float('inf')

    def count_loading(self, now: float) -> int:
        """Count the loads that are expected to be in progress."""
        return sum(isinstance(slot.state, Loading) for slot in self._each(now))

    def next_ready(self, now: float) -> float | None:
        """Return when the next load is expected to end."""
        times = [
            slot.state.ends_at
            for slot in self._each(now)
            if isinstance(slot.state, Loading)
            and slot.state.ends_at is not None
        ]
        return min(times, default=None)

    def count_by_state(self, now: float) -> dict[str, int]:
        """Return the number of slots in each state, `free` ones included."""
        free = max(0, self.capacity.slots - len(self._slots))
        counts = {'free': free, 'loading': 0, 'resident': 0, 'unloading': 0}
        for slot in self._each(now):
            counts[type(slot.state).__name__.lower()] += 1
        return counts

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
        self._pins[adapter] += 1
        slot = self._slots.get(adapter)
        if slot is not None:
            slot.used = now

    def unpin(self, adapter: str, now: float) -> None:
        """Remove one pin of an adapter."""
        if self._pins[adapter] > 1:
            self._pins[adapter] -= 1
        else:
            self._pins.pop(adapter, None)
        slot = self._slots.get(adapter)
        if slot is not None:
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
        if version <= self.newest(adapter):
            return
        self._newest[adapter] = _NewestVersion(version, now)
        self._recent.pop(adapter, None)

    def newest(self, adapter: str) -> int:
        """Return the newest known version of an adapter, 0 if none is known."""
        newest = self._newest.get(adapter)
        return 0 if newest is None else newest.version

    def replaceable_slots(self, now: float) -> list[AdapterSlot]:
        """Return the stale adapters that may be replaced by their new version.

        Those are the adapters without running requests, and those that have
        been stale for longer than `replace_max_wait`.
        """
        stale_before = now - self._options.replace_max_wait
        found = []
        for slot in self._each(now):
            stale_since = self._stale_since(slot)
            if stale_since is None or not isinstance(slot.state, Resident):
                continue
            if not self._pins[slot.adapter] or stale_since < stale_before:
                found.append(slot)
        return found

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
            for slot in self._each(now)
            if isinstance(slot.state, Resident)
            and not self._pins[slot.adapter]
            and slot.state.since <= loaded_before
            and slot.adapter not in used_adapters
            and slot.adapter not in wanted
        ]

    def start_order(self, order: Order, now: float) -> None:
        """Occupy a slot for a load, or mark the slot of an unload."""
        if not order.adapter:
            return
        if order.kind is OrderKind.unload:
            self._slots[order.adapter].state = Unloading()
            return
        slot = self._slots.get(order.adapter)
        if slot is None:
            slot = AdapterSlot(order.adapter, Loading(), used=now)
            self._slots[order.adapter] = slot
        slot.state = Loading()
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
            slot.state = Loading(now + self.load_seconds(order.adapter))
            self._add_recent(order.adapter)

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
            slot.state = Resident(now)
            self._add_recent(order.adapter)

    def postpone_ready(self, adapter: str, until: float) -> None:
        """Record that a load will not end before `until`."""
        slot = self._slots.get(adapter)
        if slot is None:
            return
        if isinstance(slot.state, Resident):
            slot.state = Loading(until)
        elif isinstance(slot.state, Loading) and slot.state.ends_at is not None:
            slot.state = Loading(max(until, slot.state.ends_at))

    def mark_unknown(self, adapter: str) -> None:
        """Grant an adapter to no request until a report shows its state."""
        slot = self._slots.get(adapter)
        if slot is not None and not isinstance(slot.state, Unloading):
            slot.state = Loading()

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
            slot = self._slots.get(name)
            if slot is None:
                slot = AdapterSlot(name, Resident(), used=now)
                self._slots[name] = slot
            if not isinstance(slot.state, Resident):
                slot.state = Resident(min(now, self.loaded_at(name)))
            slot.version = version
            self._add_recent(name)
        for name, version in loading.items():
            slot = self._slots.setdefault(
                name,
                AdapterSlot(name, Loading(), used=now),
            )
            slot.state = Loading(now + self._options.load_time)
            slot.version = version
            self._add_recent(name)

    def clear(self) -> None:
        """Forget all state after a restart of the engine."""
        self._slots.clear()
        self._recent.clear()
        self.orders_taken = 0

    def _each(self, now: float) -> Iterator[AdapterSlot]:
        """Yield all slots, those whose load has ended as resident."""
        for slot in self._slots.values():
            _settle(slot, now)
            yield slot

    def _is_usable(self, slot: AdapterSlot) -> bool:
        is_resident = isinstance(slot.state, Resident)
        return is_resident and self._stale_since(slot) is None

    def _stale_since(self, slot: AdapterSlot) -> float | None:
        """Return since when a newer version is known, None if none is."""
        newest = self._newest.get(slot.adapter)
        if newest is None or slot.version >= newest.version:
            return None
        return newest.since

    def _free(self, adapter: str) -> None:
        if self._slots.pop(adapter, None) is not None:
            self._add_recent(adapter)

    def _add_recent(self, adapter: str) -> None:
        self._recent[adapter] = None
        self._recent.move_to_end(adapter)
        while len(self._recent) > self._options.max_recent_adapters:
            self._recent.popitem(last=False)


def _settle(slot: AdapterSlot, now: float) -> None:
    state = slot.state
    if not isinstance(state, Loading) or state.ends_at is None:
        return
    if state.ends_at <= now:
        slot.state = Resident(state.ends_at)


def _popularity_key(adapter: str) -> AdapterRef:
    return AdapterRef(adapter, '')
