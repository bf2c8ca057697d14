"""Weighted fair queueing over workspaces, interactive before batch."""

import heapq

from mintlanding.fairness.lanes import Lane
from mintlanding.fairness.models import QueuedRequest, QueueOptions
from mintlanding.fairness.policies import QUEUES
from mintlanding.fairness.store import ItemStore
from mintlanding.placement.messages import AdapterRef, Priority

_INTERACTIVE = Priority.interactive
_BATCH = Priority.batch
# A batch request's load goes first this long before its latest start.
_LOAD_FIRST_SECONDS = 10


@QUEUES.register('weighted')
class WeightedFairQueue:
    """Start-time fair queueing in each lane, with a credit for batch.

    Each interactive token that is served while batch requests are queued adds
    to the batch credit, so that batch gets a minimum share of tokens. The
    share rises to what the batch deadlines require.
    """

    def __init__(self, options: QueueOptions) -> None:
        """Start empty."""
        self._options = options
        self._store = ItemStore(options)
        self._lanes = {each: Lane(self._store.ready) for each in Priority}
        self._credit: float = 0
        self._batch_deadlines: list[tuple[float, int, str]] = []

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
        """Add a request; if full, drop one from the largest backlog."""
        dropped = None
        if self._store.is_full():
            dropped = self._choose_dropped(item)
            if dropped is None:
                return item
            self._take(dropped)
        item = self._store.add(item)
        self._lanes[item.priority].add(item)
        if item.priority is _BATCH:
            row = (item.expires, item.sequence, item.reservation_id)
            heapq.heappush(self._batch_deadlines, row)
        return dropped

    def pop(self, now: float, throughput: float) -> QueuedRequest | None:
        """Remove and return the next request whose adapter is ready."""
        urgent = self._urgent_batch(now)
        if urgent is not None:
            self._lanes[_BATCH].charge(urgent)
            return self._take(urgent)
        for lane in self._lane_order(now, throughput):
            item = lane.next_ready()
            if item is None:
                continue
            lane.charge(item)
            self._update_credit(item, now, throughput)
            return self._take(item)
        return None

    def set_ready(self, ref: AdapterRef, is_ready: bool) -> None:
        """Record whether an adapter is ready to serve requests."""
        self._store.set_ready(ref, is_ready)
        for lane in self._lanes.values():
            if is_ready:
                lane.mark_ready(ref)
            else:
                lane.mark_missing(ref)

    def missing_adapters(self, now: float) -> list[AdapterRef]:
        """Return adapters that are needed but not ready, in loading order.

        A batch request close to its latest start goes before all others.
        """
        refs = []
        first = self._earliest_batch()
        if first is not None and _is_due_within(
            first, now, _LOAD_FIRST_SECONDS
        ):
            refs.append(first.ref)
        refs.extend(self._lanes[_INTERACTIVE].missing_adapters())
        refs.extend(self._lanes[_BATCH].missing_adapters())
        return [
            ref
            for ref in dict.fromkeys(refs)
            if ref in self._store.missing_adapters
        ]

    def missing_count(self) -> int:
        """Return the number of missing adapters, in constant time."""
        return len(self._store.missing_adapters)

    def urgent_load_count(self, now: float) -> int:
        """Return how many missing adapters cannot wait for spare permits.

        These are the ones that interactive requests need, and all if a batch
        request is close to its latest start.
        """
        first = self._earliest_batch()
        seconds = self._options.urgent_load_seconds
        if first is not None and _is_due_within(first, now, seconds):
            return self.missing_count()
        return len(self._lanes[_INTERACTIVE].missing_refs)

    def count_for(self, ref: AdapterRef) -> int:
        """Return the number of queued requests for an adapter."""
        return len(self._store.by_ref.get(ref, ()))

    def remove(self, reservation_id: str) -> QueuedRequest | None:
        """Remove a request; return it, or None if it is not queued."""
        item = self._store.by_id.get(reservation_id)
        return None if item is None else self._take(item)

    def remove_ref(self, ref: AdapterRef) -> list[QueuedRequest]:
        """Remove and return all requests for an adapter."""
        group = tuple(self._store.by_ref.get(ref, {}).values())
        return [self._take(item) for item in group]

    def clear(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        items = list(self._store.by_id.values())
        for item in items:
            self._take(item)
        return items

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose latest start has passed."""
        return [self._take(item) for item in self._store.expired(now)]

    def settle(self, item: QueuedRequest, used: float) -> None:
        """Correct the account of a popped request to the tokens it used."""
        self._lanes[item.priority].settle(item, used)

    def tokens_ahead(
        self,
        workspace: str,
        weight: float,
        priority: Priority,
    ) -> float:
        """Return the tokens served before a new request of a workspace."""
        lane = self._lanes[priority]
        ahead = lane.tokens_ahead(workspace, weight)
        if priority is _BATCH:
            return ahead + self._lanes[_INTERACTIVE].tokens
        return ahead

    def _take(self, item: QueuedRequest) -> QueuedRequest:
        self._store.discard(item)
        self._lanes[item.priority].discard(item)
        return item

    def _choose_dropped(self, item: QueuedRequest) -> QueuedRequest | None:
        batch, interactive = self._lanes[_BATCH], self._lanes[_INTERACTIVE]
        if item.priority is _INTERACTIVE and batch.flows:
            return batch.largest_backlog().newest()
        lane = interactive if item.priority is _INTERACTIVE else batch
        if not lane.flows:
            return None
        flow = lane.largest_backlog()
        if flow.backlog <= lane.backlog_with(item):
            return None
        return flow.newest()

    def _urgent_batch(self, now: float) -> QueuedRequest | None:
        first = self._earliest_batch()
        if first is None or first.ref not in self._store.ready:
            return None
        is_due = _is_due_within(first, now, self._options.urgent_seconds)
        return first if is_due else None

    def _earliest_batch(self) -> QueuedRequest | None:
        """Return the batch request whose latest start comes first."""
        while self._batch_deadlines:
            _, sequence, reservation_id = self._batch_deadlines[0]
            item = self._store.by_id.get(reservation_id)
            if item is not None and item.sequence == sequence:
                return item
            heapq.heappop(self._batch_deadlines)
        return None

    def _lane_order(self, now: float, throughput: float) -> tuple[Lane, Lane]:
        batch, interactive = self._lanes[_BATCH], self._lanes[_INTERACTIVE]
        if not batch.flows:
            self._credit = 0
            return interactive, batch
        next_batch = batch.next_ready()
        if next_batch is not None and self._credit >= next_batch.tokens:
            return batch, interactive
        return interactive, batch

    def _update_credit(
        self, item: QueuedRequest, now: float, throughput: float
    ) -> None:
        if item.priority is _BATCH:
            self._credit = max(0, self._credit - item.tokens)
            return
        if self._lanes[_BATCH].flows:
            share = self._batch_share(now, throughput)
            earned = self._credit + item.tokens * share / (1 - share)
            self._credit = min(earned, self._options.max_credit)

    def _batch_share(self, now: float, throughput: float) -> float:
        """Return the share of tokens that the batch deadlines require."""
        options = self._options
        first = self._earliest_batch()
        if first is None or not throughput:
            return options.batch_share
        left = max(first.expires - now, options.urgent_seconds)
        needed = self._lanes[_BATCH].tokens / (left * throughput)
        return min(max(needed, options.batch_share), options.max_batch_share)


def _is_due_within(item: QueuedRequest, now: float, seconds: float) -> bool:
    return item.expires - now <= seconds
