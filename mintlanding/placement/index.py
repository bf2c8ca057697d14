"""An entry's view of the region's workers, indexed for the choice of one."""

import hashlib
import heapq
from collections.abc import Iterable

from mintlanding.placement.messages import AdapterRef, WorkerDigest

# Workers ranked for each adapter; the choice falls back to the least loaded.
_RANKED = 8
_MAX_CACHED = 32768
_MASK = 0xFFFFFFFFFFFFFFFF
_FIRST_FACTOR = 0xBF58476D1CE4E5B9
_SECOND_FACTOR = 0x94D049BB133111EB


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def _mix(number: int) -> int:
    number = ((number ^ (number >> 30)) * _FIRST_FACTOR) & _MASK
    number = ((number ^ (number >> 27)) * _SECOND_FACTOR) & _MASK
    return number ^ (number >> 31)


class WorkerIndex:
    """Digests by worker, holders by adapter, and rendezvous order by adapter.

    A put costs what has changed in the digest. The rendezvous order is kept
    for each adapter until the set of usable workers changes.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self.total_load: float = 0
        self._digests: dict[str, WorkerDigest] = {}
        self._numbers: dict[str, tuple[int, int]] = {}
        self._salts: dict[str, int] = {}
        self._holders: dict[AdapterRef, set[str]] = {}
        self._sent: dict[str, int] = {}
        self._orders: dict[AdapterRef, tuple[str, ...]] = {}

    @classmethod
    def from_digests(cls, digests: Iterable[WorkerDigest]) -> 'WorkerIndex':
        """Build the index of some digests."""
        index = cls()
        for digest in digests:
            index.put(digest)
        return index

    def __len__(self) -> int:
        """Count the usable workers."""
        return len(self._digests)

    def get(self, worker: str) -> WorkerDigest | None:
        """Return the digest of a usable worker."""
        return self._digests.get(worker)

    def workers(self) -> list[str]:
        """List the usable workers in order."""
        return sorted(self._digests)

    def put(self, digest: WorkerDigest) -> bool:
        """Take a digest; a stale one is ignored, an unusable one removes."""
        held = self._digests.get(digest.worker)
        newest = self._numbers.get(digest.worker)
        if newest is not None and newest >= _number(digest):
            return False
        if digest.silent or digest.leaving:
            self.remove(digest.worker)
            self._numbers[digest.worker] = _number(digest)
            return True
        self._numbers[digest.worker] = _number(digest)
        self._hold(digest, held)
        self.total_load -= self.load(digest.worker)
        self._sent.pop(digest.worker, None)
        self._digests[digest.worker] = digest
        self.total_load += self.load(digest.worker)
        if held is None:
            self._salts[digest.worker] = _hash(digest.worker)
            self._orders.clear()
        return True

    def remove(self, worker: str) -> None:
        """Forget a worker that is gone, silent, leaving or unreachable."""
        self._numbers.pop(worker, None)
        held = self._digests.get(worker)
        if held is None:
            return
        self.total_load -= self.load(worker)
        self._digests.pop(worker)
        self._sent.pop(worker, None)
        self._salts.pop(worker)
        for ref in held.resident + held.loading:
            self._drop_holder(ref, worker)
        self._orders.clear()

    def note_sent(self, worker: str) -> None:
        """Count a request sent that the worker's digest does not show yet."""
        if worker in self._digests:
            self._sent[worker] = self._sent.get(worker, 0) + 1
            self.total_load += 1

    def load(self, worker: str) -> float:
        """Return the requests that a worker runs, queues or is about to get."""
        digest = self._digests.get(worker)
        if digest is None:
            return 0
        sent = self._sent.get(worker, 0)
        return digest.running + digest.queued + sent

    def can_serve(self, worker: str, holders: set[str]) -> bool:
        """Tell whether a worker holds the adapter or can load it."""
        digest = self._digests[worker]
        return digest.can_load or worker in holders

    def mean_load(self) -> float:
        """Return the mean load over the usable workers."""
        return self.total_load / len(self._digests) if self._digests else 0

    def holders(self, ref: AdapterRef) -> set[str]:
        """Return the workers that hold or load an adapter."""
        return self._holders.get(ref, set())

    def order(self, ref: AdapterRef) -> tuple[str, ...]:
        """Return the first workers in the adapter's rendezvous order."""
        order = self._orders.get(ref)
        if order is None:
            if len(self._orders) >= _MAX_CACHED:
                self._orders.clear()
            order = self._rank(ref)
            self._orders[ref] = order
        return order

    def least_loaded(self, number: int) -> list[str]:
        """Return the workers with the lowest load."""
        return heapq.nsmallest(
            number,
            self._digests,
            key=lambda worker: (self.load(worker), worker),
        )

    def _rank(self, ref: AdapterRef) -> tuple[str, ...]:
        base = _hash(str(ref))
        ranked = heapq.nlargest(
            _RANKED,
            (
                (_mix(base ^ salt), worker)
                for worker, salt in self._salts.items()
            ),
        )
        return tuple(worker for _, worker in ranked)

    def _hold(self, digest: WorkerDigest, held: WorkerDigest | None) -> None:
        before = set() if held is None else set(held.resident + held.loading)
        after = set(digest.resident + digest.loading)
        for gone in before - after:
            self._drop_holder(gone, digest.worker)
        for ref in after - before:
            self._holders.setdefault(ref, set()).add(digest.worker)

    def _drop_holder(self, ref: AdapterRef, worker: str) -> None:
        holders = self._holders[ref]
        holders.discard(worker)
        if not holders:
            self._holders.pop(ref)


def _number(digest: WorkerDigest) -> tuple[int, int]:
    return digest.fencing, digest.sequence
