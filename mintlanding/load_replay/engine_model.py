"""Model of an engine: batch, prefill in pieces, and adapters in slots."""

import heapq
import math
from collections import OrderedDict
from dataclasses import dataclass, field

from mintlanding.load_replay.exceptions import ReplayError
from mintlanding.load_replay.models import EngineRates, EngineSpec
from mintlanding.residency.models import (
    EngineReport,
    Order,
    OrderKind,
    OrderResult,
)

# Prompt tokens that one step prefills at most.
CHUNK = 2048
# Adapters that an engine keeps at hand after their unload.
_RECENT_ADAPTERS = 96


@dataclass(slots=True)
class Run:
    """A request at an engine; `prompt` tokens are left to prefill.

    `first_event` and `longest_pause` are in seconds, `sent` and `last_event`
    are times; at `until` the caller gives up.
    """

    name: str
    prompt: int
    output: int
    sent: float
    until: float = math.inf
    tokens: int = 0
    first_event: float = 0
    last_event: float = 0
    longest_pause: float = 0


@dataclass
class WeightStore:
    """The store of adapters' weights, whose bandwidth all loads share.

    A load slows down by the loads that are in progress when it begins; those
    that begin later do not change it.
    """

    rates: EngineRates
    loads: int = 0
    pairs: set[str] = field(default_factory=set)
    _ends: list[float] = field(default_factory=list)

    def begin_load(self, adapter: str, now: float) -> float:
        """Begin a load and return when it ends."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        in_progress = len(self._ends) + 1
        slowdown = max(1, in_progress / self.rates.full_speed_loads)
        end = now + self.rates.load_time * slowdown
        heapq.heappush(self._ends, end)
        self.loads += 1
        self.pairs.add(adapter)
        return end


class EngineModel:
    """An engine that executes requests in steps, and orders at once.

    A step generates one token of each running request whose prompt is
    prefilled, and prefills a piece of the prompts of others.
    """

    def __init__(
        self, spec: EngineSpec, rates: EngineRates, store: WeightStore
    ) -> None:
        """Start without requests and adapters."""
        self.spec = spec
        self.runs: list[Run] = []
        self.peak = 0
        self.orders_taken = 0
        self._rates = rates
        self._store = store
        # When the adapter in a slot can be used.
        self._ready_at: dict[str, float] = {}
        self._recent: OrderedDict[str, None] = OrderedDict()
        self._step_end: float = 0

    def add(
        self,
        name: str,
        prompt: int,
        output: int,
        now: float,
        until: float = math.inf,
    ) -> None:
        """Begin a run; raise ReplayError if no slot is free."""
        if len(self.runs) >= self.spec.slots:
            raise ReplayError(f'{self.spec.name} has no free slot for {name}')
        if not self.runs:
            self._step_end = max(self._step_end, now)
        self.runs.append(Run(name, prompt, output, now, until))
        self.peak = max(self.peak, len(self.runs))

    def advance(self, now: float) -> list[Run]:
        """Execute the steps that begin by now; return the runs that ended."""
        ended: list[Run] = []
        while self.runs and self._step_end <= now:
            ended += self._step()
        self._step_end = max(self._step_end, now)
        return ended

    def abort(self, now: float) -> list[Run]:
        """End the runs whose callers have given up by now; return them."""
        if not any(one.until <= now for one in self.runs):
            return []
        aborted = [one for one in self.runs if one.until <= now]
        self.runs = [one for one in self.runs if one.until > now]
        return aborted

    def execute(self, order: Order, now: float) -> OrderResult:
        """Execute an order, or reject it if its expected number is wrong.

        Raise ReplayError if it would exceed the adapter slots.
        """
        if order.expected != self.orders_taken:
            return OrderResult.conflict
        self.orders_taken += 1
        adapter = order.adapter
        if order.kind is OrderKind.unload:
            self._ready_at.pop(adapter, None)
            self._recent[adapter] = None
            self._recent.move_to_end(adapter)
            if len(self._recent) > _RECENT_ADAPTERS:
                self._recent.popitem(last=False)
            return OrderResult.holds
        if len(self._ready_at) >= self.spec.adapter_slots:
            raise ReplayError(f'{self.spec.name} has no slot for {adapter}')
        if adapter in self._recent:
            self._ready_at[adapter] = now + self._rates.reload_time
        else:
            self._ready_at[adapter] = self._store.begin_load(adapter, now)
        return OrderResult.accepted

    def has_adapter(self, adapter: str, now: float) -> bool:
        """Return whether requests for an adapter can run."""
        return not adapter or self._ready_at.get(adapter, now + 1) <= now

    def report(self, model: str, now: float) -> EngineReport:
        """Return a report of the present state."""
        ready = [name for name, at in self._ready_at.items() if at <= now]
        coming = [name for name, at in self._ready_at.items() if at > now]
        return EngineReport(
            1,
            self.orders_taken,
            len(self.runs),
            (model,),
            tuple((name, 0) for name in ready),
            tuple((name, 0) for name in coming),
        )

    def _step(self) -> list[Run]:
        left = CHUNK
        begun = self._step_end
        generating = [one for one in self.runs if one.prompt <= 0]
        for run in self.runs:
            if run.prompt > 0 and left > 0:
                piece = min(left, run.prompt)
                run.prompt -= piece
                left -= piece
                if run.prompt == 0:
                    generating.append(run)
        rates = self._rates
        self._step_end += rates.token_time
        self._step_end += rates.token_growth * len(generating)
        self._step_end += (CHUNK - left) / rates.prefill_rate
        for each in generating:
            self._add_token(each, begun)
        ended = [one for one in generating if one.tokens >= one.output]
        if ended:
            names = {one.name for one in ended}
            self.runs = [one for one in self.runs if one.name not in names]
        return ended

    def _add_token(self, run: Run, begun: float) -> None:
        run.tokens += 1
        if run.first_event:
            pause = self._step_end - run.last_event
            run.longest_pause = max(run.longest_pause, pause)
        else:
            run.first_event = self._step_end - min(run.sent, begun)
        run.last_event = self._step_end
