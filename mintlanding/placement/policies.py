"""Which worker should run a request: policies behind one registry."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from mintlanding.core.registry import Registry
from mintlanding.placement.index import WorkerIndex
from mintlanding.placement.messages import AdapterRef, WorkerDigest
from mintlanding.placement.popularity import DecayedPopularity

# Candidates returned for one request; an entry tries no more than these.
_CANDIDATES = 3


@dataclass(frozen=True, slots=True)
class ChoiceOptions:
    """Bounds of the choice of a worker.

    No worker takes more than `load_factor` times the mean load, unless it is
    under `free_share` of its batch limit. An adapter has one replica for
    each `replica_rate` requests a second.
    """

    load_factor: float = 1.25
    free_share: float = 1
    replica_rate: float = 4
    max_replicas: int = 4


class WorkerChoice(Protocol):
    """Rank the workers that may run a request, the best one first."""

    def choose(
        self,
        ref: AdapterRef,
        index: WorkerIndex,
        popularity: DecayedPopularity,
        now: float,
    ) -> list[WorkerDigest]:
        """Return some candidates; none when no worker is usable."""


CHOICES: Registry[Callable[[], WorkerChoice]] = Registry('worker choice')


@CHOICES.register('placed')
@dataclass(frozen=True, slots=True)
class PlacedChoice:
    """Residency first, then rendezvous hashing with bounded load.

    A worker over its bound is passed by, so that the next one in the
    adapter's order becomes a replica; a popular adapter has some at once.
    """

    options: ChoiceOptions = ChoiceOptions()

    def choose(
        self,
        ref: AdapterRef,
        index: WorkerIndex,
        popularity: DecayedPopularity,
        now: float,
    ) -> list[WorkerDigest]:
        """Rank holders, then the adapter's own workers, then idle ones."""
        order = index.order(ref)
        if not order:
            return []
        replicas = self._replicas(popularity.rate(ref, now))
        bound = self.options.load_factor * index.mean_load()
        holders = self._holders(ref, index, order, replicas)
        ranked = [
            worker
            for worker in (*holders, *order)
            if self._has_room(worker, index, bound)
        ]
        if len(ranked) < _CANDIDATES:
            ranked.extend(index.least_loaded(_CANDIDATES))
        holding = index.holders(ref)
        ranked.sort(key=lambda each: not index.can_serve(each, holding))
        return _digests(ranked, index)

    def _replicas(self, rate: float) -> int:
        wanted = math.ceil(rate / self.options.replica_rate)
        return min(max(wanted, 1), self.options.max_replicas)

    def _holders(
        self,
        ref: AdapterRef,
        index: WorkerIndex,
        order: tuple[str, ...],
        replicas: int,
    ) -> list[str]:
        """Return holders; a popular adapter's own workers count as such."""
        holders = index.holders(ref)
        if replicas > 1:
            wanted = holders.union(order[:replicas])
            return sorted(wanted, key=lambda each: (index.load(each), each))
        if len(holders) < 2:
            return list(holders)
        places = {worker: place for place, worker in enumerate(order)}
        last = len(places)
        return sorted(
            holders,
            key=lambda each: (places.get(each, last), each),
        )

    def _has_room(self, worker: str, index: WorkerIndex, bound: float) -> bool:
        digest = index.get(worker)
        if digest is None:
            return False
        least = self.options.free_share * digest.batch_limit
        return index.load(worker) < max(bound, least)


@CHOICES.register('least-loaded')
class LeastLoadedChoice:
    """Take the worker with the lowest load, wherever the adapter is."""

    def choose(
        self,
        ref: AdapterRef,
        index: WorkerIndex,
        popularity: DecayedPopularity,
        now: float,
    ) -> list[WorkerDigest]:
        """Rank by load."""
        return _digests(index.least_loaded(_CANDIDATES), index)


@CHOICES.register('round-robin')
class RoundRobinChoice:
    """Take the workers in turn."""

    def __init__(self) -> None:
        """Start with the first worker."""
        self._turn = 0

    def choose(
        self,
        ref: AdapterRef,
        index: WorkerIndex,
        popularity: DecayedPopularity,
        now: float,
    ) -> list[WorkerDigest]:
        """Rank from the one whose turn it is."""
        workers = index.workers()
        if not workers:
            return []
        self._turn = (self._turn + 1) % len(workers)
        turned = workers[self._turn :] + workers[: self._turn]
        return _digests(turned, index)


_PLACED = PlacedChoice()


def choose_workers(
    ref: AdapterRef,
    index: WorkerIndex,
    popularity: DecayedPopularity,
    now: float,
) -> list[WorkerDigest]:
    """Rank the workers for a request by the policy of the product."""
    return _PLACED.choose(ref, index, popularity, now)


def _digests(workers: Iterable[str], index: WorkerIndex) -> list[WorkerDigest]:
    chosen = list(dict.fromkeys(workers))[:_CANDIDATES]
    found = [index.get(worker) for worker in chosen]
    return [digest for digest in found if digest is not None]
