"""A fake engine that takes orders in sequence."""

from dataclasses import dataclass, field

from mintlanding.residency.models import (
    EngineReport,
    Order,
    OrderKind,
    OrderResult,
)

MODEL = 'base'


@dataclass
class FakeEngine:
    """Executes orders at once, by the rules of the engine protocol."""

    slots: int = 3
    orders_taken: int = 0
    has_model: bool = True
    adapters: dict[str, int] = field(default_factory=dict)
    newest: dict[str, int] = field(default_factory=dict)
    late: list[Order] = field(default_factory=list)
    max_resident: int = 0
    requests: int | None = None

    def order(self, order: Order) -> OrderResult:
        """Execute an order, or reject it if its expected number is wrong."""
        if order.expected != self.orders_taken:
            return OrderResult.conflict
        if not order.adapter:
            self.has_model = True
            self.orders_taken += 1
            return OrderResult.accepted
        if not self.has_model:
            return OrderResult.conflict
        if order.kind is OrderKind.unload:
            if self.adapters.pop(order.adapter, None) is not None:
                self.orders_taken += 1
            return OrderResult.holds
        version = order.version or self.newest.get(order.adapter, 1)
        if self.adapters.get(order.adapter) == version:
            return OrderResult.holds
        self.adapters[order.adapter] = version
        self.orders_taken += 1
        self.max_resident = max(self.max_resident, len(self.adapters))
        return OrderResult.accepted

    def lose(self, order: Order) -> OrderResult:
        """Keep an order for later and respond to none."""
        self.late.append(order)
        return OrderResult.lost

    def execute_late(self) -> None:
        """Execute the kept orders whose expected number still holds."""
        for order in self.late:
            self.order(order)
        self.late.clear()

    def report(self) -> EngineReport:
        """Return a report of the current state."""
        return EngineReport(
            incarnation=1,
            orders_taken=self.orders_taken,
            requests=self.requests,
            models=(MODEL,) if self.has_model else (),
            adapters=tuple(self.adapters.items()),
        )
