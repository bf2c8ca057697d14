"""Choose the worker for an adapter's request from the region's digests."""

import random
from collections.abc import Collection, Iterable
from typing import Self

from mintlanding.core.results import Done, Failed, Outcome, ResultCode
from mintlanding.membership.models import Member, MemberState
from mintlanding.placement.index import WorkerIndex
from mintlanding.placement.messages import AdapterRef, WorkerDigest
from mintlanding.placement.policies import CHOICES, WorkerChoice
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.routing.circuit import CircuitOptions, Circuits
from mintlanding.routing.models import (
    EngineRequest,
    Pools,
    RoutingOptions,
    WorkerRoute,
)

_UNAVAILABLE = frozenset((MemberState.silent, MemberState.gone))


class WorkerRouter:
    """The workers known to one entry, and the choice among them.

    Circuits are kept by the names of workers and of their stewards. A pool is a
    set of workers that a request may use: those of a service, or those of them
    that a selector's labels match.
    """

    def __init__(
        self,
        zone: str,
        options: RoutingOptions,
        choice: WorkerChoice,
        circuits: Circuits,
    ) -> None:
        """Start without workers, in the entry's own zone."""
        self.circuits = circuits
        self._zone = zone
        self._options = options
        self._choice = choice
        self._pools: Pools = {}
        self._pools_of: dict[str, list[str]] = {}
        self._indexes: dict[str, WorkerIndex] = {}
        self._digests: dict[str, WorkerDigest] = {}
        self._unavailable: set[str] = set()

    @classmethod
    def from_config(
        cls,
        zone: str,
        options: RoutingOptions | None = None,
        policy: str = 'placed',
    ) -> Self:
        """Build the router of an entry in `zone` with a registered policy."""
        circuits = Circuits(CircuitOptions())
        return cls(
            zone, options or RoutingOptions(), CHOICES.get(policy)(), circuits
        )

    def set_pools(self, pools: Pools) -> None:
        """Set the configured workers of each pool.

        A pool with the same workers as before keeps its index.
        """
        before, self._pools = self._pools, dict(pools)
        self._pools_of = _pools_by_worker(self._pools)
        self._digests = {
            worker: digest
            for worker, digest in self._digests.items()
            if worker in self._pools_of
        }
        self._indexes = {
            pool: self._indexes[pool]
            if before.get(pool) == workers
            else self._index(workers)
            for pool, workers in self._pools.items()
        }

    def put_digest(self, digest: WorkerDigest) -> None:
        """Apply a digest; ignore a stale one."""
        held = self._digests.get(digest.worker)
        if held is not None and _version(held) >= _version(digest):
            return
        self._digests[digest.worker] = digest
        for pool in self._pools_of.get(digest.worker, ()):
            self._indexes[pool].put(digest)

    def put_member(self, member: Member) -> None:
        """Apply the state of an instance, which may be a steward."""
        if member.state in _UNAVAILABLE:
            self._unavailable.add(member.instance)
        else:
            self._unavailable.discard(member.instance)

    def note_sent(self, worker: str) -> None:
        """Count a sent request that the worker's digest does not show yet."""
        for pool in self._pools_of.get(worker, ()):
            self._indexes[pool].note_sent(worker)

    def choose(
        self,
        req: EngineRequest,
        popularity: DecayedPopularity,
        now: float,
        rnd: random.Random,
    ) -> Outcome[WorkerRoute]:
        """Return the best worker whose steward is available."""
        index = self._indexes.get(req.pool)
        if index is None:
            return self._no_target('no such pool')
        ranked = self._choice.choose(req.ref, index, popularity, now)
        usable = self._usable(ranked, req, now)
        if not usable:
            usable = self._usable(self._all_digests(index), req, now)
        if not usable:
            return self._no_target('no usable worker')
        chosen = self._prefer_zone(usable, req.ref, index)
        self.circuits.note_trial(chosen.steward, now)
        self.circuits.note_trial(chosen.worker, now)
        return Done(_route(chosen))

    def _usable(
        self,
        digests: Iterable[WorkerDigest],
        req: EngineRequest,
        now: float,
    ) -> list[WorkerDigest]:
        return [
            digest
            for digest in digests
            if digest.worker not in req.excluded
            and digest.steward not in self._unavailable
            and self.circuits.admits(digest.steward, now, may_fail=True)
            and self.circuits.admits(digest.worker, now, may_fail=True)
        ]

    def _index(self, workers: Collection[str]) -> WorkerIndex:
        known = sorted(self._digests.keys() & workers)
        return WorkerIndex.from_digests(self._digests[each] for each in known)

    def _all_digests(self, index: WorkerIndex) -> list[WorkerDigest]:
        workers = index.least_loaded(len(index))
        return [self._digests[worker] for worker in workers]

    def _prefer_zone(
        self,
        digests: list[WorkerDigest],
        ref: AdapterRef,
        index: WorkerIndex,
    ) -> WorkerDigest:
        """Prefer a worker of the same zone with the adapter resident.

        If it is not resident on the best worker, the given order decides.
        """
        best = digests[0]
        if best.zone == self._zone or ref not in best.resident:
            return best
        bound = index.load(best.worker)
        bound += self._options.zone_slack * best.batch_limit
        for digest in digests:
            is_near = digest.zone == self._zone and ref in digest.resident
            if is_near and index.load(digest.worker) <= bound:
                return digest
        return best

    def _no_target(self, detail: str) -> Failed:
        return Failed(
            ResultCode.no_target,
            detail,
            retry_after=self._options.retry_after,
        )


def _pools_by_worker(pools: Pools) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for pool, workers in pools.items():
        for worker in workers:
            found.setdefault(worker, []).append(pool)
    return found


def _version(digest: WorkerDigest) -> tuple[int, int]:
    return (digest.fencing, digest.sequence)


def _route(digest: WorkerDigest) -> WorkerRoute:
    return WorkerRoute(digest.worker, digest.steward, digest.steward_address)
