"""The places of one engine: what they hold, and what may give way.

An order is known by the engine's count of orders. While an answer is missing
the same order is repeated with the same expected count: either it is taken
now and the lost copy never will be, or the count has moved on and a report
tells what the copy did. A place counts as used from the moment its load is
decided.
"""

import math
from collections import OrderedDict
from collections.abc import Container

from mintlanding.placement.messages import AdapterRef
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.residency.models import (
    EngineCapacity,
    EngineReport,
    Held,
    HeldState,
    Order,
    OrderKind,
    StewardOptions,
)


class Shelf:
    """Adapters by place, the count of orders, and who was asked for."""

    def __init__(self, room: EngineCapacity, options: StewardOptions) -> None:
        """Start without knowledge of the engine."""
        self.room = room
        self.orders_taken = 0
        self.has_model = False
        self.model_until = float('-inf')
        self.popularity = DecayedPopularity.from_config(options.half_life)
        self._options = options
        self._held: dict[str, Held] = {}
        self._newest: dict[str, int] = {}
        self._users: dict[str, tuple[frozenset[str], float]] = {}
        self._recent: OrderedDict[str, None] = OrderedDict()

    def get(self, adapter: str) -> Held | None:
        """Return the place of an adapter."""
        return self._held.get(adapter)

    def ready(self, now: float) -> tuple[str, ...]:
        """Return the adapters that requests can run on."""
        return tuple(name for name in self._held if self.is_ready(name, now))

    def is_ready(self, adapter: str, now: float) -> bool:
        """Tell whether a request for the adapter can be granted."""
        held = self._held.get(adapter)
        if held is None or held.state is HeldState.unloading:
            return False
        if held.state is HeldState.loading and held.ready_at <= now:
            held.state = HeldState.ready
        return held.state is HeldState.ready and held.stale_since is None

    def is_coming(self, adapter: str) -> bool:
        """Tell whether the engine has the adapter or has begun to load it."""
        held = self._held.get(adapter)
        if held is None or held.state is HeldState.unloading:
            return False
        return math.isfinite(held.ready_at)

    def in_transit(self, now: float) -> int:
        """Count the loads that have probably not ended."""
        return sum(
            held.state is HeldState.loading and held.ready_at > now
            for held in self._held.values()
        )

    def next_ready(self, now: float) -> float | None:
        """Return when the next load probably ends."""
        times = [
            held.ready_at
            for held in self._held.values()
            if held.state is HeldState.loading and held.ready_at > now
        ]
        return min(times, default=None)

    def spare(self, wanted: Container[str], now: float) -> int:
        """Count the places that are free or could be freed at once."""
        free = self.room.places - len(self._held)
        return max(0, free) + len(self._idle(wanted, now))

    def has_room(self) -> bool:
        """Tell whether a place is free."""
        return len(self._held) < self.room.places

    def load_seconds(self, adapter: str) -> float:
        """Return how long a load of the adapter probably takes."""
        if adapter in self._recent:
            return self._options.reload_time
        return self._options.load_time

    def note_request(self, adapter: str, now: float) -> None:
        """Count a request for an adapter."""
        self.popularity.note(_ref(adapter), now)

    def hot(self, busy_seconds: float, now: float) -> tuple[str, ...]:
        """Return the adapters whose requests come too fast for one place.

        That is, more than one in `busy_seconds`.
        """
        return tuple(
            name
            for name in self._held
            if self.popularity.rate(_ref(name), now) * busy_seconds > 1
        )

    def pin(self, adapter: str, now: float) -> None:
        """Keep an adapter while a request runs on it."""
        held = self._held.get(adapter)
        if held is not None:
            held.pins += 1
            held.used = now

    def unpin(self, adapter: str, now: float) -> None:
        """End a pin."""
        held = self._held.get(adapter)
        if held is not None:
            held.pins = max(0, held.pins - 1)
            held.used = now

    def record_adapter_use(
        self,
        instance: str,
        adapters: frozenset[str],
        now: float,
    ) -> None:
        """Note which adapters an instance uses, whoever granted that."""
        self._users[instance] = (adapters, now + self._options.users_life)

    def in_use(self, now: float) -> set[str]:
        """Return the adapters that instances told to use."""
        found: set[str] = set()
        for adapters, until in self._users.values():
            if now < until:
                found |= adapters
        return found

    def set_newest_version(
        self, adapter: str, version: int, now: float
    ) -> None:
        """Note the newest version of an adapter."""
        if version <= self._newest.get(adapter, 0):
            return
        self._newest[adapter] = version
        self._recent.pop(adapter, None)
        held = self._held.get(adapter)
        if held is not None and held.version < version:
            held.stale_since = now

    def newest(self, adapter: str) -> int:
        """Return the newest version that was named, 0 if none was."""
        return self._newest.get(adapter, 0)

    def replaceable(self, now: float) -> list[Held]:
        """Return stale adapters that nothing runs on, or for too long."""
        return [
            held
            for held in self._held.values()
            if held.stale_since is not None
            and held.state is HeldState.ready
            and (
                held.pins == 0
                or now > held.stale_since + self._options.replace_patience
            )
        ]

    def victim(self, wanted: Container[str], now: float) -> Held | None:
        """Return the adapter in least demand that nothing runs on."""
        return min(
            self._idle(wanted, now),
            key=lambda held: self.popularity.score(_ref(held.adapter)),
            default=None,
        )

    def _idle(self, wanted: Container[str], now: float) -> list[Held]:
        settled = now - self._options.settle_time
        used = self.in_use(now)
        return [
            held
            for held in self._held.values()
            if held.state is HeldState.ready
            and held.pins == 0
            and held.ready_at <= settled
            and held.adapter not in used
            and held.adapter not in wanted
        ]

    def begin(self, order: Order, now: float) -> None:
        """Take a place for a load, or mark one that is given up."""
        if not order.adapter:
            return
        if order.kind is OrderKind.unload:
            self._held[order.adapter].state = HeldState.unloading
            return
        held = self._held.get(order.adapter)
        if held is None:
            held = Held(order.adapter, HeldState.loading, used=now)
            self._held[order.adapter] = held
        held.state = HeldState.loading
        held.ready_at = float('inf')
        held.version = order.version

    def taken(self, order: Order, now: float) -> None:
        """Note that the engine has taken an order."""
        self.orders_taken = order.expected + 1
        if not order.adapter:
            self.model_until = now + self.room.load_time
            return
        if order.kind is OrderKind.unload:
            self._drop(order.adapter)
            return
        held = self._held.get(order.adapter)
        if held is not None:
            held.ready_at = now + self.load_seconds(order.adapter)
            self._loaded(held, now)

    def holds(self, order: Order, now: float) -> None:
        """Note that the engine says an order holds already.

        Only an unload that is carried out at once counts as taken.
        """
        self.orders_taken = order.expected
        if order.kind is OrderKind.unload:
            self.orders_taken += 1
        if order.kind is OrderKind.unload:
            self._drop(order.adapter)
            return
        held = self._held.get(order.adapter)
        if held is not None:
            held.ready_at = now
            self._loaded(held, now)

    def undo(self, order: Order) -> None:
        """Note that an order was not taken and never will be."""
        held = self._held.get(order.adapter)
        if held is None:
            return
        if order.kind is OrderKind.unload or held.stale_since is not None:
            held.state = HeldState.ready
        else:
            self._held.pop(order.adapter)

    def delay(self, adapter: str, until: float) -> None:
        """Note that a load has not ended yet."""
        held = self._held.get(adapter)
        if held is not None and held.state is not HeldState.unloading:
            held.state = HeldState.loading
            held.ready_at = max(until, held.ready_at)

    def adopt(self, report: EngineReport, now: float) -> None:
        """Take a report that shows all orders given so far."""
        self.orders_taken = report.orders_taken
        self.has_model = self.room.model in report.models
        told = dict(report.adapters)
        coming = dict(report.coming)
        for name in [each for each in self._held if each not in told]:
            if name not in coming:
                self._drop(name)
        for name, version in told.items():
            held = self._held.setdefault(
                name,
                Held(name, HeldState.ready, used=now),
            )
            held.state = HeldState.ready
            held.version = version
            held.stale_since = None
            self._loaded(held, now)
        for name, version in coming.items():
            held = self._held.setdefault(
                name,
                Held(name, HeldState.loading, used=now),
            )
            held.state = HeldState.loading
            held.version = version
            held.ready_at = now + self._options.load_time
            self._loaded(held, now)

    def clear(self) -> None:
        """Forget everything with an engine that started anew."""
        self._held.clear()
        self._recent.clear()
        self.orders_taken = 0

    def _loaded(self, held: Held, now: float) -> None:
        newest = self._newest.get(held.adapter, 0)
        is_stale = held.version < newest
        held.stale_since = now if is_stale else None
        self._remember(held.adapter)

    def _drop(self, adapter: str) -> None:
        if self._held.pop(adapter, None) is not None:
            self._remember(adapter)

    def _remember(self, adapter: str) -> None:
        self._recent[adapter] = None
        self._recent.move_to_end(adapter)
        while len(self._recent) > self._options.recent_limit:
            self._recent.popitem(last=False)


def _ref(adapter: str) -> AdapterRef:
    return AdapterRef(adapter, '')
