"""Choose the worker for a request.

A few adapters get most requests while thousands get one now and then, and
engines have few slots. Rendezvous hashing therefore gives each adapter a home
worker, so that it is loaded once and its cached prefixes stay on one engine.
Another worker loads it only where waiting at the home costs more than the load.
An adapter that fills much of a worker's batch is cheap to load on further
workers, and its requests spread over all of them.
"""

import bisect
import functools
import heapq
import math
import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Self

import xxhash

# Learned times vary by this factor between equal engines, whose batches differ.
_USUAL_SLOWNESS = 1.25
# Greatest slowness that is told apart.
_MAX_SLOWNESS = 3.0
# Workers with the adapter resident that are compared for a request.
_SAMPLED = 2
# Workers whose positions in an order are looked up one by one.
_FEW = 4
# Rendezvous orders that are remembered; 600 workers take 5 kB each.
_REMEMBERED_ORDERS = 512
# Sets of workers whose encoded names are remembered: those of some services,
# and the same without an engine that failed.
_REMEMBERED_SETS = 16


@dataclass(frozen=True, slots=True)
class ChoiceOptions:
    """Costs in the choice of a worker, as seconds of a caller's wait.

    `home_load_cost`: the adapter's home worker loads it, where it probably was
    before. `next_load_cost`: the second worker in its rendezvous order loads
    it, and as much again for each further one; `hot_load_cost` takes its place
    for an adapter in great demand. `full_batch_cost`: the batch is full; a
    partly filled batch costs its share. `other_zone_cost`: the worker is in
    another zone. `unreachable_cost`: the worker's steward is unreachable, or it
    cannot order the load that the request needs.

    Of several workers with the adapter resident two random ones are compared,
    and the others cost `not_sampled_cost` more: all instances see the same
    digests and would otherwise choose the same worker. `candidates`: workers
    returned for one request.

    `slow_cost`: an engine is slower by the average time of all, and as much
    again for each further multiple. For an engine of 0.55 of the speed of the
    others it stays below `next_load_cost`: if adapters left their homes there,
    its adapter slots would be of no use.
    """

    home_load_cost: float = 0.1
    next_load_cost: float = 0.4
    full_batch_cost: float = 0.25
    other_zone_cost: float = 0.003
    unreachable_cost: float = 0.5
    hot_load_cost: float = 0.03
    not_sampled_cost: float = 0.08
    candidates: int = 4
    slow_cost: float = 0.5

    def without_speed(self) -> Self:
        """Return options by which the speed of engines does not count."""
        return replace(self, slow_cost=0)


@dataclass(frozen=True, slots=True)
class EngineRoom:
    """How long a request waits at an engine, in seconds.

    `class_waits` are by priority, for workspaces without waiting requests; the
    last one applies to all further priorities. `workspace_waits` are those of
    workspaces that have requests waiting, with their priority. `start_gap` is
    the time between two starts, `at` is when the digest came.
    """

    class_waits: tuple[float, ...]
    workspace_waits: tuple[tuple[str, int, float], ...] = ()
    start_gap: float = 0
    at: float = math.inf


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker as this instance sees it.

    `sent` counts the requests sent to it since its last digest, `sent_lines`
    the same by workspace and priority. `room` is None if it is not known.
    `prefill_rate` (prompt tokens per second) and `token_us` (microseconds per
    output token) are as learned by its steward, 0 if unknown.
    """

    worker: str
    zone: str
    wait: float = 0
    load_wait: float = 0
    running: int = 0
    sent: int = 0
    slots: int = 64
    can_order: bool = False
    is_reachable: bool = False
    has_model: bool = True
    ready: frozenset[str] = frozenset()
    hot: frozenset[str] = frozenset()
    room: EngineRoom | None = None
    prefill_rate: float = 0
    token_us: float = 0
    sent_lines: Mapping[tuple[str, int], int] = field(default_factory=dict)


def rank_workers(adapter: str, workers: Iterable[str]) -> tuple[str, ...]:
    """Return the workers in the adapter's rendezvous order."""
    return _rendezvous_order(adapter, tuple(workers))


@functools.lru_cache(maxsize=_REMEMBERED_ORDERS)
def _rendezvous_order(
    adapter: str, workers: tuple[str, ...]
) -> tuple[str, ...]:
    prefix = f'{adapter}|'.encode()
    # The functions of the interpreter loop over the workers: a request for an
    # adapter that is not remembered hashes the names of all.
    hashes = list(
        map(xxhash.xxh64_intdigest, map(prefix.__add__, _encoded(workers)))
    )
    ranked = sorted(range(len(workers)), key=hashes.__getitem__, reverse=True)
    return tuple(map(workers.__getitem__, ranked))


@functools.lru_cache(maxsize=_REMEMBERED_SETS)
def _encoded(workers: tuple[str, ...]) -> tuple[bytes, ...]:
    return tuple(worker.encode() for worker in workers)


