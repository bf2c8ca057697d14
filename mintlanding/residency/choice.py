"""Which worker an adapter's request goes to.

Load it answers: few adapters get most requests while thousands get one now
and then, on engines with few places. Each adapter has a home, so that it is
fetched once and its prompts stay together; others take it only where waiting
at home costs more than fetching it again.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class ChoiceTerms:
    """Costs of a choice in seconds of a caller's waiting.

    `home_load`: the adapter is loaded by its home, where it often was
    before. `next_load`: by the second, and once more for each further one.
    `running_cost`: each request beside which another runs. `far_cost`:
    another zone. `blind_cost`: a worker whose steward is not heard of.
    """

    home_load: float = 0.1
    next_load: float = 0.4
    running_cost: float = 0.004
    far_cost: float = 0.003
    blind_cost: float = 0.5
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
    can_order: bool = False
    is_heard: bool = False
    has_model: bool = True
    ready: frozenset[str] = frozenset()


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
    terms: ChoiceTerms,
) -> list[str]:
    """Return the workers to ask, cheapest first.

    `key` places the adapter among the workers, which know it by its name.
    """
    able = [worker for worker, view in views.items() if view.has_model]
    order = rank_workers(key, able) if adapter else able
    costs: list[tuple[float, int, str]] = []
    for position, worker in enumerate(order):
        cost = _cost(adapter, views[worker], position, zone, terms)
        costs.append((cost, position, worker))
    return [each[-1] for each in sorted(costs)[: terms.candidates]]


def _cost(
    adapter: str,
    view: WorkerView,
    position: int,
    zone: str,
    terms: ChoiceTerms,
) -> float:
    load = (view.running + view.sent) * terms.running_cost
    cost = view.wait + load
    if view.zone != zone:
        cost += terms.far_cost
    if not view.is_heard:
        cost += terms.blind_cost
    if not adapter or adapter in view.ready:
        return cost
    if not view.can_order:
        cost += terms.blind_cost
    waiting = max(0, view.load_wait - view.wait)
    return cost + waiting + terms.home_load + position * terms.next_load
