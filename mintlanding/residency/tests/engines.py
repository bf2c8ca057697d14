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


@dataclass
class Run:
    """A request at a batch engine, with the times of its events."""

    name: str
    prompt: int
    events: int
    sent: float
    tokens: int = 0
    first_event: float = 0
    last_event: float = 0
    longest_pause: float = 0


@dataclass
class BatchEngine:
    """An engine that prefills prompts in pieces between the tokens of others.

    `prefill_rate` is in tokens a millisecond, `step_time` in seconds, `chunk`
    in prompt tokens that one step prefills at most.
    """

    batch_limit: int
    prefill_rate: float
    step_time: float
    tokens_per_event: int = 1
    chunk: int = 2048
    runs: list[Run] = field(default_factory=list)
    ended: list[Run] = field(default_factory=list)
    step_end: float = 0

    def add(self, name: str, prompt: int, events: int, now: float) -> None:
        """Begin a run."""
        assert len(self.runs) < self.batch_limit
        self.runs.append(Run(name, prompt, events, now))

    def advance(self, now: float) -> list[Run]:
        """Execute the steps that end by now; return the runs that ended."""
        ended: list[Run] = []
        while self.runs and self.step_end <= now:
            ended += self._step()
        self.step_end = max(self.step_end, now)
        return ended

    def _step(self) -> list[Run]:
        left = self.chunk
        begun = self.step_end
        generating = [each for each in self.runs if each.prompt <= 0]
        for run in self.runs:
            if run.prompt > 0 and left > 0:
                piece = min(left, run.prompt)
                run.prompt -= piece
                left -= piece
                if run.prompt == 0:
                    generating.append(run)
        prefilled = self.chunk - left
        self.step_end += self.step_time + prefilled / self.prefill_rate / 1000
        ended = []
        for run in generating:
            run.tokens += 1
            if run.tokens % self.tokens_per_event:
                continue
            if run.first_event:
                pause = self.step_end - run.last_event
                run.longest_pause = max(run.longest_pause, pause)
            else:
                run.first_event = self.step_end - min(run.sent, begun)
            run.last_event = self.step_end
            if run.tokens >= run.events * self.tokens_per_event:
                ended.append(run)
        self.runs = [each for each in self.runs if each not in ended]
        self.ended += ended
        return ended
