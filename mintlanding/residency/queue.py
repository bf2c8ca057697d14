"""The queue of one engine: its order, and what misses its longest wait.

When requests arrive faster than the engine can prefill their prompts, those
that can still meet their objective go before those that are late, and urgent
ones before others. A fair order replaces this where one is given. A request
that cannot start within its longest wait is refused at once, with the time that
it would have to wait.
"""

import bisect
import itertools
from collections.abc import Iterator

from mintlanding.capacity.fair_order import FairOrder
from mintlanding.residency.models import QueuedRequest, StewardOptions
from mintlanding.target_limits.pacer import Pacer


class AdmissionQueue:
    """Queued requests in the order of their rank, or in a fair order."""

    def __init__(
        self, options: StewardOptions, fair_order: FairOrder | None = None
    ) -> None:
        """Start empty."""
        self.cost: float = 0
        self._options = options
        self._fair_order = fair_order
        # A fair order is restored when the queue is read next.
        self._is_sorted = True
        self._items: list[QueuedRequest] = []
        self._by_id: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        """Count the queued requests."""
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the queued requests in order."""
        self._sort()
        return iter(tuple(self._items))

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request is queued."""
        return request_id in self._by_id

    @property
    def is_full(self) -> bool:
        """Return whether the queue has reached its limit."""
        return len(self._items) >= self._options.max_queue_length

    @property
    def first(self) -> QueuedRequest | None:
        """Return the request whose turn is next, None if none is queued."""
        self._sort()
        return self._items[0] if self._items else None

    def cost_ahead(self, rank: float) -> tuple[int, float]:
        """Return the number and prefill time of requests ahead of a rank."""
        end = bisect.bisect_right(self._items, rank, key=_rank)
        ahead = self._items[:end]
        return len(ahead), sum(item.cost for item in ahead)

    def cost_before(self, item: QueuedRequest) -> tuple[int, float]:
        """Return the number and prefill time of requests ahead of a new one."""
        if self._fair_order is None:
            return self.cost_ahead(item.rank)
        ordered = self._fair_order.sort([*self._items, item])
        ahead = list(
            itertools.takewhile(lambda each: each is not item, ordered)
        )
        return len(ahead), sum(each.cost for each in ahead)

    def push(self, item: QueuedRequest) -> None:
        """Add a request."""
        if self._fair_order is None:
            bisect.insort_right(self._items, item, key=_rank)
        else:
            self._items.append(item)
            self._is_sorted = False
        self._by_id[item.req.request_id] = item
        self.cost += item.cost

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request, None if it is not queued."""
        item = self._by_id.pop(request_id, None)
        if item is not None:
            self._items.remove(item)
            self.cost -= item.cost
            # A started request moves the others of its workspace back.
            self._is_sorted = self._fair_order is None
        return item

    def expired(self, now: float) -> list[QueuedRequest]:
        """Return the requests that have waited as long as they may."""
        return [item for item in self._items if item.expires <= now]

    def next_expiry(self) -> float | None:
        """Return when the next request expires, None if the queue is empty."""
        return min((item.expires for item in self._items), default=None)

    def adapters(self) -> dict[str, None]:
        """Return the adapters of the queued requests, in queue order."""
        self._sort()
        return dict.fromkeys(
            item.req.adapter for item in self._items if item.req.adapter
        )

    def _sort(self) -> None:
        if self._fair_order is not None and not self._is_sorted:
            self._items = self._fair_order.sort(self._items)
            self._is_sorted = True


def _rank(item: QueuedRequest) -> float:
    return item.rank


def missed_turns(
    queue: AdmissionQueue, pacer: Pacer, now: float
) -> list[QueuedRequest]:
    """Return the queued requests that a limit does not let pass in time.

    Those that were queued in time miss their turn when more urgent ones come.
    """
    missed: list[QueuedRequest] = []
    for place, item in enumerate(queue):
        wait = pacer.wait(now, place - len(missed))
        if now + wait > item.expires:
            missed.append(item)
    return missed