def choose_worker(
    key: str,
    adapter: str,
    views: Mapping[str, WorkerView],
    zone: str,
    options: ChoiceOptions,
    rnd: random.Random,
    waits: Mapping[str, float] | None = None,
) -> list[str]:
    """Return the workers to try, cheapest first.

    `key` identifies the adapter for rendezvous hashing; `adapter` is the name
    by which the workers know it. `waits` are the expected waits of this
    request where they differ from those of its view.
    """
    waits = waits or {}
    with_model = [worker for worker, view in views.items() if view.has_model]
    with_adapter = with_model
    order: Sequence[str] = with_model
    step = options.next_load_cost
    if adapter:
        with_adapter = [
            worker
            for worker, view in views.items()
            if adapter in view.ready and view.has_model
        ]
        order = rank_workers(key, with_model)
        if _is_hot(adapter, views):
            step = options.hot_load_cost
    not_sampled: set[str] = set()
    if len(with_adapter) > _SAMPLED:
        not_sampled = set(with_adapter)
        not_sampled -= set(rnd.sample(with_adapter, _SAMPLED))
    slow_costs = _slow_costs(adapter, views, with_adapter, options)
    costs: list[tuple[float, int, str]] = []
    for position, worker in _positions(order, with_adapter):
        cost = _run_cost(views[worker], waits.get(worker), zone, options)
        cost += slow_costs.get(worker, 0)
        if worker in not_sampled:
            cost += options.not_sampled_cost
        costs.append((cost, position, worker))
    costs = heapq.nsmallest(options.candidates, costs)
    if len(with_adapter) == len(with_model):
        return [each[-1] for each in costs]
    resident = set(with_adapter)
    for position, worker in enumerate(order):
        load_cost = position * step
        # No worker from here on is cheaper than its load alone.
        if (
            len(costs) >= options.candidates
            and options.home_load_cost + load_cost > costs[-1][0]
        ):
            break
        if worker in resident:
            continue
        wait = waits.get(worker)
        cost = _load_cost(views[worker], wait, load_cost, zone, options)
        cost += slow_costs.get(worker, 0)
        bisect.insort(costs, (cost, position, worker))
        del costs[options.candidates :]
    return [each[-1] for each in costs]


def _is_hot(adapter: str, views: Mapping[str, WorkerView]) -> bool:
    return any([True for view in views.values() if adapter in view.hot])


def _positions(
    order: Sequence[str], workers: Sequence[str]
) -> Iterable[tuple[int, str]]:
    """Return the workers with their positions in an order."""
    if len(workers) <= _FEW:
        return [(order.index(worker), worker) for worker in workers]
    wanted = set(workers)
    return [
        (position, worker)
        for position, worker in enumerate(order)
        if worker in wanted
    ]


def _slow_costs(
    adapter: str,
    views: Mapping[str, WorkerView],
    with_adapter: list[str],
    options: ChoiceOptions,
) -> dict[str, float]:
    """Return the costs of slow engines, without those that cost nothing.

    They count among engines with the adapter resident, and among those that
    would load it. A quick engine is no reason to load it a second time.
    """
    if not options.slow_cost:
        return {}
    slow = _slowness(
        [view for view in views.values() if view.token_us and view.prefill_rate]
    )
    costs = {name: options.slow_cost * each for name, each in slow.items()}
    if not costs or not adapter or not with_adapter:
        return costs
    least = min(costs.get(worker, 0) for worker in with_adapter)
    for worker in with_adapter:
        if worker in costs:
            costs[worker] -= least
    return costs


def _slowness(known: Sequence[WorkerView]) -> dict[str, float]:
    """Return by how much engines are slower than the average, in multiples.

    The average is that of times: an average of prefill rates is determined by
    the few engines whose learned rate is far too high, and all others would
    count as slow.
    """
    if len(known) < 2:
        return {}
    times = [each.token_us for each in known]
    prefill_times = [1 / each.prefill_rate for each in known]
    token_us = sum(times) / len(known)
    prefill_time = sum(prefill_times) / len(known)
    return {
        view.worker: min(ratio / 2, _MAX_SLOWNESS) - 1
        for view, own_time, own_prefill in zip(known, times, prefill_times)
        if (ratio := own_time / token_us + own_prefill / prefill_time)
        > 2 * _USUAL_SLOWNESS
    }


def _run_cost(
    view: WorkerView, wait: float | None, zone: str, options: ChoiceOptions
) -> float:
    """Return the cost at a worker that needs no load; `wait` may be known."""
    share = (view.running + view.sent) / (view.slots or 1)
    cost = view.wait if wait is None else wait
    cost += share * options.full_batch_cost
    if view.zone != zone:
        cost += options.other_zone_cost
    if not view.is_reachable:
        cost += options.unreachable_cost
    return cost


def _load_cost(
    view: WorkerView,
    wait: float | None,
    load_cost: float,
    zone: str,
    options: ChoiceOptions,
) -> float:
    """Return the cost at a worker that has to load the adapter."""
    cost = _run_cost(view, wait, zone, options)
    if not view.can_order:
        cost += options.unreachable_cost
    queue_wait = view.wait if wait is None else wait
    waiting = max(0, view.load_wait - queue_wait)
    return cost + waiting + options.home_load_cost + load_cost
