"""An entry's index of the region's workers, for the choice of one."""

import hashlib
import heapq
from collections.abc import Iterable

from mintlanding.placement.messages import AdapterRef, WorkerDigest

# Workers ranked for each adapter; the fallback is the least loaded ones.
_MAX_RANKED = 8
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
    """Digests by worker, and resident workers and rendezvous order by adapter.

    The cost of `put` is proportional to the change of the digest. The
    rendezvous order of an adapter is cached until the set of usable workers
    changes.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self.total_load: float = 0
        self._digests: dict[str, WorkerDigest] = {}
        self._versions: dict[str, tuple[int, int]] = {}
        self._salts: dict[str, int] = {}
        self._holders: dict[AdapterRef, set[str]] = {}
        self._sent: dict[str, int] = {}
        self._orders: dict[AdapterRef, tuple[str, ...]] = {}

    @classmethod
    def from_digests(cls, digests: Iterable[WorkerDigest]) -> 'WorkerIndex':
        """Build an index from digests."""
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
        """Return the usable workers in sorted order."""
        return sorted(self._digests)

    def put(self, digest: WorkerDigest) -> bool:
        """Apply a digest; ignore a stale one, remove an unusable worker."""
        previous = self._digests.get(digest.worker)
        known_version = self._versions.get(digest.worker)
        if known_version is not None and known_version >= _version(digest):
            return False
        if digest.silent or digest.leaving:
            self.remove(digest.worker)
            self._versions[digest.worker] = _version(digest)
            return True
        self._versions[digest.worker] = _version(digest)
        self._update_holders(digest, previous)
        self.total_load -= self.load(digest.worker)
        self._sent.pop(digest.worker, None)
        self._digests[digest.worker] = digest
        self.total_load += self.load(digest.worker)
        if previous is None:
            self._salts[digest.worker] = _hash(digest.worker)
            self._orders.clear()
        return True

    def remove(self, worker: str) -> None:
        """Remove a worker that is gone, silent, leaving or unreachable."""
        self._versions.pop(worker, None)
        previous = self._digests.get(worker)
        if previous is None:
            return
        self.total_load -= self.load(worker)
        self._digests.pop(worker)
        self._sent.pop(worker, None)
        self._salts.pop(worker)
        for ref in previous.resident + previous.loading:
            self._remove_holder(ref, worker)
        self._orders.clear()

    def note_sent(self, worker: str) -> None:
        """Count a sent request that the worker's digest does not show yet."""
        if worker in self._digests:
            self._sent[worker] = self._sent.get(worker, 0) + 1
            self.total_load += 1

    def load(self, worker: str) -> float:
        """Return the requests that are running, queued or sent to a worker."""
        digest = self._digests.get(worker)
        if digest is None:
            return 0
        sent = self._sent.get(worker, 0)
        return digest.running + digest.queued + sent

    def can_serve(self, worker: str, holders: set[str]) -> bool:
        """Return whether a worker has the adapter or can load it."""
        digest = self._digests[worker]
        return digest.can_load or worker in holders

    def mean_load(self) -> float:
        """Return the mean load over the usable workers."""
        return self.total_load / len(self._digests) if self._digests else 0

    def holders(self, ref: AdapterRef) -> set[str]:
        """Return the workers where an adapter is resident or loading."""
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
            _MAX_RANKED,
            (
                (_mix(base ^ salt), worker)
                for worker, salt in self._salts.items()
            ),
        )
        return tuple(worker for _, worker in ranked)

    def _update_holders(
        self, digest: WorkerDigest, previous: WorkerDigest | None
    ) -> None:
        before = (
            set()
            if previous is None
            else set(previous.resident + previous.loading)
        )
        after = set(digest.resident + digest.loading)
        for gone in before - after:
            self._remove_holder(gone, digest.worker)
        for ref in after - before:
            self._holders.setdefault(ref, set()).add(digest.worker)

    def _remove_holder(self, ref: AdapterRef, worker: str) -> None:
        holders = self._holders[ref]
        holders.discard(worker)
        if not holders:
            self._holders.pop(ref)


def _version(digest: WorkerDigest) -> tuple[int, int]:
    return digest.fencing, digest.sequence
