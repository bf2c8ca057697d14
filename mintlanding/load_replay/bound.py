"""An upper bound on the requests that any policy can serve in time.

It is that of a clairvoyant relaxation: all arrivals are known, and all engines
are one pool of engine time and of slots. A request that is on time does all of
its work between its arrival and its deadline. So of the requests whose times
lie within an interval, no more can be on time than the pool can work off in it,
the smallest ones first. The losses of intervals that do not overlap add up; the
bound uses those that lose the most. Each adapter is loaded once.
"""

import itertools
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from mintlanding.load_replay.engine_model import CHUNK
from mintlanding.load_replay.models import (
    NO_ADAPTER,
    EngineSpec,
    LoadRecord,
    LoadRequest,
)
from mintlanding.load_replay.replay import STEP

_MILLISECONDS = 1000
# Borders of intervals are arrivals and deadlines, or a grid of as many seconds
# where there are too many of these.
_MAX_EXACT_BORDERS = 100
_GRID = 0.5
_MAX_GRID_BORDERS = 200
# Longest interval in distances of borders; a burst and a deadline fit.
_MAX_LENGTH = 100
# Tolerance for rounding.
_TINY = 1e-6


@dataclass(frozen=True, slots=True)
class _Demand:
    """What a request needs at least; times and work in seconds."""

    start: float
    end: float
    engine_work: float
    slot_work: float
    adapter: int


def on_time_bound(record: LoadRecord) -> int:
    """Return how many requests of a record can be on time at most."""
    return _Relaxation(record).bound()


class _Relaxation:
    """The pool of all engines, and what the requests need of it."""

    def __init__(self, record: LoadRecord) -> None:
        self._rates = record.header.rates
        self._engines = record.header.engines
        self._slots = max(engine.slots for engine in self._engines)
        self._load_rate = self._loads_per_second()
        self._demands = [
            self._demand(req) for req in record.requests if self._can_meet(req)
        ]

    def bound(self) -> int:
        """Return the number of requests less the greatest sum of losses."""
        if not self._demands:
            return 0
        borders = self._borders()
        # The greatest loss of intervals up to each border.
        losses = [0]
        for place, end in enumerate(borders[1:], 1):
            first = max(0, place - _MAX_LENGTH)
            within = [each for each in self._demands if each.end <= end]
            best = losses[-1]
            for start_place in range(place - 1, first - 1, -1):
                start = borders[start_place]
                loss = losses[start_place] + self._loss(within, start, end)
                best = max(best, loss)
            losses.append(best)
        return len(self._demands) - losses[-1]

    def _borders(self) -> list[float]:
        exact = {each.start for each in self._demands}
        exact |= {each.end for each in self._demands}
        if len(exact) <= _MAX_EXACT_BORDERS:
            return sorted(exact)
        start = min(exact)
        span = max(exact) - start
        count = min(_MAX_GRID_BORDERS, int(span / _GRID) + 1)
        return [
            start + span * place / count + _TINY * (place == count)
            for place in range(count + 1)
        ]

    def _loss(self, within: Sequence[_Demand], start: float, end: float) -> int:
        """Return how many requests of an interval are lost at least."""
        found = [each for each in within if each.start >= start]
        if not found:
            return 0
        capacity = [self._available(each, start, end) for each in self._engines]
        slot_capacity = sum(
            available * engine.slots
            for available, engine in zip(capacity, self._engines)
        )
        return len(found) - min(
            _count_fitting([each.engine_work for each in found], sum(capacity)),
            _count_fitting([each.slot_work for each in found], slot_capacity),
            self._count_loaded(found, end),
        )

    def _available(self, engine: EngineSpec, start: float, end: float) -> float:
        """Return for how many seconds an engine works in an interval."""
        if engine.lost_at_ms < 0:
            return end - start
        # A step that has begun is counted in whole.
        lost_at = engine.lost_at_ms / _MILLISECONDS + STEP + self._step_time()
        return max(0, min(end, lost_at) - start)

    def _count_loaded(self, found: Sequence[_Demand], end: float) -> int:
        """Return how many requests are for adapters that can be loaded."""
        wanted = Counter(
            each.adapter for each in found if each.adapter != NO_ADAPTER
        )
        without = len(found) - wanted.total()
        loads = int(self._load_rate * max(0, end + STEP) + _TINY)
        if loads >= len(wanted):
            return len(found)
        return without + sum(count for _, count in wanted.most_common(loads))

    def _loads_per_second(self) -> float:
        """Return how many loads end in a second at most.

        A load slows down by those in progress when it begins, so the one that
        is the n-th in progress had at least n then.
        """
        rates = self._rates
        if rates.load_time <= 0:
            return 10**9
        slots = sum(engine.adapter_slots for engine in self._engines)
        return sum(
            min(1, rates.full_speed_loads / place) / rates.load_time
            for place in range(1, slots + 1)
        )

    def _step_time(self) -> float:
        rates = self._rates
        tokens_time = rates.token_time + rates.token_growth * self._slots
        return tokens_time + CHUNK / rates.prefill_rate

    def _demand(self, req: LoadRequest) -> _Demand:
        rates = self._rates
        start = req.at_ms / _MILLISECONDS
        # A full batch takes the least engine time for each token.
        token_work = rates.token_time / self._slots + rates.token_growth
        prefill = req.prompt_tokens / rates.prefill_rate
        return _Demand(
            # The model may join a request to a step that has just begun.
            start - STEP,
            start + req.deadline_ms / _MILLISECONDS,
            prefill + max(1, req.output_tokens) * token_work,
            max(0, self._least_time(req, req.output_tokens) - STEP),
            req.adapter,
        )

    def _can_meet(self, req: LoadRequest) -> bool:
        """Return whether a request alone at an engine would be on time."""
        first = self._least_time(req, 1) - STEP - _TINY
        whole = self._least_time(req, req.output_tokens) - STEP - _TINY
        return (
            first * _MILLISECONDS <= req.objective_ms
            and whole * _MILLISECONDS <= req.deadline_ms
        )

    def _least_time(self, req: LoadRequest, tokens: int) -> float:
        rates = self._rates
        token_time = rates.token_time + rates.token_growth
        prefill = req.prompt_tokens / rates.prefill_rate
        return prefill + max(1, tokens) * token_time


def _count_fitting(works: Sequence[float], capacity: float) -> int:
    """Return how many works fit into a capacity, the smallest first."""
    sums = itertools.accumulate(sorted(works))
    return sum(1 for done in sums if done <= capacity + _TINY)
