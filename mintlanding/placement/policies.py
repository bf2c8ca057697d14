"""Policies for the choice of a worker."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from mintlanding.core.registry import Registry
from mintlanding.placement.index import WorkerIndex
from mintlanding.placement.messages import AdapterRef, WorkerDigest
from mintlanding.placement.popularity import DecayedPopularity

# Workers returned for one request; an entry tries no others.
_MAX_CANDIDATES = 3


@dataclass(frozen=True, slots=True)
class ChoiceOptions:
    """Bounds in the choice of a worker.

    No worker gets more than `load_factor` times the mean load, unless it is
    under `free_share` of its batch limit. An adapter has one replica for each
    `replica_rate` requests per second.
    """

    load_factor: float = 1.25
    free_share: float = 1
    replica_rate: float = 4
    max_replicas: int = 4


class WorkerChoice(Protocol):
    """A policy that ranks the workers for a request, the best one first."""

    def choose(
        self,
        ref: AdapterRef,
        index: WorkerIndex,
        popularity: DecayedPopularity,
        now: float,
    ) -> list[WorkerDigest]:
        """Return candidates; an empty list when no worker is usable."""


CHOICES: Registry[Callable[[], WorkerChoice]] = Registry('worker choice')


@CHOICES.register('placed')
@dataclass(frozen=True, slots=True)
class PlacedChoice:
    """Residency first, then rendezvous hashing with bounded load.

    A worker over its bound is skipped, so that the next one in the adapter's
    rendezvous order becomes a replica. A popular adapter has several replicas
    at once.
    """

    options: ChoiceOptions = ChoiceOptions()

    def choose(
        self,
        ref: AdapterRef,
        index: WorkerIndex,
        popularity: DecayedPopularity,
        now: float,
    ) -> list[WorkerDigest]:
        """Rank resident workers, then the rendezvous order, then idle ones."""
        order = index.order(ref)
        if not order:
            return []
        replicas = self._replicas(popularity.rate(ref, now))
        bound = self.options.load_factor * index.mean_load()
        holders = self._holders(ref, index, order, replicas)
        ranked = [
            worker
            for worker in (*holders, *order)
            if self._is_below_bound(worker, index, bound)
        ]
        if len(ranked) < _MAX_CANDIDATES:
            ranked.extend(index.least_loaded(_MAX_CANDIDATES))
        with_adapter = index.holders(ref)
        ranked.sort(key=lambda each: not index.can_serve(each, with_adapter))
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
        """Return the workers with the adapter, or its replicas if popular."""
        holders = index.holders(ref)
        if replicas > 1:
            wanted = holders.union(order[:replicas])
            return sorted(wanted, key=lambda each: (index.load(each), each))
        if len(holders) < 2:
            return list(holders)
        positions = {worker: position for position, worker in enumerate(order)}
        last = len(positions)
        return sorted(
            holders,
            key=lambda each: (positions.get(each, last), each),
        )

    def _is_below_bound(
        self, worker: str, index: WorkerIndex, bound: float
    ) -> bool:
        digest = index.get(worker)
        if digest is None:
            return False
        min_bound = self.options.free_share * digest.batch_limit
        return index.load(worker) < max(bound, min_bound)


@CHOICES.register('least-loaded')
class LeastLoadedChoice:
    """Choose the worker with the lowest load, wherever the adapter is."""

    def choose(
        self,
        ref: AdapterRef,
        index: WorkerIndex,
        popularity: DecayedPopularity,
        now: float,
    ) -> list[WorkerDigest]:
        """Rank by load."""
        return _digests(index.least_loaded(_MAX_CANDIDATES), index)


@CHOICES.register('round-robin')
class RoundRobinChoice:
    """Choose the workers in turn."""

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
        """Rank the workers, starting from the next in turn."""
        workers = index.workers()
        if not workers:
            return []
        self._turn = (self._turn + 1) % len(workers)
        rotated = workers[self._turn :] + workers[: self._turn]
        return _digests(rotated, index)


_PLACED = PlacedChoice()


def choose_workers(
    ref: AdapterRef,
    index: WorkerIndex,
    popularity: DecayedPopularity,
    now: float,
) -> list[WorkerDigest]:
    """Rank the workers for a request by the default policy."""
    return _PLACED.choose(ref, index, popularity, now)


def _digests(workers: Iterable[str], index: WorkerIndex) -> list[WorkerDigest]:
    chosen = list(dict.fromkeys(workers))[:_MAX_CANDIDATES]
    found = [index.get(worker) for worker in chosen]
    return [digest for digest in found if digest is not None]
