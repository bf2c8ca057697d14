"""Weighted fair queueing over workspaces, interactive before batch."""

import heapq

from mintlanding.fairness.lanes import Lane
from mintlanding.fairness.models import QueuedRequest, QueueOptions
from mintlanding.fairness.policies import QUEUES
from mintlanding.fairness.store import ItemStore
from mintlanding.placement.messages import AdapterRef, Priority

_INTERACTIVE = Priority.interactive
_BATCH = Priority.batch
# Seconds before its latest start at which a batch request's load goes first.
_LOAD_AHEAD = 10


@QUEUES.register('weighted')
class WeightedFairQueue:
    """Start-time fair queueing in each lane, a token credit between lanes.

    Every interactive token served while batch waits earns batch a credit, so
    that batch has a share. The share rises with what the deadlines need.
    """

    def __init__(self, options: QueueOptions) -> None:
        """Start empty."""
        self._options = options
        self._store = ItemStore(options)
        self._lanes = {each: Lane(self._store.ready) for each in Priority}
        self._credit: float = 0
        self._latest: list[tuple[float, int, str]] = []

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
        """Add an item; when full drop from whoever waits with the most."""
        dropped = None
        if self._store.is_full():
            dropped = self._victim(item)
            if dropped is None:
                return item
            self._take(dropped)
        item = self._store.add(item)
        self._lanes[item.priority].add(item)
        if item.priority is _BATCH:
            row = (item.expires, item.sequence, item.reservation_id)
            heapq.heappush(self._latest, row)
        return dropped

    def pop(self, now: float, drain_rate: float) -> QueuedRequest | None:
        """Take the next item whose adapter is ready."""
        urgent = self._urgent(now)
        if urgent is not None:
            self._lanes[_BATCH].charge(urgent)
            return self._take(urgent)
        for lane in self._lane_order(now, drain_rate):
            item = lane.next_ready()
            if item is None:
                continue
            lane.charge(item)
            self._earn(item, now, drain_rate)
            return self._take(item)
        return None

    def set_ready(self, ref: AdapterRef, is_ready: bool) -> None:
        """Say whether requests for an adapter can run now."""
        self._store.set_ready(ref, is_ready)
        for lane in self._lanes.values():
            if is_ready:
                lane.wake(ref)
            else:
                lane.block(ref)

    def missing_adapters(self, now: float) -> list[AdapterRef]:
        """List adapters that waiting requests need, the next one first.

        A batch request close to its latest start goes before all others.
        """
        refs = []
        first = self._earliest_batch()
        if first is not None and _is_close(first, now, _LOAD_AHEAD):
            refs.append(first.ref)
        refs.extend(self._lanes[_INTERACTIVE].missing_adapters())
        refs.extend(self._lanes[_BATCH].missing_adapters())
        return [
            ref
            for ref in dict.fromkeys(refs)
            if ref in self._store.missing_adapters
        ]

    def missing_count(self) -> int:
        """Count these adapters in constant time."""
        return len(self._store.missing_adapters)

    def urgent_load_count(self, now: float) -> int:
        """Count interactive ones, and all when a batch deadline is near."""
        first = self._earliest_batch()
        seconds = self._options.urgent_load_seconds
        if first is not None and _is_close(first, now, seconds):
            return self.missing_count()
        return len(self._lanes[_INTERACTIVE].blocked_refs)

    def count_for(self, ref: AdapterRef) -> int:
        """Count the requests that wait for an adapter."""
        return len(self._store.by_ref.get(ref, ()))

    def remove(self, reservation_id: str) -> QueuedRequest | None:
        """Take an item out."""
        item = self._store.by_id.get(reservation_id)
        return None if item is None else self._take(item)

    def remove_ref(self, ref: AdapterRef) -> list[QueuedRequest]:
        """Take out all items for an adapter."""
        group = tuple(self._store.by_ref.get(ref, {}).values())
        return [self._take(item) for item in group]

    def clear(self) -> list[QueuedRequest]:
        """Take out all items."""
        items = list(self._store.by_id.values())
        for item in items:
            self._take(item)
        return items

    def expire(self, now: float) -> list[QueuedRequest]:
        """Take out the items whose latest start has passed."""
        return [self._take(item) for item in self._store.expired(now)]

    def settle(self, item: QueuedRequest, used: float) -> None:
        """Correct the account of a popped item to the tokens it used."""
        self._lanes[item.priority].settle(item, used)

    def tokens_ahead(
        self,
        workspace: str,
        weight: float,
        priority: Priority,
    ) -> float:
        """Return the tokens that go before a new item of a workspace."""
        lane = self._lanes[priority]
        ahead = lane.tokens_ahead(workspace, weight)
        if priority is _BATCH:
            return ahead + self._lanes[_INTERACTIVE].tokens
        return ahead

    def _take(self, item: QueuedRequest) -> QueuedRequest:
        self._store.discard(item)
        self._lanes[item.priority].discard(item)
        return item

    def _victim(self, item: QueuedRequest) -> QueuedRequest | None:
        batch, interactive = self._lanes[_BATCH], self._lanes[_INTERACTIVE]
        if item.priority is _INTERACTIVE and batch.flows:
            return batch.longest().newest()
        lane = interactive if item.priority is _INTERACTIVE else batch
        if not lane.flows:
            return None
        flow = lane.longest()
        if flow.backlog <= lane.backlog_with(item):
            return None
        return flow.newest()

    def _urgent(self, now: float) -> QueuedRequest | None:
        first = self._earliest_batch()
        if first is None or first.ref not in self._store.ready:
            return None
        is_close = _is_close(first, now, self._options.urgent_seconds)
        return first if is_close else None

    def _earliest_batch(self) -> QueuedRequest | None:
        """Return the batch item with the earliest latest start."""
        while self._latest:
            _, sequence, reservation_id = self._latest[0]
            item = self._store.by_id.get(reservation_id)
            if item is not None and item.sequence == sequence:
                return item
            heapq.heappop(self._latest)
        return None

    def _lane_order(self, now: float, drain_rate: float) -> tuple[Lane, Lane]:
        batch, interactive = self._lanes[_BATCH], self._lanes[_INTERACTIVE]
        if not batch.flows:
            self._credit = 0
            return interactive, batch
        head = batch.next_ready()
        if head is not None and self._credit >= head.tokens:
            return batch, interactive
        return interactive, batch

    def _earn(self, item: QueuedRequest, now: float, drain_rate: float) -> None:
        if item.priority is _BATCH:
            self._credit = max(0, self._credit - item.tokens)
            return
        if self._lanes[_BATCH].flows:
            share = self._share(now, drain_rate)
            earned = self._credit + item.tokens * share / (1 - share)
            self._credit = min(earned, self._options.max_credit)

    def _share(self, now: float, drain_rate: float) -> float:
        """Return the share of tokens that the batch deadlines need."""
        options = self._options
        first = self._earliest_batch()
        if first is None or not drain_rate:
            return options.batch_share
        left = max(first.expires - now, options.urgent_seconds)
        needed = self._lanes[_BATCH].tokens / (left * drain_rate)
        return min(max(needed, options.batch_share), options.max_batch_share)


def _is_close(item: QueuedRequest, now: float, seconds: float) -> bool:
    return item.expires - now <= seconds
