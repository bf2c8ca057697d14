"""Which worker an adapter's request goes to.

Load it answers: few adapters get most requests while thousands get one now
and then, on engines with few places. Each adapter has a home, so that it is
fetched once and its prompts stay together; others take it only where waiting
at home costs more than fetching it again. An adapter that fills much of a
worker's batch is fetched by others for many requests, which spread over all
that hold it.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

# Holders of an adapter that are compared for a request.
_COMPARED = 2


@dataclass(frozen=True, slots=True)
class ChoiceOptions:
    """Costs of a choice in seconds of a caller's waiting.

    `home_load`: the adapter is loaded by its home, where it often was
    before. `next_load`: by the second, and once more for each further one.
    `full_cost`: a full batch, and a part of it for any other. `far_cost`:
    another zone. `blind_cost`: a worker whose steward is not heard of.
    `hot_load`: like `next_load`, for an adapter in great demand. Of several
    workers that hold an adapter two are compared, drawn anew each time, and
    `crowd_cost` keeps off the others, since all instances see the same
    digests. `candidates`: workers asked for one request.
    """

    home_load: float = 0.1
    next_load: float = 0.4
    full_cost: float = 0.25
    far_cost: float = 0.003
    blind_cost: float = 0.5
    hot_load: float = 0.03
    crowd_cost: float = 0.08
    candidates: int = 4


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker as this instance sees it; `sent` since the last digest."""

    worker: str
    zone: str
    wait: float = 0
    load_wait: float = 0
    running: int = 0
    sent: int = 0
    slots: int = 64
    can_order: bool = False
    is_heard: bool = False
    has_model: bool = True
    ready: frozenset[str] = frozenset()
    hot: frozenset[str] = frozenset()


def rank_workers(adapter: str, workers: Iterable[str]) -> list[str]:
    """Return the workers in the adapter's rendezvous order."""
    return sorted(
        workers,
        key=lambda worker: xxhash.xxh64_intdigest(
            f'{adapter}|{worker}'.encode(),
        ),
        reverse=True,
    )


def choose_worker(
    key: str,
    adapter: str,
    views: dict[str, WorkerView],
    zone: str,
    options: ChoiceOptions,
    rnd: random.Random,
) -> list[str]:
    """Return the workers to ask, cheapest first.

    `key` places the adapter among the workers, which know it by its name.
    """
    able = [worker for worker, view in views.items() if view.has_model]
    order = rank_workers(key, able) if adapter else able
    holders = [
        worker
        for worker in able
        if not adapter or adapter in views[worker].ready
    ]
    crowd = set(holders)
    if len(holders) > _COMPARED:
        crowd -= set(rnd.sample(holders, _COMPARED))
    else:
        crowd.clear()
    step = options.next_load
    if any(adapter in view.hot for view in views.values()):
        step = options.hot_load
    costs: list[tuple[float, int, str]] = []
    for position, worker in enumerate(order):
        cost = _cost(adapter, views[worker], position * step, zone, options)
        if worker in crowd:
            cost += options.crowd_cost
        costs.append((cost, position, worker))
    return [each[-1] for each in sorted(costs)[: options.candidates]]


def _cost(
    adapter: str,
    view: WorkerView,
    load_cost: float,
    zone: str,
    options: ChoiceOptions,
) -> float:
    share = (view.running + view.sent) / max(1, view.slots)
    cost = view.wait + share * options.full_cost
    if view.zone != zone:
        cost += options.far_cost
    if not view.is_heard:
        cost += options.blind_cost
    if not adapter or adapter in view.ready:
        return cost
    if not view.can_order:
        cost += options.blind_cost
    waiting = max(0, view.load_wait - view.wait)
    return cost + waiting + options.home_load + load_cost
