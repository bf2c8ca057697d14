"""Simple queue policies to compare with."""

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
        """Count the waiting items."""
        return len(self._store)

    @property
    def tokens(self) -> float:
        """Sum the tokens of the waiting items."""
        return self._store.tokens

    def is_waiting(self, reservation_id: str) -> bool:
        """Tell whether a reservation waits here."""
        return reservation_id in self._store.by_id

    def push(self, item: QueuedRequest) -> QueuedRequest | None:
        """Add an item unless the queue is full."""
        if self._store.is_full():
            return item
        self._store.add(item)
        return None

    def pop(self, now: float, drain_rate: float) -> QueuedRequest | None:
        """Take the next item whose adapter is ready."""
        for item in self._store.by_id.values():
            if item.ref in self._store.ready:
                self._store.discard(item)
                return item
        return None

    def set_ready(self, ref: AdapterRef, is_ready: bool) -> None:
        """Say whether requests for an adapter can run now."""
        self._store.set_ready(ref, is_ready)

    def missing_adapters(self, now: float) -> list[AdapterRef]:
        """List adapters that waiting requests need, the oldest first."""
        return list(self._store.missing_adapters)

    def missing_count(self) -> int:
        """Count these adapters in constant time."""
        return len(self._store.missing_adapters)

    def urgent_load_count(self, now: float) -> int:
        """Count all of them, whatever their priority."""
        return len(self._store.missing_adapters)

    def count_for(self, ref: AdapterRef) -> int:
        """Count the requests that wait for an adapter."""
        return len(self._store.by_ref.get(ref, ()))

    def remove(self, reservation_id: str) -> QueuedRequest | None:
        """Take an item out."""
        item = self._store.by_id.get(reservation_id)
        if item is not None:
            self._store.discard(item)
        return item

    def remove_ref(self, ref: AdapterRef) -> list[QueuedRequest]:
        """Take out all items for an adapter."""
        group = list(self._store.by_ref.get(ref, {}).values())
        for item in group:
            self._store.discard(item)
        return group

    def clear(self) -> list[QueuedRequest]:
        """Take out all items."""
        items = list(self._store.by_id.values())
        for item in items:
            self._store.discard(item)
        return items

    def expire(self, now: float) -> list[QueuedRequest]:
        """Take out the items whose latest start has passed."""
        found = self._store.expired(now)
        for item in found:
            self._store.discard(item)
        return found

    def settle(self, item: QueuedRequest, used: float) -> None:
        """Keep no account."""

    def tokens_ahead(
        self,
        workspace: str,
        weight: float,
        priority: Priority,
    ) -> float:
        """Return the tokens of all waiting items."""
        return self._store.tokens


@QUEUES.register('round-robin')
class RoundRobinQueue(FifoQueue):
    """Serve one request of each workspace in turn, whatever its size."""

    def __init__(self, options: QueueOptions) -> None:
        """Start empty."""
        super().__init__(options)
        self._turns: OrderedDict[str, None] = OrderedDict()

    def push(self, item: QueuedRequest) -> QueuedRequest | None:
        """Add an item unless the queue is full."""
        self._turns.setdefault(item.workspace)
        return super().push(item)

    def pop(self, now: float, drain_rate: float) -> QueuedRequest | None:
        """Take the oldest ready item of the workspace whose turn it is."""
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
