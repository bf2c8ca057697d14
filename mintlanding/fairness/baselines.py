"""Simple queue policies that serve as baselines."""

from collections import OrderedDict

from mintlanding.fairness.models import QueuedRequest, QueueOptions
from mintlanding.fairness.policies import QUEUES
from mintlanding.fairness.store import ItemStore
from mintlanding.placement.messages import AdapterRef, Priority


@QUEUES.register('fifo')
class FifoQueue:
    """Serve the oldest request whose adapter is ready."""

    def __init__(self, options: QueueOptions) -> None:
        """Start empty."""
        self._store = ItemStore(options)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._store)

    @property
    def tokens(self) -> float:
        """Return the sum of tokens of the queued requests."""
        return self._store.tokens

    def is_waiting(self, reservation_id: str) -> bool:
        """Return whether a reservation is queued."""
        return reservation_id in self._store.by_id

    def push(self, item: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return it if the queue is full."""
        if self._store.is_full():
            return item
        self._store.add(item)
        return None

    def pop(self, now: float, throughput: float) -> QueuedRequest | None:
        """Remove and return the next request whose adapter is ready."""
        for item in self._store.by_id.values():
            if item.ref in self._store.ready:
                self._store.discard(item)
                return item
        return None

    def set_ready(self, ref: AdapterRef, is_ready: bool) -> None:
        """Record whether an adapter is ready to serve requests."""
        self._store.set_ready(ref, is_ready)

    def missing_adapters(self, now: float) -> list[AdapterRef]:
        """Return adapters that are needed but not ready, oldest need first."""
        return list(self._store.missing_adapters)

    def missing_count(self) -> int:
        """Return the number of missing adapters, in constant time."""
        return len(self._store.missing_adapters)

    def urgent_load_count(self, now: float) -> int:
        """Return the number of missing adapters of any priority."""
        return len(self._store.missing_adapters)

    def count_for(self, ref: AdapterRef) -> int:
        """Return the number of queued requests for an adapter."""
        return len(self._store.by_ref.get(ref, ()))

    def remove(self, reservation_id: str) -> QueuedRequest | None:
        """Remove a request; return it, or None if it is not queued."""
        item = self._store.by_id.get(reservation_id)
        if item is not None:
            self._store.discard(item)
        return item

    def remove_ref(self, ref: AdapterRef) -> list[QueuedRequest]:
        """Remove and return all requests for an adapter."""
        group = list(self._store.by_ref.get(ref, {}).values())
        for item in group:
            self._store.discard(item)
        return group

    def clear(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        items = list(self._store.by_id.values())
        for item in items:
            self._store.discard(item)
        return items

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose latest start has passed."""
        found = self._store.expired(now)
        for item in found:
            self._store.discard(item)
        return found

    def settle(self, item: QueuedRequest, used: float) -> None:
        """Do nothing; this policy keeps no accounts."""

    def tokens_ahead(
        self,
        workspace: str,
        weight: float,
        priority: Priority,
    ) -> float:
        """Return the tokens of all queued requests."""
        return self._store.tokens


@QUEUES.register('round-robin')
class RoundRobinQueue(FifoQueue):
    """Serve one request of each workspace in turn, regardless of size."""

    def __init__(self, options: QueueOptions) -> None:
        """Start empty."""
        super().__init__(options)
        self._turns: OrderedDict[str, None] = OrderedDict()

    def push(self, item: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return it if the queue is full."""
        self._turns.setdefault(item.workspace)
        return super().push(item)

    def pop(self, now: float, throughput: float) -> QueuedRequest | None:
        """Remove and return the oldest ready request of the next workspace."""
        first: dict[str, QueuedRequest] = {}
        for item in self._store.by_id.values():
            if item.ref in self._store.ready:
                first.setdefault(item.workspace, item)
        for workspace in self._turns:
            if workspace in first:
                self._turns.move_to_end(workspace)
                self._store.discard(first[workspace])
                return first[workspace]
        return None
