"""Indexes that all queue policies need."""

import heapq
from collections import OrderedDict
from dataclasses import replace

from mintlanding.fairness.models import Group, QueuedRequest, QueueOptions
from mintlanding.placement.messages import AdapterRef


class ItemStore:
    """Queued requests by id, adapter and expiry.

    Operations take logarithmic time at most.
    """

    def __init__(self, options: QueueOptions) -> None:
        """Start empty."""
        self.options = options
        self.tokens: float = 0
        self.ready: set[AdapterRef] = set()
        self.by_id: dict[str, QueuedRequest] = {}
        self.by_ref: dict[AdapterRef, Group] = {}
        self.missing_adapters: dict[AdapterRef, None] = {}
        self._sequence = 0
        self._expiry: list[tuple[float, int, str]] = []

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self.by_id)

    def is_full(self) -> bool:
        """Return whether the queue has reached its limit."""
        return len(self.by_id) >= self.options.limit

    def add(self, item: QueuedRequest) -> QueuedRequest:
        """Add a request; return it with its sequence number."""
        self._sequence += 1
        item = replace(item, sequence=self._sequence)
        self.by_id[item.reservation_id] = item
        group = self.by_ref.setdefault(item.ref, OrderedDict())
        group[item.reservation_id] = item
        if item.ref not in self.ready:
            self.missing_adapters.setdefault(item.ref)
        self.tokens += item.tokens
        row = (item.expires, item.sequence, item.reservation_id)
        heapq.heappush(self._expiry, row)
        return item

    def discard(self, item: QueuedRequest) -> None:
        """Remove a request."""
        self.by_id.pop(item.reservation_id)
        group = self.by_ref[item.ref]
        group.pop(item.reservation_id)
        if not group:
            self.by_ref.pop(item.ref)
            self.missing_adapters.pop(item.ref, None)
        self.tokens = self.tokens - item.tokens if self.by_id else 0
        if not self.by_id:
            self._expiry.clear()

    def expired(self, now: float) -> list[QueuedRequest]:
        """Return the requests whose latest start has passed."""
        found = []
        while self._expiry and self._expiry[0][0] <= now:
            _, sequence, reservation_id = heapq.heappop(self._expiry)
            item = self.by_id.get(reservation_id)
            if item is not None and item.sequence == sequence:
                found.append(item)
        return found

    def set_ready(self, ref: AdapterRef, is_ready: bool) -> None:
        """Update the ready adapters and the missing ones."""
        if is_ready:
            self.ready.add(ref)
            self.missing_adapters.pop(ref, None)
            return
        self.ready.discard(ref)
        if ref in self.by_ref:
            self.missing_adapters.setdefault(ref)
